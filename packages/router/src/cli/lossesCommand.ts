import { readFileSync } from 'node:fs';
import { EXIT } from '@camphorvane/operator/exit';
import type { CommandModule } from 'yargs';
import { parseLogLines } from '../observe/logLines.ts';
import { lossTable } from '../observe/lossTable.ts';
import { summarizeRequests } from '../observe/summarizeRequests.ts';

/** File descriptor of standard input. */
const STDIN_FD = 0;

interface LossesArgs {
  readonly files: readonly string[];
  readonly late: number;
  readonly window: number;
}

/** `losses`: prints which requests were late or lost, when, and why. */
export const lossesCommand: CommandModule<object, LossesArgs> = {
  command: 'losses [files..]',
  describe: 'Print which requests were late or lost, when, and why, from host logs',
  builder: (y) =>
    y
      .positional('files', {
        type: 'string',
        array: true,
        default: [],
        describe: 'Log files of hosts; standard input by default',
      })
      .option('late', {
        type: 'number',
        default: 0.2,
        describe: 'Value of a late answer, as a fraction of one on time',
      })
      .option('window', {
        type: 'number',
        default: 2_000,
        describe: 'Length of a time window, in ms',
      })
      .example('$0 losses hosts.log --late 0.5', 'Count a late answer as half of one on time'),
  handler: ({ files, late, window }) => {
    const sources = files.length > 0 ? files : [STDIN_FD];
    const lines = sources.flatMap((source) => readFileSync(source, 'utf8').split('\n'));
    const requests = summarizeRequests(parseLogLines(lines));
    if (requests.length === 0) {
      process.stderr.write('the logs have no line for an accepted request\n');
      process.exitCode = EXIT.invalid;
      return;
    }
    const table = lossTable(requests, { lateValue: late, windowMs: window });
    process.stdout.write(`${table.join('\n')}\n`);
  },
};
