// Puts each of the system's programs into one file below target/ (or the folder named), with the code that the compiler
// made of it: a program of one file starts in a fraction of the time, and a compiled one in less still.
import { build } from 'esbuild';
import { spawnSync } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync } from 'node:fs';

const folder = process.argv[2] ?? 'target';
const programs = { switchboard: 'platform/sidecar.ts', directory: 'platform/core.ts', ratebook: 'src/programs/ratebook.ts' };
/** Code is of use only to a process with the flags that it was made under: those of the run lines. */
const flagsOf = (name) => new RegExp(`^run = "node (.*) target/${name}\\.mjs`, 'm').exec(readFileSync('deploy/system.toml', 'utf8'))?.[1].split(' ') ?? [];

for (const name of Object.keys(programs)) rmSync(`${folder}/${name}.cjs.code`, { force: true });
await build({
  entryPoints: programs,
  bundle: true, platform: 'node', target: 'node20', format: 'cjs', outdir: folder, outExtension: { '.js': '.cjs' }, minify: true, keepNames: true, legalComments: 'none',
  define: { 'import.meta.url': 'opalstairUrl' }, logLevel: 'warning',
});
for (const name of Object.keys(programs)) {
  const starter = `${folder}/${name}.mjs`;
  copyFileSync('deploy/starter.mjs', starter);
  const made = spawnSync('node', [...flagsOf(name), starter, '--help'], { env: { ...process.env, OPALSTAIR_KEEP_CODE: '1' }, stdio: ['ignore', 'ignore', 'inherit'] });
  if (made.status !== 0) throw new Error(`${name} does not start`);
}
