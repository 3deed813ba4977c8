import { MEMBERSHIP_RULES, type MembershipRules } from '../../membership/MembershipSettings.ts';
import { initialState } from '../../membership/MemberState.ts';
import type { ExploredProtocol } from '../ExploredProtocol.ts';
import {
  faultsIn,
  applyRepair,
  repairsIn,
  injectFault,
  withIsolation,
  type Fault,
  type Repair,
} from './faults.ts';
import { membershipInvariants } from './invariants.ts';
import { deliver, failureOf, inputTo, isPassable } from './transport.ts';
import { FAST, identityAt, SLOW, type Flight, type World } from './World.ts';
import { worldKey } from './worldKey.ts';

/** An action of the simulation. */
export type WorldAction =
  | { readonly type: 'pass'; readonly ticks: number }
  | { readonly type: 'tick'; readonly place: number }
  | { readonly type: 'arrive' | 'lose' | 'duplicate'; readonly flight: number }
  | { readonly type: 'fault'; readonly fault: Fault }
  | { readonly type: 'repair'; readonly repair: Repair };

/** Granularity at which the search interleaves events. */
export type Grain =
  /** In each tick all hosts run in turn, and messages arrive at once unless a fault prevents it. */
  | 'rounds'
  /** Each host, message, call and answer progresses independently. */
  | 'events';

/** Options of a search. */
export interface MembershipSearch {
  readonly hosts: number;
  readonly rules: MembershipRules;
  readonly grain: Grain;
  /** Largest number of faults in one trace. */
  readonly faults: number;
}

/** Ticks after which hosts that started together have formGroup a stable group. */
const FORMING_TICKS = 40;

/** Ticks of a long wait, with which few steps cover timeout, takeover and recovery. */
const LONG_WAIT = 5;

/** Most flights at once in a search by events; beyond it the oldest messages are lost. */
const MAX_FLIGHTS = 10;

/** Drops the oldest messages above the bound; calls to the platform are never dropped. */
function dropExcess(world: World): World {
  const excess = world.flights.length - MAX_FLIGHTS;
  if (excess <= 0) return world;
  const isMessage = (flight: Flight): boolean => ['hello', 'welcome'].includes(flight.type);
  const dropped = new Set(world.flights.filter(isMessage).slice(0, excess));
  return { ...world, flights: world.flights.filter((flight) => !dropped.has(flight)) };
}

function withoutFlight(world: World, index: number): World {
  return { ...world, flights: world.flights.filter((_, at) => at !== index) };
}

/** Tells whether the present trap applies to a flight. */
function isTrapped(world: World, flight: Flight): boolean {
  switch (world.trap) {
    case 'delay_write':
      return flight.type === 'write';
    case 'lose_write_answer':
      return flight.type === 'write_result';
    case 'delay_answer':
      return flight.type === 'welcome';
    case undefined:
      return false;
    default:
      return world.trap satisfies never;
  }
}

/** Delivers all flights in order until none are left; `held` flights stay in flight. */
function settle(start: World, held: readonly Flight[], rules: MembershipRules): World {
  let world = start;
  let kept = held;
  while (world.flights.length > 0) {
    const [flight] = world.flights as [Flight];
    const rest = withoutFlight(world, 0);
    const failure = failureOf(flight);
    const failed = failure === undefined ? rest : deliver(rest, failure, rules);
    if (isTrapped(world, flight)) {
      if (world.trap !== 'lose_write_answer') kept = [...kept, flight];
      world = { ...failed, trap: undefined };
    } else {
      world = isPassable(world, flight) ? deliver(rest, flight, rules) : failed;
    }
  }
  return { ...world, flights: kept };
}

/** Applies a change, then delivers all flights that result from it. */
function applyAndSettle(
  world: World,
  apply: (quiet: World) => World,
  rules: MembershipRules,
): World {
  return settle(apply({ ...world, flights: [] }), world.flights, rules);
}

function pass(world: World, rules: MembershipRules): World {
  const later = { ...world, tick: world.tick + 1 };
  return later.hosts.reduce<World>((at, _, place) => {
    if (at.hosts[place]?.condition !== 'running') return at;
    return applyAndSettle(at, (quiet) => inputTo(quiet, place, { type: 'tick' }, rules), rules);
  }, later);
}

/** Advances time tick by tick; stops at a violation, so that a long wait does not hide it. */
function passTicks(world: World, ticks: number, search: MembershipSearch): World {
  const after = withIsolation(pass(world, search.rules));
  const isBroken = membershipInvariants(search.hosts, search.rules).some(
    (invariant) => invariant.check(after) !== undefined,
  );
  return ticks <= 1 || isBroken ? after : passTicks(after, ticks - 1, search);
}

function coldStart(rates: readonly number[], faults: number): World {
  const hosts = rates.map((rate, place) => ({
    state: initialState('g0', identityAt(place, 1), 0),
    rate,
    condition: 'running' as const,
    listed: true,
    highestEpoch: 0,
  }));
  const platform = { versions: 0, platformDown: false, nonces: {} };
  return { tick: 0, hosts, flights: [], faultsLeft: faults, ...platform };
}

/**
 * Gets the clock rates to try: the first host has a slow clock and the others fast ones, and the
 * reverse, since safety depends on their difference. The first host also is the first to write.
 */
