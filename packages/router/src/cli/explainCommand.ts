import { readFileSync } from 'node:fs';
import { EXIT } from '@camphorvane/operator/exit';
import type { CommandModule } from 'yargs';
import { explainRequest } from '../observe/explainRequest.ts';

/** File descriptor of standard input. */
const STDIN_FD = 0;

interface ExplainArgs {
  readonly id: string;
  readonly files: readonly string[];
}

/** `explain`: prints the timeline of a request from the logs of hosts. */
export const explainCommand: CommandModule<object, ExplainArgs> = {
  command: 'explain <id> [files..]',
  describe: 'Print the timeline of a request from host logs, with the ages of its inputs',
  builder: (y) =>
    y
      .positional('id', { type: 'string', demandOption: true, describe: 'Id of the request' })
      .positional('files', {
        type: 'string',
        array: true,
        default: [],
        describe: 'Log files of hosts; standard input by default',
      }),
  handler: ({ id, files }) => {
    const sources = files.length > 0 ? files : [STDIN_FD];
    const lines = sources.flatMap((source) => readFileSync(source, 'utf8').split('\n'));
    const timeline = explainRequest(String(id), lines);
    if (timeline.length === 0) {
      process.stderr.write(`the logs have no line for request ${id}\n`);
      process.exitCode = EXIT.invalid;
      return;
    }
    process.stdout.write(`${timeline.join('\n')}\n`);
  },
};
