import type { Millis } from '@camphorvane/core';
import { memberKey } from '../../membership/MemberIdentity.ts';
import type { GroupRecord } from '../../membership/GroupRecord.ts';
import type { MemberState } from '../../membership/MemberState.ts';
import { localTime, type Flight, type World, type WorldHost } from './World.ts';

/** Largest age in a key, in ms of a host's clock or in ticks; it exceeds all spans of settings. */
const MAX_AGE = 32;

function age(now: Millis, at: Millis | undefined): number | undefined {
  return at === undefined ? undefined : Math.min(MAX_AGE, now - at);
}

/** Gets the key of a record without its nonce, on which no decision depends. */
function recordKey(record: GroupRecord | undefined): unknown {
  if (record === undefined) return undefined;
  const members = record.members.map((one) => [memberKey(one), one.draining, one.listed]);
  const lineage = record.lineage.map((past) => [
    past.epoch,
    past.members.map((one) => [memberKey(one), one.draining, one.ended]),
  ]);
  return [record.epoch, members, lineage];
}

function peersKey(state: MemberState, now: Millis): unknown {
  return Object.entries(state.peers)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, peer]) => [
      key,
      age(now, peer.since),
      peer.epoch,
      peer.intent,
      age(now, peer.answeredAt),
      age(now, peer.heardAt),
      peer.vouch?.epoch,
      age(now, peer.vouch?.sentAt),
      peer.silent,
    ]);
}

function pendingKey(state: MemberState, now: Millis): unknown {
  const { pending } = state;
  if (pending === undefined) return undefined;
  const record = pending.type === 'write' ? recordKey(pending.record) : undefined;
  return [pending.type, state.nextCallId - pending.id, age(now, pending.sentAt), record];
}

function stateKey(state: MemberState, now: Millis): unknown {
  const absent = Object.entries(state.absentSince).sort(([a], [b]) => (a < b ? -1 : 1));
  return [
    memberKey(state.self),
    state.intent,
    recordKey(state.record),
    age(now, state.confirmedAt),
    age(now, state.previousClosedAt),
    peersKey(state, now),
    state.ended,
    state.listed,
    state.leavingByList,
    absent.map(([key, at]) => [key, age(now, at)]),
    pendingKey(state, now),
    age(now, state.nextHelloAt),
    age(now, state.lastReadAt),
    state.failedReads,
    age(now, state.lastHostsAt),
    age(now, state.lastTickAt),
    age(now, state.changeWantedSince),
  ];
}

function hostKey(world: World, host: WorldHost): unknown {
  const alone = age(world.tick, host.isolatedSince);
  const now = localTime(world, host);
  return [host.rate, host.condition, host.listed, alone, stateKey(host.state, now)];
}

/** Gets the key of a flight; call ids are relative to the caller's next id, times to its clock. */
function flightKey(world: World, flight: Flight): unknown {
  const caller = world.hosts.find((host) => {
    const key = memberKey(host.state.self);
    return 'by' in flight && flight.type !== 'welcome' ? flight.by === key : flight.to === key;
  });
  const now = caller === undefined ? 0 : localTime(world, caller);
  const call = 'id' in flight ? (caller?.state.nextCallId ?? 0) - flight.id : undefined;
  const sent = 'ask' in flight ? age(now, flight.ask.sentAt) : undefined;
  const record = flight.type === 'write' ? [flight.expected, recordKey(flight.record)] : undefined;
  const { message, ask, outcome, hosts } = { ...flight } as {
    readonly message?: { readonly epoch: number; readonly silent: unknown };
    readonly ask?: { readonly to: unknown; readonly message: unknown };
    readonly outcome?: unknown;
    readonly hosts?: unknown;
  };
  const names = ['by' in flight ? flight.by : '', 'to' in flight ? flight.to : ''];
  return [flight.type, names, call, sent, record, message, ask?.to, ask?.message, outcome, hosts];
}

/** Gets a key that two worlds share only if they have the same possible futures. */
export function worldKey(world: World): string {
  return JSON.stringify([
    world.hosts.map((host) => hostKey(world, host)),
    world.stored?.version,
    recordKey(world.stored?.record),
    world.platformDown,
    world.split,
    world.trap,
    world.flights.map((flight) => flightKey(world, flight)),
    world.faultsLeft,
  ]);
}
