import type { Millis, UpstreamId } from '@camphorvane/core';

/** What an answer of an upstream said, as one host reports it to its peers. */
export type UpstreamReport =
  | {
      readonly type: 'limit';
      readonly upstream: UpstreamId;
      /** Requests a second that the upstream takes from all hosts together. */
      readonly requestsPerSecond: number;
      /** Milliseconds since the answer. */
      readonly ageMs: Millis;
    }
  /** The upstream named a limit before, and no longer does. */
  | { readonly type: 'no_limit'; readonly upstream: UpstreamId; readonly ageMs: Millis }
  | { readonly type: 'leaving'; readonly upstream: UpstreamId; readonly ageMs: Millis };

/** Whether a host learned something by an answer to itself or from a peer. */
export type ConstraintOrigin = 'answer' | 'peer';

interface ChangeOf<T extends string> {
  readonly type: T;
  readonly upstream: UpstreamId;
  /** Milliseconds since the answer. */
  readonly ageMs: Millis;
  readonly from: ConstraintOrigin;
}

/** A change of what an upstream asks for. */
export type ConstraintChange =
  | (ChangeOf<'limit_named'> & { readonly requestsPerSecond: number })
  | ChangeOf<'limit_ended'>
  | ChangeOf<'leaving'>
  | (ChangeOf<'rest'> & { readonly restMs: Millis });

/**
 * Merges reports of several hosts.
 *
 * @param reports - The reports.
 * @returns The newest report on each subject: the limit of an upstream, or that it is leaving.
 */
export function newestReports(reports: readonly UpstreamReport[]): readonly UpstreamReport[] {
  const newest = reports.reduce((kept, report) => {
    const subject = `${report.type === 'leaving' ? 'leaving' : 'limit'} ${report.upstream}`;
    const other = kept.get(subject);
    const isOlder = other !== undefined && other.ageMs <= report.ageMs;
    return isOlder ? kept : kept.set(subject, report);
  }, new Map<string, UpstreamReport>());
  return [...newest.values()];
}
