#!/usr/bin/env node
import { runProgram } from '../process/program.js';
import { directory } from './daemons/directory.js';

await runProgram(directory(null));
