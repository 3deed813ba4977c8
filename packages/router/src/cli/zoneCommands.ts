import { randomBytes, randomInt } from 'node:crypto';
import { RandomSource, SystemClock } from '@camphorvane/core';
import type { ZoneRequest } from '@camphorvane/operator';
import { zoneCommand } from '@camphorvane/operator';
import { HttpObjectStore } from '@camphorvane/store';
import type { CommandModule } from 'yargs';
import { JSON_OPTION, PLATFORM_OPTION } from './options.ts';
import { printResult } from './printResult.ts';

const CHANGE_ID_BYTES = 12;

const SEED_LIMIT = 2 ** 31;

interface ZoneArgs {
  readonly zone: string;
  readonly platform: string;
  readonly json: boolean;
}

const ZONE = {
  type: 'string',
  demandOption: true,
  describe: 'Name of the availability zone',
} as const;

/** `drain-zone`: drains the upstreams of an availability zone. */
export const drainZoneModule: CommandModule<object, ZoneArgs> = {
  command: 'drain-zone <zone>',
  describe: 'Stop sending requests to the engines and servers of an availability zone',
  builder: (y) => y.positional('zone', ZONE).options({ ...PLATFORM_OPTION, ...JSON_OPTION }),
  handler: (args) => changeZone(args, 'drain'),
};

/** `restore-zone`: restores the upstreams of a drained availability zone. */
export const restoreZoneModule: CommandModule<object, ZoneArgs> = {
  command: 'restore-zone <zone>',
  describe: 'Resume sending requests to the engines and servers of a drained availability zone',
  builder: (y) => y.positional('zone', ZONE).options({ ...PLATFORM_OPTION, ...JSON_OPTION }),
  handler: (args) => changeZone(args, 'restore'),
};

async function changeZone(args: ZoneArgs, action: ZoneRequest['action']): Promise<void> {
  const clock = new SystemClock();
  const context = {
    store: new HttpObjectStore({ baseUrl: args.platform, clock }),
    clock,
    random: new RandomSource(randomInt(SEED_LIMIT)),
  };
  const freshId = randomBytes(CHANGE_ID_BYTES).toString('base64url');
  printResult(await zoneCommand(context, { zone: args.zone, action, freshId }), args.json);
}