function ratesFor(hosts: number): readonly (readonly number[])[] {
  const places = Array.from({ length: hosts }, (_, place) => place);
  return [
    places.map((place) => (place === 0 ? SLOW : FAST)),
    places.map((place) => (place === 0 ? FAST : SLOW)),
  ];
}

function formGroup(world: World): World {
  return Array.from({ length: FORMING_TICKS }).reduce<World>(
    (at) => pass(at, MEMBERSHIP_RULES),
    world,
  );
}

function initialWorlds(search: MembershipSearch): readonly World[] {
  const cold = ratesFor(search.hosts).map((rates) => coldStart(rates, search.faults));
  return [...cold.map(formGroup), ...cold];
}

function eventsIn(world: World): readonly WorldAction[] {
  const ticks = world.hosts.flatMap((host, place): readonly WorldAction[] =>
    host.condition === 'running' ? [{ type: 'tick', place }] : [],
  );
  const flights = world.flights.flatMap((flight, index): readonly WorldAction[] => {
    const arrive: readonly WorldAction[] = isPassable(world, flight)
      ? [
          // Arrivals are weighted higher than losses, or random runs would make no progress.
          { type: 'arrive', flight: index },
          { type: 'arrive', flight: index },
          { type: 'arrive', flight: index },
          { type: 'duplicate', flight: index },
        ]
      : [];
    return [...arrive, { type: 'lose', flight: index }];
  });
  return [...ticks, ...flights];
}

function actionsIn(world: World, grain: Grain): readonly WorldAction[] {
  const faults = faultsIn(world).map((fault): WorldAction => ({ type: 'fault', fault }));
  const repairs = repairsIn(world).map((mend): WorldAction => ({ type: 'repair', repair: mend }));
  switch (grain) {
    case 'rounds': {
      const late = world.flights.map((_, flight): WorldAction => ({ type: 'arrive', flight }));
      const waits = [1, LONG_WAIT].map((ticks): WorldAction => ({ type: 'pass', ticks }));
      return [...waits, ...repairs, ...late, ...faults];
    }
    case 'events': {
      const noTraps = faults.filter(
        (action) => action.type !== 'fault' || action.fault.type !== 'trap',
      );
      const strikes = world.tick % 8 === 0 ? noTraps : [];
      return [{ type: 'pass', ticks: 1 }, ...eventsIn(world), ...repairs, ...strikes];
    }
    default:
      return grain satisfies never;
  }
}

function moveFlight(
  world: World,
  action: Extract<WorldAction, { flight: number }>,
  search: MembershipSearch,
): World {
  const flight = world.flights[action.flight];
  if (flight === undefined) return world;
  const { rules } = search;
  const rest = withoutFlight(world, action.flight);
  switch (action.type) {
    case 'arrive':
      return search.grain === 'rounds'
        ? applyAndSettle(rest, (quiet) => deliver(quiet, flight, rules), rules)
        : deliver(rest, flight, rules);
    case 'duplicate':
      return deliver(world, flight, rules);
    case 'lose': {
      const failure = failureOf(flight);
      return failure === undefined ? rest : deliver(rest, failure, rules);
    }
    default:
      return action.type satisfies never;
  }
}

function applyAction(world: World, action: WorldAction, search: MembershipSearch): World {
  const { rules, grain } = search;
  switch (action.type) {
    case 'pass':
      return grain === 'rounds'
        ? passTicks(world, action.ticks, search)
        : { ...world, tick: world.tick + action.ticks };
    case 'tick':
      return inputTo(world, action.place, { type: 'tick' }, rules);
    case 'arrive':
    case 'lose':
    case 'duplicate':
      return moveFlight(world, action, search);
    case 'fault':
      return grain === 'rounds'
        ? applyAndSettle(world, (quiet) => injectFault(quiet, action.fault, rules), rules)
        : injectFault(world, action.fault, rules);
    case 'repair':
      return applyRepair(world, action.repair);
    default:
      return action satisfies never;
  }
}

function describe(action: WorldAction): string {
  switch (action.type) {
    case 'pass':
      return action.ticks === 1 ? 'time passes' : `time passes ${action.ticks} times`;
    case 'tick':
      return `h${action.place + 1} runs`;
    case 'arrive':
    case 'lose':
    case 'duplicate':
      return `${action.type} ${action.flight}`;
    case 'fault':
      return JSON.stringify(action.fault);
    case 'repair':
      return JSON.stringify(action.repair);
    default:
      return action satisfies never;
  }
}

/**
 * Wraps the membership protocol for the model checker: the `GroupMember` that hosts run, in a
 * simulation of a few hosts with clocks of different rates.
 *
 * @param search - Hosts, rules, granularity and faults.
 * @returns The protocol.
 */
export function membershipProtocol(search: MembershipSearch): ExploredProtocol<World, WorldAction> {
  return {
    name: 'membership',
    initial: () => initialWorlds(search),
    actions: (world) => actionsIn(world, search.grain),
    apply: (world, action) => {
      const after = withIsolation(applyAction(world, action, search));
      return search.grain === 'rounds' ? after : dropExcess(after);
    },
    key: worldKey,
    describe,
    invariants: membershipInvariants(search.hosts, search.rules),
  };
}
