import { randomBytes } from 'node:crypto';
import { SystemClock } from '@camphorvane/core';
import type { CommandResult } from '@camphorvane/operator';
import { drainCommand, dumpCommand, newKeyCommand, statusCommand } from '@camphorvane/operator';
import type { CommandModule } from 'yargs';
import { CREDENTIAL_OPTION, JSON_OPTION } from './options.ts';
import { printResult } from './printResult.ts';

const KEY_BYTES = 32;

interface HostArgs {
  readonly address: string;
  readonly credential: string;
  readonly json: boolean;
}

type HostCommand = (target: Parameters<typeof dumpCommand>[0]) => Promise<CommandResult>;

function createHostModule(
  name: string,
  describe: string,
  run: HostCommand,
): CommandModule<object, HostArgs> {
  return {
    command: `${name} <address>`,
    describe,
    builder: (y) =>
      y
        .positional('address', {
          type: 'string',
          demandOption: true,
          describe: "ip:port of the host's operator interface",
        })
        .options({ ...CREDENTIAL_OPTION, ...JSON_OPTION })
        .example(`$0 ${name} 127.0.0.1:8701`, 'Use the credential in CAMPHORVANE_CREDENTIAL'),
    handler: async ({ address, credential, json }) => {
      printResult(await run({ address, credential, clock: new SystemClock() }), json);
    },
  };
}

/** `dump`: prints the full state of a host. */
export const dumpModule = createHostModule('dump', 'Print the full state of a host', dumpCommand);

/** `status`: prints a one-line summary of the state of a host. */
export const statusModule = createHostModule(
  'status',
  'Print a summary of the state of a host',
  statusCommand,
);

/** `drain`: drains and stops a host. */
export const drainModule = createHostModule('drain', 'Drain and stop a host', drainCommand);

interface KeyArgs {
  readonly json: boolean;
}

/** `key new`: generates an API key for a team. */
export const keyModule: CommandModule<object, KeyArgs> = {
  command: 'key new',
  describe:
    'Generate an API key for a team; it is shown once, its digest goes into the declarations',
  builder: (y) => y.options(JSON_OPTION).example('$0 key new', 'Print a key and its digest'),
  handler: ({ json }) => printResult(newKeyCommand(randomBytes(KEY_BYTES)), json),
};
