import type { Millis, UpstreamId } from '@camphorvane/core';

/**
 * How fast an upstream has been lately: the time of a call to a server of a plain service, or the time
 * between two output tokens of an engine.
 */
export interface CallTime {
  readonly upstream: UpstreamId;
  readonly ms: Millis;
  /** Time since the observation. */
  readonly ageMs: Millis;
}

/** Most upstreams in one gossip message; a row takes some 25 bytes. */
export const MAX_CALL_TIMES = 64;

/**
 * Keeps the newest report on each upstream.
 *
 * @param reports - The reports of several hosts.
 * @returns The newest ones, at most {@link MAX_CALL_TIMES}.
 */
export function newestCallTimes(reports: readonly CallTime[]): readonly CallTime[] {
  const newest = reports.reduce((kept, report) => {
    const other = kept.get(report.upstream);
    const isNewer = other === undefined || report.ageMs < other.ageMs;
    return isNewer ? kept.set(report.upstream, report) : kept;
  }, new Map<UpstreamId, CallTime>());
  return [...newest.values()].sort((a, b) => a.ageMs - b.ageMs).slice(0, MAX_CALL_TIMES);
}
