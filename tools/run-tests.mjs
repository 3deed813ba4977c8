// Runs the tests of every package, or of the packages and files named on the command line. Tests that
// KNOWN-RED.txt lists as `test "NAME" in FILE;` may fail; all of them are printed.
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
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

const readKnownRed = () =>
  existsSync('KNOWN-RED.txt')
    ? [...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^test "(.+?)" in (\S+);/gm)].map(
        ([, name, file]) => ({ name, file }),
      )
    : [];

const named = process.argv.slice(2);
const files = (
  named.length > 0 ? named.flatMap(expand) : [...walk('packages'), ...walk('platform')]
).sort();
if (files.length === 0) {
  console.error('no test files found');
  process.exit(1);
}
const folder = mkdtempSync(path.join(tmpdir(), 'tests-'));
const reporter = path.resolve('tools/failed-tests-reporter.mjs');

const readFailed = (file) =>
  existsSync(file)
    ? readFileSync(file, 'utf8')
        .split('\n')
        .filter((line) => line !== '')
        .map((line) => JSON.parse(line))
        .map((one) => ({ name: one.name, file: path.relative('.', one.file ?? '') }))
    : [];

/** Runs test files, so many at once; gets the exit code and the tests that failed. */
const runFiles = (chosen, concurrency) => {
  if (chosen.length === 0) return { status: 0, failed: [] };
  const failedFile = path.join(folder, `failed-${concurrency}.jsonl`);
  const { status } = spawnSync(
    process.execPath,
    [
      ...['--import', 'tsx', '--test', `--test-concurrency=${concurrency}`],
      ...['--test-reporter=spec', '--test-reporter-destination=stdout'],
      ...[`--test-reporter=${reporter}`, `--test-reporter-destination=${failedFile}`],
      ...chosen,
    ],
    { stdio: 'inherit' },
  );
  return { status, failed: readFailed(failedFile) };
};

// What a crowd of clients does to a process is measured apart from other load.
const isOfCrowds = (file) => file.split(path.sep).includes('crowds');
const others = files.filter((file) => !isOfCrowds(file));
const runs = [runFiles(others, 4), runFiles(files.filter(isOfCrowds), 1)];
const failed = runs.flatMap((run) => run.failed);
rmSync(folder, { recursive: true });
const knownRed = readKnownRed();
const isKnown = ({ name, file }) =>
  knownRed.some((known) => known.name === name && known.file === file);
knownRed.forEach((known) => {
  const hasFailed = failed.some(({ name, file }) => name === known.name && file === known.file);
  const result = files.includes(known.file) ? 'passed' : 'not run';
  console.log(`known red: "${known.name}" in ${known.file}: ${hasFailed ? 'failed' : result}`);
});
const isPassed = (run) =>
  run.status === 0 || (run.status === 1 && run.failed.length > 0 && run.failed.every(isKnown));
process.exit(runs.every(isPassed) ? 0 : 1);
