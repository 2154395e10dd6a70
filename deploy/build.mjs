// Puts each of the system's programs into one file below target/ (or the folder named), with the code that the compiler
// made of it: a program of one file starts in a fraction of the time, and a compiled one in less still.
import { build } from 'esbuild';
import { spawn } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync } from 'node:fs';
import { createInterface } from 'node:readline';

const folder = process.argv[2] ?? 'target';
const programs = { switchboard: 'platform/sidecar.ts', directory: 'platform/core.ts', ratebook: 'src/programs/ratebook.ts' };
/** Code is of use only to a process with the flags that it was made under: those of the run lines. */
const flagsOf = (name) => new RegExp(`^run = "node (.*) target/${name}\\.cjs`, 'm').exec(readFileSync('deploy/system.toml', 'utf8'))?.[1].split(' ') ?? [];

for (const name of Object.keys(programs)) rmSync(`${folder}/${name}.bundle.cjs.code`, { force: true });
await build({
  entryPoints: programs,
  bundle: true, platform: 'node', target: 'node20', format: 'cjs', outdir: folder, outExtension: { '.js': '.bundle.cjs' }, minify: true, keepNames: true, legalComments: 'none',
  define: { 'import.meta.url': 'opalstairUrl' }, logLevel: 'warning',
});

/** Starts a program so that it leaves the code that was compiled by its end; `isEnough` says at which line of its log it may stop. */
const start = (name, words, isEnough) => new Promise((settle) => {
  const child = spawn('node', [...flagsOf(name), `${folder}/${name}.cjs`, ...words], { env: { ...process.env, OPALSTAIR_KEEP_CODE: '1' }, stdio: ['ignore', 'pipe', 'inherit'] });
  createInterface({ input: child.stdout }).on('line', (line) => { if (isEnough(line)) child.kill('SIGTERM'); });
  child.once('close', (code) => settle(code === 0));
});
const portBase = 20_000 + Math.floor(Math.random() * 10_000) * 4;
/** A switchboard of its own on the loopback, which rehearses its path: that is the code that every start wants first. */
const alone = ['--node', 'build', '--zone', 'build', '--host', '127.0.0.1', '--seed', '127.0.0.1:9', '--port-base', portBase, '--order-port', portBase + 6, '--beat-port', portBase + 7, '--parting-ms', 0, '--rehearsed-orders', 50, '--log-level', 'info'].map(String);
for (const name of Object.keys(programs)) {
  copyFileSync('deploy/starter.cjs', `${folder}/${name}.cjs`);
  if (name === 'switchboard' && await start(name, alone, (line) => line.includes('"rehearsed"'))) continue;
  if (!(await start(name, ['--help'], () => false))) throw new Error(`${name} does not start`);
}
