import type { Millis, UpstreamId } from '@camphorvane/core';

/** A crash of an upstream while it ran a request, as hosts report it to each other. */
export interface CrashReport {
  /** Digest of the request's content, the same for each retry by its caller. */
  readonly digest: string;
  /** The upstream; two processes that ran under the same id have different names here. */
  readonly upstream: UpstreamId;
  /** Milliseconds since the crash; an age instead of a time, since hosts do not share a clock. */
  readonly ageMs: Millis;
}

/** The last success of a request that was running on upstreams that crashed. */
export interface AnswerReport {
  readonly digest: string;
  /** Milliseconds since the answer was complete. */
  readonly ageMs: Millis;
}

/** An upstream that went on after a connection to it had broken off, so that it has not crashed. */
export interface SurvivalReport {
  readonly upstream: UpstreamId;
  /** Milliseconds since the time up to which it certainly had not crashed. */
  readonly ageMs: Millis;
}

/** What a host reports to its peers about requests that were running on upstreams that crashed. */
export interface SuspicionReports {
  readonly crashes: readonly CrashReport[];
  readonly answers: readonly AnswerReport[];
  readonly survivals: readonly SurvivalReport[];
}
