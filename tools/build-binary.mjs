// Bundles the router and makes it one executable file (Node's single executable application).
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import { plainAsserts } from './plainAsserts.mjs';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });
await build({
  entryPoints: ['packages/router/src/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: 'dist/app.cjs',
  logLevel: 'warning',
  plugins: [plainAsserts],
  // yargs reads import.meta.url at start, which a CommonJS bundle does not have.
  define: { 'import.meta.url': '__moduleUrl' },
  banner: { js: "const __moduleUrl=require('url').pathToFileURL(process.execPath).href;" },
});
writeFileSync(
  'dist/sea.json',
  JSON.stringify({
    main: 'dist/app.cjs',
    output: 'dist/sea.blob',
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
  stdio: 'inherit',
});
copyFileSync(process.execPath, 'dist/camphorvane');
chmodSync('dist/camphorvane', 0o755);
execFileSync(
  process.execPath,
  [
    'node_modules/postject/dist/cli.js',
    'dist/camphorvane',
    'NODE_SEA_BLOB',
    'dist/sea.blob',
    '--sentinel-fuse',
    FUSE,
  ],
  { stdio: 'inherit' },
);
