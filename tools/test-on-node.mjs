// Runs test files on another version of Node.js, by default those that touch the parsers, sockets and the start.
// Usage: npm run test:runtime -- VERSION [FILE...]
import { spawnSync } from 'node:child_process';

const RUNTIME_TESTS = [
  'packages/caller/tests/*.test.ts',
  'packages/upstream/tests/*.test.ts',
  'packages/router/tests/cli/*.test.ts',
  'platform/tests/*nswer*.test.ts',
  'platform/tests/Ingress.test.ts',
  'platform/tests/requestSyntax.test.ts',
];

const [version, ...files] = process.argv.slice(2);
if (version === undefined) {
  console.error('usage: npm run test:runtime -- VERSION [FILE...]');
  process.exit(2);
}
const runtime = `node-${process.platform}-${process.arch}@${version}`;
const tests = (files.length > 0 ? files : RUNTIME_TESTS).join(' ');
const command = `node --version && node --import tsx --test ${tests}`;
const run = spawnSync('npm', ['exec', '--yes', `--package=${runtime}`, '-c', command], {
  stdio: 'inherit',
});
process.exit(run.status ?? 1);
