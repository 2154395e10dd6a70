import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as assert from 'uvu/assert';
import { suite } from './harness.js';

const { test, run } = suite('the harness');

/** Runs sample tests in a process of their own, as CI runs all. */
const runSamples = (words: readonly string[], more: Readonly<Record<string, string>> = {}): Promise<{ readonly code: unknown; readonly out: string }> => new Promise((settle) => {
  const env = { ...process.env, ONLY: '', KNOWN_RED: '', KNOWN_RED_FILE: '', TEST_FOLDER: fileURLToPath(new URL('samples', import.meta.url)), ...more };
  execFile(process.execPath, [fileURLToPath(new URL('run.js', import.meta.url)), ...words], { env }, (error, out) => settle({ code: error === null ? 0 : error.code, out }));
});
const failures = (out: string): readonly string[] => out.split('\n').filter((line) => line.startsWith('FAIL ')).map((line) => line.slice(5).replace(/ \(\d+ ms\)$/, ''));
const closing = (out: string): string | undefined => out.trim().split('\n').at(-1);

test('an uncaught error or unhandled rejection fails its own test alone, and the closing line is printed', async () => {
  const { code, out } = await runSamples(['leaks']);
  assert.equal(failures(out), ['leaks: a rejection that nobody awaits', 'leaks: a rejection at the very end', 'leaks: an error thrown by a timer', 'leaks: cleaning up']);
  for (const reason of ['stray rejection', 'late rejection', 'stray error', 'no cleaning up']) assert.match(out, `Error: ${reason}`);
  assert.equal([code, closing(out)], [1, '1 passed, 4 failed']);
});

test('a suite that can not be set up and a file that can not be loaded are one failure each, and the run goes on', async () => {
  const { code, out } = await runSamples(['noSetup', 'unloadable']);
  assert.equal(failures(out), ['unloadable.test.js: could not be loaded', 'no set-up: setting up, so none of its tests ran']);
  assert.equal([code, closing(out)], [1, '0 passed, 2 failed']);
});

test('a run that ends before its last test has failed and says so', async () => {
  const { code, out } = await runSamples(['waits']);
  assert.equal(failures(out), ['the run ended before its last test']);
  assert.equal([code, closing(out)], [1, '0 passed, 1 failed']);
});

test('tests that KNOWN-RED.txt lists, and these alone, are passed over and named; asked for, they run and fail', async () => {
  const file = join(mkdtempSync(join(tmpdir(), 'opalstair-known-red-')), 'KNOWN-RED.txt');
  writeFileSync(file, 'What is listed.\n\ntest: known red: one that is listed\n  seen: the open fault\n');
  const passedOver = await runSamples(['knownRed'], { KNOWN_RED_FILE: file });
  assert.match(passedOver.out, 'known red, passed over: known red: one that is listed\n');
  assert.equal([passedOver.code, closing(passedOver.out)], [0, '1 passed, 0 failed']);
  const asked = await runSamples(['knownRed'], { KNOWN_RED_FILE: file, KNOWN_RED: 'run' });
  assert.equal([failures(asked.out), asked.code, closing(asked.out)], [['known red: one that is listed'], 1, '1 passed, 1 failed']);
  const unlisted = await runSamples(['knownRed']);
  assert.is(closing(unlisted.out), '1 passed, 1 failed');
  writeFileSync(file, 'test: known red: one that is nowhere\n');
  assert.match((await runSamples([], { KNOWN_RED_FILE: file })).out, 'FAIL KNOWN-RED.txt: known red: one that is nowhere');
  rmSync(dirname(file), { recursive: true });
});

run();
