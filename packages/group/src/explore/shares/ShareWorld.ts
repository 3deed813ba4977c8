import type { Millis, TeamRate } from '@camphorvane/core';
import { ShareHolder } from '../../shares/ShareHolder.ts';
import type { ShareReply, ShareSync } from '../../shares/ShareMessage.ts';
import type { ShareRules, ShareSettings } from '../../shares/ShareSettings.ts';
import { ShareSteward } from '../../shares/ShareSteward.ts';

/** The one team of an explored world. */
export const TEAM = 'team';

/** One start of a host in an explored world. */
export interface WorldHost {
  readonly key: string;
  readonly holder: ShareHolder;
  readonly steward: ShareSteward;
  /** How fast its clock runs against true time. */
  readonly clockRate: number;
  /** The newest epoch that it has heard of. */
  readonly epoch: number;
}

/** A message under way. */
export type WorldMessage =
  | {
      readonly type: 'sync';
      readonly from: string;
      readonly to: string;
      readonly sync: ShareSync;
    }
  | {
      readonly type: 'reply';
      readonly from: string;
      readonly to: string;
      readonly reply: ShareReply;
    };

/** A few hosts, their messages and what callers have received. */
export interface ShareWorld {
  /** True time. */
  readonly at: Millis;
  readonly epoch: number;
  /** Position of each epoch's steward; the last one is in office. */
  readonly stewards: readonly number[];
  readonly hosts: readonly WorldHost[];
  readonly messages: readonly WorldMessage[];
  readonly received: number;
  readonly restarts: number;
}

/** What an explored world is made of. */
export interface ShareWorldOptions {
  readonly settings: ShareSettings;
  readonly rules: ShareRules;
  readonly rate: TeamRate;
  /** The hosts' clocks against true time; as many hosts as entries. */
  readonly clockRates: readonly number[];
  readonly ticks: readonly Millis[];
  readonly maxMessages: number;
  readonly maxEpochs: number;
  readonly maxRestarts: number;
}

/** Gets a host's own clock. */
export function clockOf(world: ShareWorld, host: WorldHost): Millis {
  return world.at * host.clockRate;
}

/** Makes a host that has just started and knows an epoch. */
export function startHost(
  options: ShareWorldOptions,
  key: string,
  clockRate: number,
  epoch: number,
): WorldHost {
  const holder = new ShareHolder(options.settings, options.rules);
  const steward = new ShareSteward(options.settings, options.rules);
  const rates = new Map([[TEAM, options.rate]]);
  holder.setTeams(rates, 0);
  steward.setTeams(rates, 0);
  return { key, holder, steward, clockRate, epoch };
}

/** Makes the world in which the group has just come into being. */
export function startWorld(options: ShareWorldOptions): ShareWorld {
  const hosts = options.clockRates.map((rate, i) => startHost(options, `h${i}`, rate, 1));
  return { at: 0, epoch: 1, stewards: [0], hosts, messages: [], received: 0, restarts: 0 };
}

/** Replaces one host. */
export function withHost(world: ShareWorld, index: number, host: WorldHost): ShareWorld {
  return { ...world, hosts: world.hosts.map((other, i) => (i === index ? host : other)) };
}

/** Gets the position of the steward under an epoch. */
export function stewardIndex(world: ShareWorld, epoch: number): number {
  return world.stewards[epoch - 1] ?? 0;
}

/** Copies a host with machines that may be changed. */
export function forkHost(host: WorldHost): WorldHost {
  return { ...host, holder: host.holder.fork(), steward: host.steward.fork() };
}
