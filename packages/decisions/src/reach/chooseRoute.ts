import type { Millis } from '@camphorvane/core';
import type { UnreachedUpstreams } from './GroupReach.ts';

/**
 * Milliseconds for which upstreams that no host reaches may still come back by themselves: a sound upstream
 * can fall silent for a second. Until then requests are tried the direct way.
 */
const SILENCE_TOLERANCE_MS: Millis = 1_500;

/** How requests for a service get to its upstreams: over this host's links, by way of a peer, or not at all. */
export type UpstreamRoute = 'direct' | 'relayed' | 'none';

/**
 * Chooses the way to the upstreams of a service.
 *
 * @param unreached - What this host does not reach of the service; undefined where it reaches it.
 * @param hasPeer - Whether a peer takes requests of this host for the service.
 * @param now - Present time.
 * @returns The way.
 */
export function chooseRoute(
  unreached: UnreachedUpstreams | undefined,
  hasPeer: boolean,
  now: Millis,
): UpstreamRoute {
  if (unreached === undefined) return 'direct';
  if (hasPeer) return 'relayed';
  return now - unreached.since < SILENCE_TOLERANCE_MS ? 'direct' : 'none';
}
