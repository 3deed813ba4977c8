import { rendezvousFirst, type HostId } from '@camphorvane/core';
import type { RecordMember } from './GroupRecord.ts';

/** Placements remembered at most; hashing a key onto nine hosts costs more than the rest of a check. */
const MAX_REMEMBERED = 8_192;

const remembered = new Map<string, HostId | undefined>();

function placed(key: string, hosts: readonly HostId[]): HostId | undefined {
  const name = `${key}\u0000${hosts.join('\u0000')}`;
  if (remembered.has(name)) return remembered.get(name);
  if (remembered.size >= MAX_REMEMBERED) remembered.clear();
  const host = rendezvousFirst(key, hosts);
  remembered.set(name, host);
  return host;
}

/**
 * Gets the steward of a key among the members of one epoch.
 *
 * Draining members are passed over while there is anybody else, so that a leaving host hands its
 * stewardships on while it still runs.
 *
 * @param key - A team, a pool part or whatever else has one steward.
 * @param members - All members of the epoch.
 * @returns The steward, or undefined in an empty group.
 */
export function stewardAmong<M extends RecordMember>(
  key: string,
  members: readonly M[],
): M | undefined {
  const staying = members.filter((member) => !member.draining);
  const candidates = staying.length > 0 ? staying : members;
  const host = placed(
    key,
    candidates.map((member) => member.host),
  );
  return candidates.find((member) => member.host === host);
}
