import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { groupSlopes } from './groupSlopes.ts';
import { memorySlopes } from './memorySlopes.ts';
import { formatSlope, type Slope } from './Slope.ts';

const args = yargs(hideBin(process.argv))
  .scriptName('npm run slopes --')
  .usage('$0 [options]\n\nMeasures what control costs at several sizes, and fits lines.')
  .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
  .strict()
  .parseSync();

const print = (slopes: readonly Slope[]): void => {
  const text = args.json
    ? slopes.map((slope) => JSON.stringify(slope)).join('\n')
    : slopes.map(formatSlope).join('\n');
  process.stdout.write(`${text}\n`);
};

print(memorySlopes());
print(await groupSlopes());
