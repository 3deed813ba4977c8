import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { RATE_CASES } from './cases.ts';
import { type RateCount, runRateCase } from './runRateCase.ts';

const args = yargs(hideBin(process.argv))
  .scriptName('npm run bench:rates --')
  .usage(
    '$0 [options]\n\nCounts refusals of requests that were within their rate, in virtual time.',
  )
  .option('seed', { type: 'number', default: 1, describe: 'First seed' })
  .option('seeds', { type: 'number', default: 5, describe: 'Number of seeds, summed up' })
  .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
  .example('$0 --seeds 20', 'twenty runs of each case')
  .strict()
  .parseSync();

interface CaseResult {
  readonly name: string;
  readonly counts: readonly RateCount[];
}

function add(a: RateCount, b: RateCount): RateCount {
  return {
    policy: a.policy,
    asked: a.asked + b.asked,
    refused: a.refused + b.refused,
    refusedWithin: a.refusedWithin + b.refusedWithin,
    within: a.within + b.within,
  };
}

const seeds = Array.from({ length: args.seeds }, (_, i) => args.seed + i);

const results = await RATE_CASES.reduce(
  async (before, rateCase) => {
    const done = await before;
    const runs = await seeds.reduce(
      async (earlier, seed) => [...(await earlier), await runRateCase(rateCase, seed)],
      Promise.resolve([] as (readonly RateCount[])[]),
    );
    const counts = runs.reduce((sum, run) => sum.map((one, i) => add(one, run[i] ?? one)));
    return [...done, { name: rateCase.name, counts }];
  },
  Promise.resolve([] as CaseResult[]),
);

function percent(part: number, whole: number): string {
  return `${((100 * part) / Math.max(1, whole)).toFixed(3)} %`;
}

function line(name: string, one: RateCount): string {
  const cells = [
    name.padEnd(18),
    one.policy.padEnd(12),
    String(one.asked).padStart(8),
    percent(one.refused, one.asked).padStart(12),
    percent(one.refusedWithin, one.within).padStart(20),
  ];
  return cells.join(' ');
}

const heading = `${'case'.padEnd(18)} ${'policy'.padEnd(12)} ${'asked'.padStart(8)} ${'refused'.padStart(12)} ${'refused within rate'.padStart(20)}`;

const text = args.json
  ? JSON.stringify(results, undefined, 2)
  : [heading, ...results.flatMap(({ name, counts }) => counts.map((one) => line(name, one)))].join(
      '\n',
    );
process.stdout.write(`${text}\n`);
