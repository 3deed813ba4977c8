import type { Millis, UpstreamId } from '@camphorvane/core';
import type { UpstreamReport } from './upstreamReports.ts';

/** Milliseconds for which a host reports to its peers what an answer said of a limit. */
const LIMIT_REPORT_MS: Millis = 10_000;

/** Milliseconds for which a host reports to its peers that an upstream is leaving; by then it has gone. */
const LEAVING_REPORT_MS: Millis = 60_000;

/** What the newest answer said of the limit of an upstream. */
export interface LimitState {
  /** Undefined where the limit has ended. */
  readonly requestsPerSecond: number | undefined;
  readonly observedAt: Millis;
  /** Whether this host got the answer itself; only then does it report it. */
  readonly isOwn: boolean;
}

/** What one upstream has asked for, and what this host has sent it lately. */
export interface Constraint {
  readonly limit: LimitState | undefined;
  /** When the upstream said that it is leaving; undefined where it did not. */
  readonly leavingSince: Millis | undefined;
  /** Whether this host heard so from the upstream itself. */
  readonly isLeavingOwn: boolean;
  /** Time until which the upstream wants no request from this host. */
  readonly restUntil: Millis;
  /** Requests of this host in the newest frame in which it sent any. */
  readonly spent: { readonly frame: number; readonly requests: number };
  /** Time of the last answer or report that said anything. */
  readonly heardAt: Millis;
}

/** The constraint of an upstream that has asked for nothing. */
export const UNCONSTRAINED: Constraint = {
  limit: undefined,
  leavingSince: undefined,
  isLeavingOwn: false,
  restUntil: -Infinity,
  spent: { frame: -Infinity, requests: 0 },
  heardAt: -Infinity,
};

/**
 * Gets what a host reports to its peers on an upstream: only what answers to itself said lately.
 *
 * @param upstream - The upstream.
 * @param constraint - What it has asked for.
 * @param now - Present time.
 * @returns The reports.
 */
export function reportsOf(
  upstream: UpstreamId,
  { limit, leavingSince, isLeavingOwn }: Constraint,
  now: Millis,
): readonly UpstreamReport[] {
  const leavingMs = now - (leavingSince ?? -Infinity);
  return [
    ...(limit?.isOwn === true && now - limit.observedAt <= LIMIT_REPORT_MS
      ? [limitReport(upstream, limit, now)]
      : []),
    ...(isLeavingOwn && leavingMs <= LEAVING_REPORT_MS
      ? [{ type: 'leaving', upstream, ageMs: leavingMs } as const]
      : []),
  ];
}

/**
 * Describes a constraint for logs.
 *
 * @param constraint - What an upstream has asked for.
 * @param now - Present time.
 * @returns A short text with values and ages; undefined for an upstream that asks for nothing now.
 */
export function describeConstraint(
  { limit, leavingSince, restUntil }: Constraint,
  now: Millis,
): string | undefined {
  const parts = [
    ...(limit?.requestsPerSecond === undefined
      ? []
      : [`limit ${limit.requestsPerSecond}/s, ${Math.round(now - limit.observedAt)} ms old`]),
    ...(leavingSince === undefined ? [] : [`leaving for ${Math.round(now - leavingSince)} ms`]),
    ...(restUntil > now ? [`rest for ${Math.round(restUntil - now)} ms more`] : []),
  ];
  return parts.length === 0 ? undefined : parts.join(', ');
}

function limitReport(
  upstream: UpstreamId,
  { requestsPerSecond, observedAt }: LimitState,
  now: Millis,
): UpstreamReport {
  const ageMs = now - observedAt;
  return requestsPerSecond === undefined
    ? { type: 'no_limit', upstream, ageMs }
    : { type: 'limit', upstream, requestsPerSecond, ageMs };
}
