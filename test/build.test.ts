import { spawnSync, type SpawnSyncReturns } from 'node:child_process';
import { readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as assert from 'uvu/assert';
import { RELEASE } from '../src/process/release.js';
import { suite } from './harness.js';

const { test, after, run } = suite('the built programs');
const project = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const folder = join(project, 'target', 'built-by-test');
const hook = join(folder, 'hook.cjs');
/** Says whether the compiler took the code that was kept, and whether Node's own fetch was loaded: it is a sixth of a start. */
const HOOK = `process.on('exit', () => { if (process.moduleLoadList.some((name) => name.includes('undici'))) console.error('fetch was loaded'); }); const vm = require('node:vm'); vm.Script = class extends vm.Script { constructor(...words) { super(...words); console.error('refused: ' + this.cachedDataRejected); } };`;
after(async () => rmSync(folder, { recursive: true, force: true }));

const runLines = (): readonly (readonly string[])[] =>
  [...readFileSync(join(project, 'deploy', 'system.toml'), 'utf8').matchAll(/^run = "node (.*) target\/(\w+)\.cjs/gm)].map(([, flags = '', name = '']) => [name, ...flags.split(' ')]);
const version = (name: string, flags: readonly string[]): SpawnSyncReturns<string> =>
  spawnSync(process.execPath, [...flags, '--require', hook, join(folder, `${name}.cjs`), '--version'], { encoding: 'utf8' });

test('every program starts from the code that was kept at the build, without it when that can not be used, and without Node\'s fetch', () => {
  const built = spawnSync(process.execPath, [join('deploy', 'build.mjs'), folder], { cwd: project, encoding: 'utf8' });
  assert.is(built.status, 0, built.stderr);
  writeFileSync(hook, HOOK);
  const lines = runLines();
  assert.equal(lines.map(([name]) => name), ['switchboard', 'directory', 'ratebook']);
  for (const [name = '', ...flags] of lines) {
    const kept = version(name, flags);
    assert.equal([kept.stdout, kept.stderr], [`${name} ${RELEASE}\n`, 'refused: false\n']);
    const code = join(folder, `${name}.bundle.cjs.code`);
    truncateSync(code, readFileSync(code).length / 2);
    const damaged = version(name, flags);
    assert.equal([damaged.stdout, damaged.stderr], [`${name} ${RELEASE}\n`, 'refused: true\n']);
    rmSync(code);
    const none = version(name, flags);
    assert.equal([none.stdout, none.stderr], [`${name} ${RELEASE}\n`, 'refused: undefined\n']);
  }
});

run();
