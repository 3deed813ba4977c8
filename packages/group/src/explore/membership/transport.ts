import type { MemberEffect } from '../../membership/MemberEffect.ts';
import { GroupMember } from '../../membership/GroupMember.ts';
import { memberKey, type MemberKey } from '../../membership/MemberIdentity.ts';
import type { ListedHost, MemberInput } from '../../membership/MemberInput.ts';
import type { MembershipRules } from '../../membership/MembershipSettings.ts';
import { localTime, WORLD_SETTINGS, type Flight, type World, type WorldHost } from './World.ts';

/** Returns a copy with one host replaced. */
export function withHost(world: World, place: number, host: WorldHost): World {
  return { ...world, hosts: world.hosts.map((old, at) => (at === place ? host : old)) };
}

function placeOf(world: World, key: MemberKey): number {
  return world.hosts.findIndex(
    (host) => host.condition === 'running' && memberKey(host.state.self) === key,
  );
}

/** Tells whether two hosts, given by index, can reach each other. */
function areConnected(world: World, a: number, b: number): boolean {
  const second = world.split?.second ?? [];
  return second.includes(a) === second.includes(b);
}

/** Tells whether a host can reach the platform. */
export function reachesPlatform(world: World, place: number): boolean {
  if (world.platformDown) return false;
  if (world.split === undefined) return true;
  return world.split.second.includes(place) === (world.split.platformSide === 'second');
}

/** Tells whether a host can reach neither a peer nor the platform. */
export function isIsolated(world: World, place: number): boolean {
  const hasPeer = world.hosts.some((_, at) => at !== place && areConnected(world, place, at));
  return !hasPeer && !reachesPlatform(world, place);
}

function flightOf(by: MemberKey, effect: Exclude<MemberEffect, { type: 'reply' }>): Flight {
  switch (effect.type) {
    case 'ask':
      return { type: 'hello', by, ask: effect };
    case 'read':
      return { type: 'read', by, id: effect.id };
    case 'write': {
      const { id, record, expected } = effect;
      return { type: 'write', by, id, record, expected };
    }
    case 'read_hosts':
      return { type: 'read_hosts', by };
    default:
      return effect satisfies never;
  }
}

/** Result of a step of a host. */
interface Stepped {
  readonly world: World;
  readonly effects: readonly MemberEffect[];
}

function stepHost(
  world: World,
  place: number,
  input: MemberInput,
  rules: MembershipRules,
): Stepped {
  const host = world.hosts[place];
  if (host === undefined) return { world, effects: [] };
  const member = new GroupMember(host.state, WORLD_SETTINGS, rules);
  const effects = member.step(input, localTime(world, host));
  const { state } = member;
  const highestEpoch = Math.max(host.highestEpoch, host.state.record?.epoch ?? 0);
  return { world: withHost(world, place, { ...host, state, highestEpoch }), effects };
}

/** Lets a host handle one input and adds what it sends to the flights. */
export function inputTo(
  world: World,
  place: number,
  input: MemberInput,
  rules: MembershipRules,
): World {
  const { world: after, effects } = stepHost(world, place, input, rules);
  const host = after.hosts[place];
  if (host === undefined) return after;
  const by = memberKey(host.state.self);
  const flights = effects.flatMap((effect) =>
    effect.type === 'reply' ? [] : [flightOf(by, effect)],
  );
  return { ...after, flights: [...after.flights, ...flights] };
}

function deliverHello(
  world: World,
  flight: Extract<Flight, { type: 'hello' }>,
  rules: MembershipRules,
): World {
  const { ask, by } = flight;
  // A host keeps its address across restarts, so a hello may reach a later incarnation.
  const place = world.hosts.findIndex((host) => host.state.self.peerAddress === ask.to.peerAddress);
  const sender = world.hosts.findIndex((host) => memberKey(host.state.self) === by);
  const isReached =
    world.hosts[place]?.condition === 'running' &&
    (sender < 0 || areConnected(world, sender, place));
  if (!isReached) return world;
  const input: MemberInput = { type: 'asked', message: ask.message };
  const { world: after, effects } = stepHost(world, place, input, rules);
  const host = after.hosts[place];
  if (host === undefined) return after;
  const { self } = host.state;
  const flights = effects.map((effect): Flight => {
    if (effect.type !== 'reply') return flightOf(memberKey(self), effect);
    return { type: 'welcome', by: self.host, to: by, ask, message: effect.message };
  });
  return { ...after, flights: [...after.flights, ...flights] };
}

