// Starts the program beside it, with the code that the compiler made of it when it was built: compiling is a good part of a start.
// Code made by another compiler, or under other flags, is passed over by the compiler itself. It is no module, since loading one costs a start as well.
const { existsSync, readFileSync, writeFileSync } = process.getBuiltinModule('node:fs');
const { createRequire } = process.getBuiltinModule('node:module');
const { pathToFileURL } = process.getBuiltinModule('node:url');
const { Script } = process.getBuiltinModule('node:vm');

const program = __filename.replace(/\.cjs$/, '.bundle.cjs');
const made = `${program}.code`;
const script = new Script(`(function (require, opalstairUrl) { 'use strict'; ${readFileSync(program, 'utf8').replace(/^#!.*/, '')}\n})`, { filename: program, ...(existsSync(made) ? { cachedData: readFileSync(made) } : {}) });
script.runInThisContext()(createRequire(program), pathToFileURL(__filename).href);
if (process.env.OPALSTAIR_KEEP_CODE === '1') process.on('exit', () => writeFileSync(made, script.createCachedData()));
