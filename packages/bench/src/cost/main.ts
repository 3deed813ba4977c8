import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { SystemClock } from '@camphorvane/core';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { measureCost } from './measureCost.ts';

const args = yargs(hideBin(process.argv))
  .scriptName('npm run bench:cost --')
  .usage('$0 [options]\n\nMeasures what one decision costs as the pool grows.')
  .option('engines', { type: 'number', array: true, default: [10, 100, 1_000] })
  .option('teams', { type: 'number', array: true, default: [100, 2_000, 20_000] })
  .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
  .example('$0 --engines 100 --teams 2000', 'one size')
  .strict()
  .parseSync();

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

const heap = (): number => {
  collect();
  return process.memoryUsage().heapUsed;
};

const samples = args.engines.flatMap((engines) =>
  args.teams.map((teams) => measureCost(engines, teams, new SystemClock(), heap)),
);

const row = (cells: readonly (string | number)[]): string =>
  cells.map((cell) => String(cell).padStart(12)).join('');

const table = [
  row(['engines', 'teams', 'queued', 'decisions/s', 'us/decision', 'bytes/queued']),
  ...samples.map((sample) =>
    row([
      sample.engines,
      sample.teams,
      sample.queued,
      Math.round(sample.decisionsPerSecond),
      (1e6 / sample.decisionsPerSecond).toFixed(1),
      Math.round(sample.bytesPerQueued),
    ]),
  ),
];

process.stdout.write(
  args.json ? `${JSON.stringify(samples, undefined, 2)}\n` : `${table.join('\n')}\n`,
);
