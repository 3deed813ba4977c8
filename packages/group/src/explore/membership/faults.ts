import type { MembershipRules } from '../../membership/MembershipSettings.ts';
import { initialState } from '../../membership/MemberState.ts';
import { inputTo, isIsolated, withHost } from './transport.ts';
import { identityAt, localTime, type Split, type Trap, type World } from './World.ts';

/** A fault to inject into the simulation. */
export type Fault =
  | { readonly type: 'crash' | 'pause' | 'drain' | 'leave'; readonly place: number }
  | { readonly type: 'split'; readonly split: Split }
  | { readonly type: 'platform_down' }
  | { readonly type: 'trap'; readonly trap: Trap };

/** A repair of a fault; repairs do not count against the number of faults. */
export type Repair =
  | { readonly type: 'restart' | 'wake' | 'unlist'; readonly place: number }
  | { readonly type: 'heal' }
  | { readonly type: 'platform_up' };

const TRAPS: readonly Trap[] = ['lose_write_answer', 'delay_write', 'delay_answer'];

function splitsOf(hosts: number): readonly Split[] {
  const places = Array.from({ length: hosts }, (_, place) => place);
  const singles = places.map((place) => [place]);
  const pairs = hosts < 4 ? [] : places.slice(1).map((place) => [0, place]);
  return [...singles, ...pairs].flatMap((second) => [
    { second, platformSide: 'first' as const },
    { second, platformSide: 'second' as const },
  ]);
}

/** Gets the faults that can be injected now. */
export function faultsIn(world: World): readonly Fault[] {
  if (world.faultsLeft === 0) return [];
  const onHosts = world.hosts.flatMap((host, place): readonly Fault[] => {
    if (host.condition !== 'running') return [];
    const { intent } = host.state;
    const stops: readonly Fault[] = [
      { type: 'crash', place },
      { type: 'pause', place },
    ];
    const drain: readonly Fault[] = intent === 'stay' ? [{ type: 'drain', place }] : [];
    const leave: readonly Fault[] = intent === 'leave' ? [] : [{ type: 'leave', place }];
    return [...stops, ...drain, ...leave];
  });
  const splits: readonly Fault[] =
    world.split === undefined
      ? splitsOf(world.hosts.length).map((split) => ({ type: 'split', split }))
      : [];
  const down: readonly Fault[] = world.platformDown ? [] : [{ type: 'platform_down' }];
  const traps: readonly Fault[] =
    world.trap === undefined ? TRAPS.map((trap) => ({ type: 'trap', trap })) : [];
  return [...onHosts, ...splits, ...down, ...traps];
}

/** Gets the possible repairs. */
export function repairsIn(world: World): readonly Repair[] {
  const onHosts = world.hosts.flatMap((host, place): readonly Repair[] => {
    if (host.condition === 'paused') return [{ type: 'wake', place }];
    if (host.condition === 'running') return [];
    const unlist: readonly Repair[] = host.listed ? [{ type: 'unlist', place }] : [];
    return [{ type: 'restart', place }, ...unlist];
  });
  const heal: readonly Repair[] = world.split === undefined ? [] : [{ type: 'heal' }];
  const up: readonly Repair[] = world.platformDown ? [{ type: 'platform_up' }] : [];
  return [...onHosts, ...heal, ...up];
}

function withCondition(
  world: World,
  place: number,
  condition: 'running' | 'paused' | 'crashed',
): World {
  const host = world.hosts[place];
  return host === undefined ? world : withHost(world, place, { ...host, condition });
}

/** Records since when each host has been isolated. */
export function withIsolation(world: World): World {
  const hosts = world.hosts.map((host, place) => {
    const alone = isIsolated(world, place);
    return { ...host, isolatedSince: alone ? (host.isolatedSince ?? world.tick) : undefined };
  });
  return { ...world, hosts };
}

/** Injects a fault. */
export function injectFault(before: World, fault: Fault, rules: MembershipRules): World {
  const world = { ...before, faultsLeft: before.faultsLeft - 1 };
  switch (fault.type) {
    case 'crash':
      return withCondition(world, fault.place, 'crashed');
    case 'pause':
      return withCondition(world, fault.place, 'paused');
    case 'drain':
    case 'leave':
      return inputTo(world, fault.place, { type: fault.type }, rules);
    case 'split':
      return { ...world, split: fault.split };
    case 'platform_down':
      return { ...world, platformDown: true };
    case 'trap':
      return { ...world, trap: fault.trap };
    default:
      return fault satisfies never;
  }
}

function restart(world: World, place: number): World {
  const host = world.hosts[place];
  if (host === undefined) return world;
  const start = Number(host.state.self.incarnation.slice(1)) + 1;
  const self = identityAt(place, start);
  const state = initialState(host.state.group, self, localTime(world, host));
  const { rate } = host;
  const fresh = { state, rate, condition: 'running', listed: true, highestEpoch: 0 } as const;
  return withHost(world, place, fresh);
}

/** Repairs a fault. */
export function applyRepair(world: World, mend: Repair): World {
  switch (mend.type) {
    case 'restart':
      return restart(world, mend.place);
    case 'wake':
      return withCondition(world, mend.place, 'running');
    case 'unlist': {
      const host = world.hosts[mend.place];
      return host === undefined ? world : withHost(world, mend.place, { ...host, listed: false });
    }
    case 'heal':
      return { ...world, split: undefined };
    case 'platform_up':
      return { ...world, platformDown: false };
    default:
      return mend satisfies never;
  }
}
