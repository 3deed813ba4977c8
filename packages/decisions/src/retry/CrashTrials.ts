import type { Millis, RequestId, UpstreamId } from '@camphorvane/core';
import type { TrialReport, TrialState } from './CrashReport.ts';
import type { ReportAudience } from './CrashReporter.ts';

/** Milliseconds after which a trial without a result stands in the way of no other. */
const MAX_TRIAL_MS: Millis = 5_000;

/** Milliseconds between the starts of two trials; hosts that start one at once count it once. */
const TRIAL_GAP_MS: Millis = 1_000;

/** Failed trials after which no further one is started until they are forgotten. */
const MAX_FAILED_TRIALS = 2;

/** Milliseconds for which a change of a trial is in every report. */
const REPORTED_MS: Millis = 2_000;

/** Most subjects whose trials are remembered, and most trials of each. */
const MAX_SUBJECTS = 500;
const MAX_TRIALS = 8;

interface Trial {
  readonly at: Millis;
  readonly state: TrialState;
  /** The request that is let through; absent for a trial of another host. */
  readonly holder?: RequestId;
  /** The upstream that crashed; present for a failed trial. */
  readonly upstream?: UpstreamId;
  readonly changedAt: Millis;
}

/** How a trial ends. */
export type TrialEnd =
  { readonly state: 'ended' } | { readonly state: 'failed'; readonly upstream: UpstreamId };

/** Tells whether another suspect explains the crash of an upstream, so that a trial there shows nothing. */
type IsExplained = (upstream: UpstreamId) => boolean;

/**
 * Lets single requests with suspected traits through, one at a time over all hosts in touch.
 *
 * A trait that is only ever seen beside another one can be told from it by a request that has the one and not the
 * other. So the subject of a trial is the combination of suspected traits that a request has: a failure
 * of those with both says nothing about those with one.
 */
export class CrashTrials {
  private readonly trials = new Map<string, readonly Trial[]>();

  /** @param forgetMs - Milliseconds after which a trial no longer counts. */
  constructor(private readonly forgetMs: Millis) {}

  /**
   * Starts a trial for a request, or goes on with the one that it has.
   *
   * @param subject - Digest of the combination of suspected traits that the request has.
   * @param holder - The request.
   * @param now - Present time.
   * @param isExplained - Tells which failed trials don't count.
   * @returns Milliseconds to wait; 0 if the request is let through.
   */
  begin(subject: string, holder: RequestId, now: Millis, isExplained: IsExplained): Millis {
    if (this.isHeld(subject, holder)) return 0;
    const waitMs = this.waitFor(subject, now, isExplained);
    if (waitMs === 0) this.add(subject, { at: now, state: 'running', holder, changedAt: now });
    return waitMs;
  }

  /** Tells whether a request is let through on trial. */
  isHolder(request: RequestId): boolean {
    return [...this.trials.keys()].some((subject) => this.isHeld(subject, request));
  }

  /**
   * Ends the trials of a request.
   *
   * @param holder - The request.
   * @param end - Whether it crashed its upstream.
   * @param now - Present time.
   * @returns Whether it had one.
   */
  end(holder: RequestId, end: TrialEnd, now: Millis): boolean {
    const held = [...this.trials].filter(([subject]) => this.isHeld(subject, holder));
    held.forEach(([subject, trials]) => {
      const ended = trials.map((trial) =>
        isHeldBy(trial, holder) ? { ...trial, ...end, changedAt: now } : trial,
      );
      this.trials.set(subject, ended);
    });
    return held.length > 0;
  }

  /** Records the trial of another host. */
  receive({ digest: subject, ageMs, state, upstream }: TrialReport, now: Millis): void {
    const at = now - ageMs;
    if (ageMs >= this.forgetMs) return;
    const trials = this.get(subject, now);
    const known = trials.find((trial) => Math.abs(trial.at - at) < TRIAL_GAP_MS);
    if (known === undefined) {
      this.add(subject, { at, state, upstream, changedAt: now });
      return;
    }
    const isFailure = state === 'failed' && known.state !== 'failed';
    const isEnd = state === 'ended' && known.state === 'running' && known.holder === undefined;
    if (!isFailure && !isEnd) return;
    const changed = { ...known, state, upstream, changedAt: now };
    this.trials.set(
      subject,
      trials.map((trial) => (trial === known ? changed : trial)),
    );
  }

  /** Gets what to report to other hosts. */
  getReports(now: Millis, audience: ReportAudience): readonly TrialReport[] {
    return [...this.trials].flatMap(([digest, trials]) =>
      trials
        .filter(({ changedAt }) => now - changedAt < REPORTED_MS)
        .filter(({ holder }) => holder !== undefined || audience === 'relayed')
        .map(({ at, state, upstream }) => ({ digest, ageMs: now - at, state, upstream })),
    );
  }

  /** Gets how long no trial of a subject may start, in milliseconds. */
  private waitFor(subject: string, now: Millis, isExplained: IsExplained): Millis {
    const trials = this.get(subject, now);
    const oldestFailure = trials
      .filter(({ state }) => state === 'failed')
      .filter(({ upstream }) => upstream === undefined || !isExplained(upstream))
      .at(-MAX_FAILED_TRIALS);
    const forgottenAt = oldestFailure === undefined ? now : oldestFailure.at + this.forgetMs;
    const waits = trials.map(
      ({ at, state }) => at + (state === 'running' ? MAX_TRIAL_MS : TRIAL_GAP_MS) - now,
    );
    return Math.max(0, forgottenAt - now, ...waits);
  }

  private isHeld(subject: string, holder: RequestId): boolean {
    return this.trials.get(subject)?.some((trial) => isHeldBy(trial, holder)) === true;
  }

  private get(subject: string, now: Millis): readonly Trial[] {
    return (this.trials.get(subject) ?? []).filter(({ at }) => now - at < this.forgetMs);
  }

  private add(subject: string, trial: Trial): void {
    const trials = [...this.get(subject, trial.changedAt), trial].slice(-MAX_TRIALS);
    this.trials.delete(subject);
    this.trials.set(subject, trials);
    if (this.trials.size <= MAX_SUBJECTS) return;
    const oldest = this.trials.keys().next();
    if (!oldest.done) this.trials.delete(oldest.value);
  }
}

function isHeldBy({ holder, state }: Trial, request: RequestId): boolean {
  return holder === request && state === 'running';
}
