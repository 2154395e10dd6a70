import { readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';

interface UvuGlobals {
  UVU_DEFER: number;
  UVU_INDEX: number;
  UVU_QUEUE: unknown[][];
}

const testFolder = process.env['TEST_FOLDER'] ?? dirname(fileURLToPath(import.meta.url));
const wanted = process.argv.slice(2);
const testFiles = readdirSync(testFolder)
  .filter((name) => name.endsWith('.test.js') && (wanted.length === 0 || wanted.some((word) => name.includes(word))))
  .sort();
const uvu = globalThis as unknown as UvuGlobals;
uvu.UVU_DEFER = 1;
uvu.UVU_QUEUE = [];
const { exec } = await import('uvu');
const { catchStrays, fail, results } = await import('./harness.js');
const { knownRed } = await import('./knownRed.js');
let isWhole = false;
process.on('exit', () => {
  if (!isWhole) fail('the run ended before its last test', 'nothing was left to wait for, or the process was told to exit');
  process.stdout.write(`${results.passed} passed, ${results.failed} failed\n`);
  process.exitCode = results.failed > 0 || results.passed === 0 ? 1 : 0;
});
catchStrays();
for (const [index, name] of testFiles.entries()) {
  uvu.UVU_INDEX = index;
  uvu.UVU_QUEUE.push([name]);
  try {
    await import(pathToFileURL(join(testFolder, name)).href);
  } catch (error) {
    fail(`${name}: could not be loaded`, error);
  }
}
if (wanted.length === 0 && (process.env['ONLY'] ?? '') === '') knownRed.unmet().forEach((name) => fail(`KNOWN-RED.txt: ${name}`, 'there is no such test'));
await exec();
isWhole = true;
process.exit();
