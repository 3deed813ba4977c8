import type { ExploredProtocol, Invariant } from '../ExploredProtocol.ts';
import { SHARE_UNITS } from '../../shares/ShareSettings.ts';
import type { CoordinatorContext } from '../../shares/CoordinatorContext.ts';
import {
  clockOf,
  forkHost,
  type ShareWorld,
  type ShareWorldOptions,
  startHost,
  startWorld,
  coordinatorIndex,
  TEAM,
  withHost,
  type WorldHost,
  type WorldMessage,
} from './ShareWorld.ts';

/** An action of the simulation. */
export type ShareAction =
  | { readonly type: 'send'; readonly host: number; readonly demand: number }
  | { readonly type: 'deliver'; readonly message: number; readonly keep: boolean }
  | { readonly type: 'lose'; readonly message: number }
  | { readonly type: 'spend'; readonly host: number }
  | { readonly type: 'borrow'; readonly host: number; readonly from: number }
  | { readonly type: 'tick'; readonly span: number }
  | { readonly type: 'new_epoch'; readonly steward: number }
  | { readonly type: 'learn'; readonly host: number }
  | { readonly type: 'restart'; readonly host: number };

/** Demand, in seconds of the rate, that outweighs the evenly spread part of the rate. */
const DEMAND_SECONDS = 20;

/** Tolerance for rounding of levels, in tokens. */
const EPSILON = 1e-6;

function lookupOf(world: ShareWorld, host: WorldHost): () => string {
  return () => world.hosts[coordinatorIndex(world, host.epoch)]?.key ?? '';
}

/**
 * Gets what membership guarantees: one coordinator at a time, which acts only after all earlier
 * ones have stopped; in this simulation the old one stops at the moment of the change.
 */
function contextOf(world: ShareWorld, index: number): CoordinatorContext {
  const host = world.hosts[index] as WorldHost;
  const isSteward = coordinatorIndex(world, world.epoch) === index;
  return {
    epoch: host.epoch,
    members: world.hosts.map((other) => other.key),
    possibleHolders: world.hosts.map((other) => other.key),
    isHistoryComplete: world.restarts === 0,
    isFirstEpoch: host.epoch === 1 && world.restarts === 0,
    mayCoordinate: () => isSteward && host.epoch === world.epoch,
    isCoordinatorThroughout: (_team, since) =>
      world.stewards.slice(since, host.epoch).every((steward) => steward === index),
  };
}

function deliverSync(
  world: ShareWorld,
  message: Extract<WorldMessage, { type: 'sync' }>,
): ShareWorld {
  const index = world.hosts.findIndex((host) => host.key === message.to);
  const known = world.hosts[index];
  if (known === undefined) return world;
  const host = forkHost(known);
  const now = clockOf(world, host);
  const ctx = contextOf(world, index);
  const answer = host.coordinator.handleSync(message.from, message.sync, ctx, now);
  const next = withHost(world, index, host);
  if (answer === undefined) return next;
  const reply: WorldMessage = {
    type: 'reply',
    from: message.to,
    to: message.from,
    reply: answer.reply,
  };
  return { ...next, messages: [...next.messages, reply] };
}

function deliverReply(
  world: ShareWorld,
  message: Extract<WorldMessage, { type: 'reply' }>,
): ShareWorld {
  const index = world.hosts.findIndex((host) => host.key === message.to);
  const known = world.hosts[index];
  if (known === undefined) return world;
  const host = forkHost(known);
  const now = clockOf(world, host);
  host.holder.applyReply(message.from, message.reply, lookupOf(world, host), now);
  return withHost(world, index, host);
}

function send(world: ShareWorld, index: number, demand: number): ShareWorld {
  const host = forkHost(world.hosts[index] as WorldHost);
  const now = clockOf(world, host);
  const lookup = lookupOf(world, host);
  host.holder.handleSyncFailure(lookup());
  if (demand > 0) host.holder.recordDemand(TEAM, demand, now);
  host.holder.markDirty(TEAM, now);
  const sync = host.holder.createSync(lookup(), host.epoch, lookup, now);
  const message: WorldMessage = { type: 'sync', from: host.key, to: lookup(), sync };
  return { ...withHost(world, index, host), messages: [...world.messages, message] };
}

function spend(world: ShareWorld, index: number): ShareWorld {
  const host = forkHost(world.hosts[index] as WorldHost);
  const now = clockOf(world, host);
  const level = Math.floor(host.holder.getHeldShare(TEAM, now)?.bucket.level ?? 0);
  if (level < 1 || host.holder.charge(TEAM, level, now).type !== 'charged') return world;
  return { ...withHost(world, index, host), received: world.received + level };
}

/** Lends tokens: they count as spent at another host, though the message might be lost. */
function borrow(world: ShareWorld, from: number): ShareWorld {
  const lender = forkHost(world.hosts[from] as WorldHost);
  const lent = lender.holder.lend(TEAM, Infinity, clockOf(world, lender));
  if (lent < 1) return world;
  return { ...withHost(world, from, lender), received: world.received + lent };
}

function restart(world: ShareWorld, index: number, options: ShareWorldOptions): ShareWorld {
  const old = world.hosts[index] as WorldHost;
  const key = `${old.key}+`;
  const host = startHost(options, key, old.clockRate, world.epoch);
  return { ...withHost(world, index, host), restarts: world.restarts + 1 };
}

