import { MEMBERSHIP_RULES, type MembershipRules } from '../../membership/MembershipSettings.ts';
import { initialState } from '../../membership/MemberState.ts';
import type { ExploredProtocol } from '../ExploredProtocol.ts';
import {
  faultsIn,
  repair,
  repairsIn,
  strike,
  withAloneness,
  type Fault,
  type Repair,
} from './faults.ts';
import { membershipInvariants } from './invariants.ts';
import { deliver, failureOf, inputTo, isPassable } from './transport.ts';
import { FAST, identityAt, SLOW, type Flight, type World } from './World.ts';
import { worldKey } from './worldKey.ts';

/** What can happen in a searched world. */
export type WorldAction =
  | { readonly type: 'pass'; readonly ticks: number }
  | { readonly type: 'tick'; readonly place: number }
  | { readonly type: 'arrive' | 'lose' | 'duplicate'; readonly flight: number }
  | { readonly type: 'fault'; readonly fault: Fault }
  | { readonly type: 'repair'; readonly repair: Repair };

/** How finely the search mixes events. */
export type Grain =
  /** In each tick all hosts run in turn, and messages arrive at once unless a fault strikes. */
  | 'rounds'
  /** Each host, message, call and answer moves by itself. */
  | 'events';

/** What to search. */
export interface MembershipSearch {
  readonly hosts: number;
  readonly rules: MembershipRules;
  readonly grain: Grain;
  /** Faults that may strike in one trace. */
  readonly faults: number;
}

/** Ticks after which hosts that started together are one settled group. */
const FORMING_TICKS = 40;

/** Ticks of a long wait, which takes a search of few steps past silence, takeover and recovery. */
const LONG_WAIT = 5;

/** Things on their way at once in a search by events; more are lost, oldest first. */
const MAX_FLIGHTS = 10;

/** Drops the oldest messages above the bound; calls to the platform always get an answer. */
function bounded(world: World): World {
  const excess = world.flights.length - MAX_FLIGHTS;
  if (excess <= 0) return world;
  const isMessage = (flight: Flight): boolean => ['hello', 'welcome'].includes(flight.type);
  const dropped = new Set(world.flights.filter(isMessage).slice(0, excess));
  return { ...world, flights: world.flights.filter((flight) => !dropped.has(flight)) };
}

function without(world: World, index: number): World {
  return { ...world, flights: world.flights.filter((_, at) => at !== index) };
}

/** Whether a trap strikes this flight. */
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

/** Moves everything on its way, in order, until all is quiet; `held` flights stay. */
function settle(start: World, held: readonly Flight[], rules: MembershipRules): World {
  let world = start;
  let kept = held;
  while (world.flights.length > 0) {
    const [flight] = world.flights as [Flight];
    const rest = without(world, 0);
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

/** Applies something, then moves all that follows from it at once. */
function settled(world: World, apply: (quiet: World) => World, rules: MembershipRules): World {
  return settle(apply({ ...world, flights: [] }), world.flights, rules);
}

function pass(world: World, rules: MembershipRules): World {
  const later = { ...world, tick: world.tick + 1 };
  return later.hosts.reduce<World>((at, _, place) => {
    if (at.hosts[place]?.condition !== 'running') return at;
    return settled(at, (quiet) => inputTo(quiet, place, { type: 'tick' }, rules), rules);
  }, later);
}

/** Lets time pass tick by tick; it ends at a broken rule, so that a long wait hides none. */
function passing(world: World, ticks: number, search: MembershipSearch): World {
  const after = withAloneness(pass(world, search.rules));
  const isBroken = membershipInvariants(search.hosts, search.rules).some(
    (invariant) => invariant.check(after) !== undefined,
  );
  return ticks <= 1 || isBroken ? after : passing(after, ticks - 1, search);
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
 * Gets the clocks to try: what matters is that the steward's clock is slow where the others are
 * fast, and the other way round. The first host also is the first to write.
 */
function ratesFor(hosts: number): readonly (readonly number[])[] {
  const places = Array.from({ length: hosts }, (_, place) => place);
  return [
    places.map((place) => (place === 0 ? SLOW : FAST)),
    places.map((place) => (place === 0 ? FAST : SLOW)),
  ];
}

function formed(world: World): World {
  return Array.from({ length: FORMING_TICKS }).reduce<World>(
    (at) => pass(at, MEMBERSHIP_RULES),
    world,
  );
}

function initialWorlds(search: MembershipSearch): readonly World[] {
  const cold = ratesFor(search.hosts).map((rates) => coldStart(rates, search.faults));
  return [...cold.map(formed), ...cold];
}

function eventsIn(world: World): readonly WorldAction[] {
  const ticks = world.hosts.flatMap((host, place): readonly WorldAction[] =>
    host.condition === 'running' ? [{ type: 'tick', place }] : [],
  );
  const flights = world.flights.flatMap((flight, index): readonly WorldAction[] => {
    const arrive: readonly WorldAction[] = isPassable(world, flight)
      ? [
          // Arriving is offered more often than being lost, or nothing would ever come about.
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
      const noTraps = faults.filter((one) => one.type !== 'fault' || one.fault.type !== 'trap');
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
  const rest = without(world, action.flight);
  switch (action.type) {
    case 'arrive':
      return search.grain === 'rounds'
        ? settled(rest, (quiet) => deliver(quiet, flight, rules), rules)
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

function applied(world: World, action: WorldAction, search: MembershipSearch): World {
  const { rules, grain } = search;
  switch (action.type) {
    case 'pass':
      return grain === 'rounds'
        ? passing(world, action.ticks, search)
        : { ...world, tick: world.tick + action.ticks };
    case 'tick':
      return inputTo(world, action.place, { type: 'tick' }, rules);
    case 'arrive':
    case 'lose':
    case 'duplicate':
      return moveFlight(world, action, search);
    case 'fault':
      return grain === 'rounds'
        ? settled(world, (quiet) => strike(quiet, action.fault, rules), rules)
        : strike(world, action.fault, rules);
    case 'repair':
      return repair(world, action.repair);
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
 * Makes the membership protocol searchable: the {@link GroupMember} that hosts run, in a world of
 * few hosts with clocks of different rates.
 *
 * @param search - Hosts, rules, grain and faults.
 * @returns The protocol.
 */
export function membershipProtocol(search: MembershipSearch): ExploredProtocol<World, WorldAction> {
  return {
    name: 'membership',
    initial: () => initialWorlds(search),
    actions: (world) => actionsIn(world, search.grain),
    apply: (world, action) => {
      const after = withAloneness(applied(world, action, search));
      return search.grain === 'rounds' ? after : bounded(after);
    },
    key: worldKey,
    describe,
    invariants: membershipInvariants(search.hosts, search.rules),
  };
}
