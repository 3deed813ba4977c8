import { readFileSync } from 'node:fs';
import { EXIT } from '@camphorvane/operator/exit';
import type { CommandModule } from 'yargs';
import { explainRequest } from '../observe/explainRequest.ts';

/** File descriptor of standard input. */
const STDIN = 0;

interface ExplainArgs {
  readonly id: string;
  readonly files: readonly string[];
}

/** `explain`: prints what the logs say of one request. */
export const explainCommand: CommandModule<object, ExplainArgs> = {
  command: 'explain <id> [files..]',
  describe: 'Print what logs of hosts say of one request, in order, with the ages of its inputs',
  builder: (y) =>
    y
      .positional('id', { type: 'string', demandOption: true, describe: 'Id of the request' })
      .positional('files', {
        type: 'string',
        array: true,
        default: [],
        describe: 'Logs of hosts; standard input where none is named',
      }),
  handler: ({ id, files }) => {
    const sources = files.length > 0 ? files : [STDIN];
    const lines = sources.flatMap((source) => readFileSync(source, 'utf8').split('\n'));
    const story = explainRequest(String(id), lines);
    if (story.length === 0) {
      process.stderr.write(`no line of these logs names request ${id}\n`);
      process.exitCode = EXIT.invalid;
      return;
    }
    process.stdout.write(`${story.join('\n')}\n`);
  },
};
