#!/usr/bin/env node
import { runProgram } from '../process/program.js';
import { ownDoors, switchboard } from './daemons/switchboard.js';

await runProgram(switchboard(ownDoors));
