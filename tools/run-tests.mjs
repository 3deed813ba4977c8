// Runs the tests of every package, or of the packages and files named on the command line.
import { spawnSync } from 'node:child_process';
import { readdirSync, statSync } from 'node:fs';
import path from 'node:path';

const walk = (dir) =>
  readdirSync(dir, { withFileTypes: true }).flatMap((entry) => {
    const file = path.join(dir, entry.name);
    if (entry.isDirectory()) return entry.name === 'node_modules' ? [] : walk(file);
    return file.endsWith('.test.ts') ? [file] : [];
  });

const expand = (name) => {
  const dir = path.join('packages', name);
  return name.endsWith('.ts') ? [name] : walk(statSync(dir) && dir);
};

const named = process.argv.slice(2);
const files = (
  named.length > 0 ? named.flatMap(expand) : [...walk('packages'), ...walk('platform')]
).sort();
if (files.length === 0) {
  console.error('no test files found');
  process.exit(1);
}
const run = spawnSync(
  process.execPath,
  ['--import', 'tsx', '--test', '--test-reporter=spec', '--test-concurrency=4', ...files],
  { stdio: 'inherit' },
);
process.exit(run.status ?? 1);
