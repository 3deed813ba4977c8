import type { Millis, UpstreamId } from '@camphorvane/core';

/** A crash of an upstream while it ran a request, as hosts report it to each other. */
export interface CrashReport {
  /** Digest of a trait of the request: its whole content, or content that it shares with others. */
  readonly digest: string;
  /** The upstream; two processes that ran under the same id have different names here. */
  readonly upstream: UpstreamId;
  /** Milliseconds since the crash; an age instead of a time, since hosts do not share a clock. */
  readonly ageMs: Millis;
}

/** The last success of a request with a trait that requests had which were running on upstreams that crashed. */
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

/** How far the trial of a suspected trait has come; it has `ended` without a crash, or without a result. */
export type TrialState = 'running' | 'failed' | 'ended';

/** The trial of suspected traits: one request that has them is let through. */
export interface TrialReport {
  /** Digest of the combination of traits. */
  readonly digest: string;
  /** Milliseconds since its start. */
  readonly ageMs: Millis;
  readonly state: TrialState;
  /** The upstream that crashed; present for a failed trial. */
  readonly upstream?: UpstreamId;
}

/** What a host reports to its peers about requests that were running on upstreams that crashed. */
export interface SuspicionReports {
  readonly crashes: readonly CrashReport[];
  readonly answers: readonly AnswerReport[];
  readonly survivals: readonly SurvivalReport[];
  /** Absent where no trait is tried. */
  readonly trials?: readonly TrialReport[];
}
