import type { Millis, TeamRate } from '@camphorvane/core';
import { ShareHolder } from '../../shares/ShareHolder.ts';
import type { ShareReply, ShareSync } from '../../shares/ShareMessage.ts';
import type { ShareRules, ShareSettings } from '../../shares/ShareSettings.ts';
import { ShareCoordinator } from '../../shares/ShareCoordinator.ts';

/** The only team of the simulation. */
export const TEAM = 'team';

/** One incarnation of a simulated host. */
export interface WorldHost {
  readonly key: string;
  readonly holder: ShareHolder;
  readonly coordinator: ShareCoordinator;
  /** Rate of its clock relative to true time. */
  readonly clockRate: number;
  /** The newest epoch that it knows. */
  readonly epoch: number;
}

/** A message in flight. */
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

/** State of the simulation: hosts, messages and the tokens that callers have received. */
export interface ShareWorld {
  /** True time, in milliseconds. */
  readonly at: Millis;
  readonly epoch: number;
  /** Index of each epoch's coordinator; the last one is the present coordinator. */
  readonly stewards: readonly number[];
  readonly hosts: readonly WorldHost[];
  readonly messages: readonly WorldMessage[];
  readonly received: number;
  readonly restarts: number;
}

/** Options of a simulation. */
export interface ShareWorldOptions {
  readonly settings: ShareSettings;
  readonly rules: ShareRules;
  readonly rate: TeamRate;
  /** Clock rate of each host relative to true time. */
  readonly clockRates: readonly number[];
  readonly ticks: readonly Millis[];
  readonly maxMessages: number;
  readonly maxEpochs: number;
  readonly maxRestarts: number;
}

/** Gets the time on a host's clock. */
export function clockOf(world: ShareWorld, host: WorldHost): Millis {
  return world.at * host.clockRate;
}

/** Creates a host that has just started and knows an epoch. */
export function startHost(
  options: ShareWorldOptions,
  key: string,
  clockRate: number,
  epoch: number,
): WorldHost {
  const holder = new ShareHolder(options.settings, options.rules);
  const coordinator = new ShareCoordinator(options.settings, options.rules);
  const rates = new Map([[TEAM, options.rate]]);
  holder.setRates(rates, 0);
  coordinator.setRates(rates, 0);
  return { key, holder, coordinator, clockRate, epoch };
}

/** Creates the initial state, with a new group. */
export function startWorld(options: ShareWorldOptions): ShareWorld {
  const hosts = options.clockRates.map((rate, i) => startHost(options, `h${i}`, rate, 1));
  return { at: 0, epoch: 1, stewards: [0], hosts, messages: [], received: 0, restarts: 0 };
}

/** Returns a copy with one host replaced. */
export function withHost(world: ShareWorld, index: number, host: WorldHost): ShareWorld {
  return { ...world, hosts: world.hosts.map((other, i) => (i === index ? host : other)) };
}

/** Gets the index of the coordinator of an epoch. */
export function coordinatorIndex(world: ShareWorld, epoch: number): number {
  return world.stewards[epoch - 1] ?? 0;
}

/** Copies a host with independent state machines. */
export function forkHost(host: WorldHost): WorldHost {
  return { ...host, holder: host.holder.fork(), coordinator: host.coordinator.fork() };
}
