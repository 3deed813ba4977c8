import { readdirSync } from 'node:fs';
import path from 'node:path';
import { Result } from 'neverthrow';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { compare } from './compare.ts';
import { POLICY_NAMES } from './policies/names.ts';
import { formatTable } from './report/formatTable.ts';
import { loadWorkload } from './workload/loadWorkload.ts';

const SHIPPED = path.join(import.meta.dirname, '..', 'workloads');

const args = yargs(hideBin(process.argv))
  .scriptName('npm run bench --')
  .usage('$0 [options]\n\nRuns the scheduler in virtual time beside other policies.')
  .option('seed', { type: 'number', default: 1, describe: 'First seed' })
  .option('seeds', { type: 'number', default: 1, describe: 'Number of seeds; medians are shown' })
  .option('workload', { type: 'string', array: true, describe: 'Workload files; all if absent' })
  .option('policy', { choices: POLICY_NAMES, array: true, describe: 'Policies; all if absent' })
  .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
  .example('$0 --seeds 20 --workload packages/bench/workloads/tasman-peak.toml', 'one workload')
  .strict()
  .parseSync();

const shipped = (): readonly string[] =>
  readdirSync(SHIPPED)
    .filter((file) => file.endsWith('.toml'))
    .sort()
    .map((file) => path.join(SHIPPED, file));

const seeds = [...Array(args.seeds).keys()].map((offset) => args.seed + offset);

const printed = Result.combine((args.workload ?? shipped()).map((file) => loadWorkload(file)))
  .map((workloads) =>
    workloads.map((workload) => compare(workload, seeds, args.policy ?? POLICY_NAMES)),
  )
  .map((scores) => (args.json ? JSON.stringify(scores, undefined, 2) : formatTable(scores)));

printed.match(
  (text) => process.stdout.write(`${text}\n`),
  (error) => {
    process.stderr.write(`${error.file}: ${error.message}\n`);
    process.exitCode = 2;
  },
);
