// Puts each of the system's programs into one file below target/: a program of one file starts in a fraction of the time.
import { build } from 'esbuild';

await build({
  entryPoints: { switchboard: 'platform/sidecar.ts', directory: 'platform/core.ts', ratebook: 'src/programs/ratebook.ts' },
  bundle: true, platform: 'node', target: 'node20', format: 'esm', outdir: 'target', outExtension: { '.js': '.mjs' }, minify: true, keepNames: true, legalComments: 'none',
  banner: { js: "import { createRequire as opalstairRequire } from 'node:module'; const require = opalstairRequire(import.meta.url);" }, logLevel: 'warning',
});