/** Adds a flight. */
function withFlight(world: World, flight: Flight): World {
  return { ...world, flights: [...world.flights, flight] };
}

function deliverWrite(world: World, flight: Extract<Flight, { type: 'write' }>): World {
  const { by: to, id, record } = flight;
  const answer = (outcome: Extract<Flight, { type: 'write_result' }>['outcome']): Flight => ({
    type: 'write_result',
    to,
    id,
    outcome,
  });
  if ((world.stored?.version ?? 'absent') !== flight.expected) {
    return withFlight(world, answer({ type: 'conflict' }));
  }
  const version = world.versions + 1;
  const nonces = { [record.epoch]: record.nonce, ...world.nonces };
  const after = { ...world, stored: { record, version }, versions: version, nonces };
  return withFlight(after, answer({ type: 'written', version }));
}

function hostList(world: World): readonly ListedHost[] {
  return world.hosts
    .filter((host) => host.listed)
    .map(({ state: { self } }) => ({
      id: self.host,
      peerAddress: self.peerAddress,
      state: 'live',
    }));
}

/** Gets the failure that a host sees for a lost call to the platform; undefined for messages. */
export function failureOf(flight: Flight): Flight | undefined {
  switch (flight.type) {
    case 'read':
      return { type: 'read_result', to: flight.by, id: flight.id, outcome: { type: 'failed' } };
    case 'write':
      return { type: 'write_result', to: flight.by, id: flight.id, outcome: { type: 'unknown' } };
    case 'read_hosts':
      return { type: 'hosts_result', to: flight.by, hosts: undefined };
    case 'read_result':
      return { ...flight, outcome: { type: 'failed' } };
    case 'write_result':
      return { ...flight, outcome: { type: 'unknown' } };
    case 'hosts_result':
      return { ...flight, hosts: undefined };
    case 'hello':
    case 'welcome':
      return undefined;
    default:
      return flight satisfies never;
  }
}

function deliverToHost(
  world: World,
  key: MemberKey,
  input: MemberInput,
  rules: MembershipRules,
): World {
  const place = placeOf(world, key);
  return place < 0 ? world : inputTo(world, place, input, rules);
}

/** Delivers a flight, which must have been removed from the flights before. */
export function deliver(world: World, flight: Flight, rules: MembershipRules): World {
  switch (flight.type) {
    case 'hello':
      return deliverHello(world, flight, rules);
    case 'welcome': {
      const { to, sentAt } = flight.ask;
      const { message } = flight;
      return deliverToHost(world, flight.to, { type: 'answered', to, sentAt, message }, rules);
    }
    case 'read': {
      const { by: to, id } = flight;
      const outcome =
        world.stored === undefined
          ? ({ type: 'absent' } as const)
          : ({ type: 'found', ...world.stored } as const);
      return withFlight(world, { type: 'read_result', to, id, outcome });
    }
    case 'write':
      return deliverWrite(world, flight);
    case 'read_hosts':
      return withFlight(world, { type: 'hosts_result', to: flight.by, hosts: hostList(world) });
    case 'read_result': {
      const { id, outcome } = flight;
      return deliverToHost(world, flight.to, { type: 'read', id, outcome }, rules);
    }
    case 'write_result': {
      const { id, outcome } = flight;
      return deliverToHost(world, flight.to, { type: 'wrote', id, outcome }, rules);
    }
    case 'hosts_result':
      return deliverToHost(world, flight.to, { type: 'hosts', hosts: flight.hosts }, rules);
    default:
      return flight satisfies never;
  }
}

/** Tells whether the network and the platform would deliver a flight now. */
export function isPassable(world: World, flight: Flight): boolean {
  switch (flight.type) {
    case 'read':
    case 'write':
    case 'read_hosts': {
      const place = placeOf(world, flight.by);
      return place < 0 || reachesPlatform(world, place);
    }
    case 'welcome': {
      const from = world.hosts.findIndex((host) => host.state.self.host === flight.by);
      const to = placeOf(world, flight.to);
      return to < 0 || areConnected(world, from, to);
    }
    case 'hello':
    case 'read_result':
    case 'write_result':
    case 'hosts_result':
      return true;
    default:
      return flight satisfies never;
  }
}
