// Starts the program beside it, with the code that the compiler made of it when it was built: compiling is a good part of a start.
// Code made by another compiler, or under other flags, is passed over by the compiler itself.
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

const program = fileURLToPath(import.meta.url).replace(/\.mjs$/, '.cjs');
const made = `${program}.code`;
const script = new Script(`(function (require, opalstairUrl) { 'use strict'; ${readFileSync(program, 'utf8').replace(/^#!.*/, '')}\n})`, { filename: program, ...(existsSync(made) ? { cachedData: readFileSync(made) } : {}) });
script.runInThisContext()(createRequire(import.meta.url), import.meta.url);
if (process.env.OPALSTAIR_KEEP_CODE === '1') process.on('exit', () => writeFileSync(made, script.createCachedData()));
