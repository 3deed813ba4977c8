import type { HostId, Millis } from '@camphorvane/core';

/** Milliseconds for which a host keeps its rounded share; two calls of a plain service. */
export const SHARE_PERIOD_MS: Millis = 100;

/** Fraction of the hosts by which the rotation advances in a period: it spreads the turns of each host. */
const ROTATION_STEP = 0.618;

/** Shares this close to a whole number count as whole: they are sums of rounded quotients. */
const ROUNDING_ERROR = 1e-9;

/**
 * Rounds a host's share of the slots of a service to whole slots.
 *
 * Load: more hosts than slots that are free. If each host kept at least one slot, or rounded up, calls of
 * several hosts would meet at a server and wait there, where nothing orders them. So the hosts round up in
 * rotation, without talking to each other: in each period they have different thresholds, spread evenly from 0
 * to 1, and the fractional part of the share of a host is rounded up where it exceeds its threshold. Where the
 * shares are equal, their sum is within one of the number of slots in every period; otherwise it is on average.
 * The thresholds shift after each round of the rotation, so that a share above zero, however small, gets a slot
 * in some periods.
 *
 * @param share - Slots of the host, not rounded.
 * @param host - The host.
 * @param hosts - The hosts that take callers, in any order.
 * @param timeOfDay - Present wall time.
 * @returns Slots of the host in the present period.
 */
export function roundShare(
  share: number,
  host: HostId,
  hosts: readonly HostId[],
  timeOfDay: Millis,
): number {
  const whole = Math.floor(share + ROUNDING_ERROR);
  const fraction = share - whole;
  if (fraction <= ROUNDING_ERROR) return whole;
  return fraction > thresholdOf(rankOf(host, hosts), hosts.length, timeOfDay) ? whole + 1 : whole;
}

/**
 * Gets the place of a host among those that take callers.
 *
 * @param host - The host.
 * @param hosts - The hosts that take callers, in any order.
 * @returns The number of hosts before it by name.
 */
export function rankOf(host: HostId, hosts: readonly HostId[]): number {
  return hosts.filter((other) => other < host).length;
}

function thresholdOf(rank: number, hosts: number, timeOfDay: Millis): number {
  const count = Math.max(1, hosts);
  const period = Math.floor(timeOfDay / SHARE_PERIOD_MS);
  const place = (rank + (period % count) * stepFor(count)) % count;
  const shift = (Math.floor(period / count) * ROTATION_STEP) % 1;
  return (place + shift) / count;
}

/** Gets the step of the rotation, which has no common divisor with the number of hosts. */
function stepFor(count: number): number {
  const from = Math.max(1, Math.round(count * ROTATION_STEP));
  const steps = Array.from({ length: count }, (_, i) => from + i);
  return steps.find((step) => greatestCommonDivisor(step, count) === 1) ?? 1;
}

function greatestCommonDivisor(a: number, b: number): number {
  return b === 0 ? a : greatestCommonDivisor(b, a % b);
}