function deliver(world: ShareWorld, action: Extract<ShareAction, { type: 'deliver' }>): ShareWorld {
  const message = world.messages[action.message];
  if (message === undefined) return world;
  const messages = world.messages.filter((_, i) => action.keep || i !== action.message);
  const next = { ...world, messages };
  return message.type === 'sync' ? deliverSync(next, message) : deliverReply(next, message);
}

function apply(world: ShareWorld, action: ShareAction, options: ShareWorldOptions): ShareWorld {
  switch (action.type) {
    case 'send':
      return send(world, action.host, action.demand);
    case 'deliver':
      return deliver(world, action);
    case 'lose':
      return { ...world, messages: world.messages.filter((_, i) => i !== action.message) };
    case 'spend':
      return spend(world, action.host);
    case 'borrow':
      return borrow(world, action.from);
    case 'tick':
      return { ...world, at: world.at + action.span };
    case 'new_epoch':
      return { ...world, epoch: world.epoch + 1, stewards: [...world.stewards, action.steward] };
    case 'learn': {
      const host = forkHost(world.hosts[action.host] as WorldHost);
      host.holder.handleEpochChange();
      return withHost(world, action.host, { ...host, epoch: world.epoch });
    }
    case 'restart':
      return restart(world, action.host, options);
    default:
      return action satisfies never;
  }
}

function hostActions(
  world: ShareWorld,
  options: ShareWorldOptions,
  index: number,
): readonly ShareAction[] {
  const host = world.hosts[index] as WorldHost;
  const canSend = world.messages.length < options.maxMessages;
  const canRestart = world.restarts < options.maxRestarts;
  const large = options.rate.tokensPerSecond * DEMAND_SECONDS;
  const sends: readonly ShareAction[] = [
    { type: 'send', host: index, demand: 0 },
    { type: 'send', host: index, demand: large },
  ];
  return [
    ...(canSend ? sends : []),
    { type: 'spend', host: index },
    ...world.hosts.flatMap((_, from): ShareAction[] =>
      from === index ? [] : [{ type: 'borrow', host: index, from }],
    ),
    ...(host.epoch < world.epoch ? [{ type: 'learn', host: index } as const] : []),
    ...(canRestart ? [{ type: 'restart', host: index } as const] : []),
  ];
}

function actionsOf(world: ShareWorld, options: ShareWorldOptions): readonly ShareAction[] {
  const canChange = world.epoch < options.maxEpochs;
  return [
    ...world.hosts.flatMap((_, i) => hostActions(world, options, i)),
    ...world.messages.flatMap((_, message): ShareAction[] => [
      { type: 'deliver', message, keep: false },
      { type: 'deliver', message, keep: true },
      { type: 'lose', message },
    ]),
    ...options.ticks.map((span): ShareAction => ({ type: 'tick', span })),
    ...(canChange
      ? world.hosts.map((_, steward): ShareAction => ({ type: 'new_epoch', steward }))
      : []),
  ];
}

/** Gets the units that holders can use now or that the present coordinator could grant. */
function unitsInUse(world: ShareWorld): number {
  const held = world.hosts.map((host) => {
    const copy = host.holder.fork();
    return copy.getHeldShare(TEAM, clockOf(world, host))?.share ?? 0;
  });
  const index = coordinatorIndex(world, world.epoch);
  const steward = world.hosts[index];
  const ledger = steward?.coordinator.accounts.get(TEAM);
  const isCurrent =
    ledger !== undefined && contextOf(world, index).isCoordinatorThroughout(TEAM, ledger.epoch);
  return held.reduce((a, b) => a + b, 0) + (isCurrent ? ledger.free : 0);
}

function keyOf(world: ShareWorld): string {
  const hosts = world.hosts.map((host) => {
    const { held, pairs, dirty, unlisted } = host.holder.state;
    const lists = [...unlisted].map(([key, teams]) => [key, [...teams]]);
    return [host.key, host.epoch, [...held], [...pairs], [...dirty], lists, host.coordinator.state];
  });
  return JSON.stringify([world.at, world.stewards, hosts, world.messages, world.received]);
}

function invariantsOf(options: ShareWorldOptions): readonly Invariant<ShareWorld>[] {
  return [
    {
      name: 'shares add up to at most one',
      check: (world) => {
        const units = unitsInUse(world);
        return units > SHARE_UNITS ? `${units} units are in use` : undefined;
      },
    },
    {
      name: 'rate and burst',
      check: (world) => {
        const { tokensPerSecond, burstTokens } = options.rate;
        const bound = (tokensPerSecond * world.at) / 1000 + burstTokens;
        if (world.received <= bound + EPSILON) return undefined;
        return `received ${world.received} of at most ${bound} tokens`;
      },
    },
  ];
}

/** Wraps the share protocol for the model checker: the hosts' state machines, with faults. */
export function shareProtocol(
  options: ShareWorldOptions,
): ExploredProtocol<ShareWorld, ShareAction> {
  return {
    name: 'shares',
    initial: () => [startWorld(options)],
    actions: (world) => actionsOf(world, options),
    apply: (world, action) => apply(world, action, options),
    key: keyOf,
    describe: (action) => JSON.stringify(action),
    invariants: invariantsOf(options),
  };
}
