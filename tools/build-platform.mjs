// Bundles what runs on the users' platform into one file.
import { mkdirSync } from 'node:fs';
import { build } from 'esbuild';

mkdirSync('target', { recursive: true });
await build({
  entryPoints: ['packages/router/src/platformMain.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: 'target/camphorvane.cjs',
  minify: true,
  keepNames: true,
  logLevel: 'warning',
  metafile: true,
});
