import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { ScenarioError } from './language/parseScenario.ts';
import { readScenario } from './language/readScenario.ts';
import type { Scenario } from './language/scenarioSchema.ts';
import { reportLines } from './report.ts';
import { runScenario } from './runScenario.ts';
import type { ScenarioResult } from './runScenario.ts';
import { ROUTER_SUBJECT } from './subject/routerSubject.ts';

const EXIT_FAILED = 1;
const EXIT_BAD_FILE = 2;

function readAll(files: readonly string[]): Result<readonly Scenario[], readonly ScenarioError[]> {
  const results = files.map(readScenario);
  const errors = results.flatMap((result) => (result.isErr() ? result.error : []));
  return errors.length > 0
    ? err(errors)
    : ok(results.flatMap((result) => (result.isOk() ? [result.value] : [])));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs each scenario with each seed, one after another, and prints each result as it comes. */
async function runAll(
  scenarios: readonly Scenario[],
  seeds: readonly number[],
  json: boolean,
): Promise<readonly ScenarioResult[]> {
  const runs = scenarios.flatMap((scenario) => seeds.map((seed) => ({ scenario, seed })));
  return runs.reduce<Promise<readonly ScenarioResult[]>>(async (before, { scenario, seed }) => {
    const results = await before;
    const result = await runScenario(scenario, seed, { subject: ROUTER_SUBJECT });
    if (!json) reportLines(result).forEach(print);
    return [...results, result];
  }, Promise.resolve([]));
}

const args = await yargs(hideBin(process.argv))
  .scriptName('scenario')
  .usage('$0 FILE... [--seed N] [--seeds N] [--json]')
  .example('$0 scenarios/host-dies.toml --seeds 50', 'Runs one scenario with the seeds 1 to 50')
  .option('seed', { type: 'number', default: 1, describe: 'First seed' })
  .option('seeds', { type: 'number', default: 1, describe: 'How many seeds, counted up' })
  .option('json', { type: 'boolean', default: false, describe: 'Prints one JSON document' })
  .demandCommand(1, 'Name at least one scenario file')
  .strictOptions()
  .help()
  .parseAsync();

const scenarios = readAll(args._.map(String));
if (scenarios.isErr()) {
  scenarios.error.forEach(({ place, key, message }) => {
    process.stderr.write(`${place}: ${key === '' ? '' : `${key}: `}${message}\n`);
  });
  process.exitCode = EXIT_BAD_FILE;
} else {
  const seeds = Array.from({ length: args.seeds }, (_, index) => args.seed + index);
  const results = await runAll(scenarios.value, seeds, args.json);
  if (args.json) print(JSON.stringify(results, undefined, 2));
  const failed = results.filter((result) => result.violations.length > 0);
  if (!args.json) print(`${results.length - failed.length} of ${results.length} runs passed`);
  if (failed.length > 0) process.exitCode = EXIT_FAILED;
}
