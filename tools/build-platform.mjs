// Builds what runs on the users' platform: one bundle, its compiled code, and what starts it.
import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { bundleForPlatform } from './platformBundle.mjs';

/** Compiled code fits a runtime only with the flags that it was made with. */
const runtimeFlags = () => {
  const [, flags] = /^run = "node (.*) target\/camphorvane\.cjs"$/m.exec(
    readFileSync('deploy/system.toml', 'utf8'),
  );
  return flags.split(' ');
};

const out = process.argv[2] ?? 'target';
mkdirSync(out, { recursive: true });
await bundleForPlatform('packages/router/src/platformMain.ts', path.join(out, 'host.cjs'));
const start = path.join(out, 'camphorvane.cjs');
copyFileSync('tools/platform-start.cjs', start);
// Without settings the program ends at once, after it has loaded.
execFileSync(process.execPath, [...runtimeFlags(), start, '--write-cache'], {
  env: { PATH: process.env.PATH ?? '' },
  stdio: ['ignore', 'ignore', 'ignore'],
});
