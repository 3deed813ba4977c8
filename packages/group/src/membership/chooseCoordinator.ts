import { rendezvousFirst, type HostId } from '@camphorvane/core';
import type { RecordMember } from './GroupRecord.ts';

/** Most cached placements; hashing a key onto nine hosts costs more than the rest of a check. */
const MAX_CACHED = 8_192;

const cachedHosts = new Map<string, HostId | undefined>();

function hashToHost(key: string, hosts: readonly HostId[]): HostId | undefined {
  const cacheKey = `${key}\u0000${hosts.join('\u0000')}`;
  if (cachedHosts.has(cacheKey)) return cachedHosts.get(cacheKey);
  if (cachedHosts.size >= MAX_CACHED) cachedHosts.clear();
  const host = rendezvousFirst(key, hosts);
  cachedHosts.set(cacheKey, host);
  return host;
}

/**
 * Chooses the coordinator of a key among the members of one epoch by rendezvous hashing.
 *
 * Draining members are skipped while there are others, so that a leaving host hands its keys over
 * while it still runs.
 *
 * @param key - A team, a pool part or any other key with a single coordinator.
 * @param members - All members of the epoch.
 * @returns The coordinator, or undefined in an empty group.
 */
export function chooseCoordinator<M extends RecordMember>(
  key: string,
  members: readonly M[],
): M | undefined {
  const staying = members.filter((member) => !member.draining);
  const candidates = staying.length > 0 ? staying : members;
  const host = hashToHost(
    key,
    candidates.map((member) => member.host),
  );
  return candidates.find((member) => member.host === host);
}
