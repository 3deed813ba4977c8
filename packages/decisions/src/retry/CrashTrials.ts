import type { Millis, RequestId, UpstreamId } from '@camphorvane/core';
import type { TrialReport, TrialState } from './CrashReport.ts';
import type { ReportAudience } from './CrashReporter.ts';
import type { FailureWeight } from './weighFailure.ts';

/** Milliseconds after which a trial without a result stands in the way of no other. */
const MAX_TRIAL_MS: Millis = 5_000;

/** Milliseconds between the starts of two trials; hosts that start one at once count it once. */
const TRIAL_GAP_MS: Millis = 1_000;

/** Most trials of an unresolved trait that run at once before any has failed. */
const MAX_UNRESOLVED_TRIALS = 2;

/** Failed trials from which on the next one waits. */
const MAX_FAILED_TRIALS = 2;

/** Milliseconds without a crash after which a failed trial is convincing, whatever ran beside it. */
const CALM_MS: Millis = 5_000;

/** Milliseconds that the next trial waits, by the number of convincing failures; after more it is the length of a block. */
const GAPS_MS: readonly Millis[] = [10_000, 60_000];

/** Milliseconds for which a change of a trial is in every report. */
const REPORTED_MS: Millis = 2_000;

/** Most trials in one report. */
const MAX_REPORTED = 24;

/** Most subjects whose trials are remembered, and most trials of each. */
const MAX_SUBJECTS = 500;
const MAX_TRIALS = 24;

/** Times the block for which a failed trial is remembered: the next trials after it go one at a time. */
const REMEMBERED_BLOCKS = 2;

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

/** How requests with suspected traits are let through. */
export interface TrialMode {
  /** Whether one at a time is let through before any has failed, too. */
  readonly isSingle: boolean;
  /** Whether a trait is unresolved: it isn't tried by requests without number, and failures of all its trials count. */
  readonly isUnresolved: boolean;
  /** Gets what a trial shows that failed by a crash of an upstream since a time. */
  readonly weigh: (upstream: UpstreamId, since: Millis) => FailureWeight;
  /** When all traits of the subject had been answered last; trials before that don't count. */
  readonly clearedAt: Millis;
  /** Times of the crashes by the traits of the subject. */
  readonly crashTimes: readonly Millis[];
  /** Tells whether an unresolved trait of the subject was at the crash of an upstream. */
  readonly hasCrashed: (upstream: UpstreamId) => boolean;
}

/**
 * Lets requests with suspected traits through until one of them crashes its upstream, and then single ones, one at a
 * time over all hosts in touch.
 *
 * A trait that is only ever seen beside another one can be told from it by a request that has the one and not the
 * other. So the subject of a trial is the combination of suspected traits that a request has: a failure
 * of those with both says nothing about those with one.
 */
export class CrashTrials {
  private readonly trials = new Map<string, readonly Trial[]>();

  /** @param blockMs - Milliseconds that the next trial waits where several have failed already; the longest wait. */
  constructor(private readonly blockMs: Millis) {}

  /**
   * Starts a trial for a request, or goes on with the one that it has.
   *
   * @param subject - Digest of the combination of suspected traits that the request has.
   * @param holder - The request.
   * @param now - Present time.
   * @param mode - How requests are let through.
   * @returns Milliseconds to wait; 0 if the request is let through.
   */
  begin(subject: string, holder: RequestId, now: Millis, mode: TrialMode): Millis {
    if (this.isHeld(subject, holder)) return 0;
    const waitMs = this.waitFor(subject, now, mode);
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
    if (ageMs >= this.blockMs * REMEMBERED_BLOCKS) return;
    const trials = this.get(subject, now);
    const isSame = (trial: Trial): boolean =>
      Math.abs(trial.at - at) < TRIAL_GAP_MS ||
      (upstream !== undefined && trial.upstream === upstream);
    const known = trials.find(isSame);
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

  /** Gets what to report to other hosts: news, and failures, which hosts that have started since need. */
  getReports(now: Millis, audience: ReportAudience): readonly TrialReport[] {
    const reported = [...this.trials.keys()].flatMap((digest) =>
      this.get(digest, now)
        .filter(
          ({ state, holder, changedAt }) =>
            state === 'failed' ||
            (now - changedAt < REPORTED_MS && (holder !== undefined || audience === 'relayed')),
        )
        .map(({ at, state, upstream }) => ({ digest, ageMs: now - at, state, upstream })),
    );
    return reported.slice(-MAX_REPORTED);
  }

  /** Gets how long no trial of a subject may start, in milliseconds. */
  private waitFor(subject: string, now: Millis, mode: TrialMode): Millis {
    const { isSingle, isUnresolved, weigh, clearedAt, crashTimes } = mode;
    const trials = this.get(subject, now).filter(({ at }) => at > clearedAt);
    const others = isUnresolved ? this.getFailedElsewhere(subject, now, mode) : [];
    const failures = [...trials, ...others]
      .filter(({ state }) => state === 'failed')
      .sort((a, b) => a.at - b.at)
      .map(({ at, upstream }) => ({
        ...{ at, upstream: upstream ?? at },
        weight: upstream === undefined ? 'strong' : weigh(upstream, at),
      }))
      .filter(({ weight }) => weight !== 'none');
    const last = failures.at(-1);
    const running = trials.filter(
      ({ at, state }) => state === 'running' && now - at < MAX_TRIAL_MS,
    );
    const isFull = isUnresolved && running.length >= MAX_UNRESOLVED_TRIALS;
    if (last === undefined && !isSingle && !isFull) return 0;
    const isCalm = (at: Millis): boolean =>
      crashTimes.every((crashedAt) => crashedAt > at || crashedAt <= at - CALM_MS);
    const convincing = failures.filter(({ at, weight }) => weight === 'strong' || isCalm(at));
    const gaps = countUpstreams(convincing) - (isSingle ? 0 : MAX_FAILED_TRIALS);
    const mustWait = isSingle || countUpstreams(failures) >= MAX_FAILED_TRIALS;
    const gapMs = GAPS_MS[Math.max(0, gaps)] ?? this.blockMs;
    const nextAt = last !== undefined && mustWait ? last.at + gapMs : now;
    const waits = trials.map(
      ({ at, state }) => at + (state === 'running' ? MAX_TRIAL_MS : TRIAL_GAP_MS) - now,
    );
    return Math.max(0, nextAt - now, ...waits);
  }

  /** Gets the failed trials of other subjects by which an unresolved trait of this one crashed an upstream. */
  private getFailedElsewhere(
    subject: string,
    now: Millis,
    { clearedAt, hasCrashed }: TrialMode,
  ): readonly Trial[] {
    return [...this.trials.keys()]
      .filter((other) => other !== subject)
      .flatMap((other) => this.get(other, now))
      .filter(({ at, state }) => at > clearedAt && state === 'failed')
      .filter(({ upstream }) => upstream !== undefined && hasCrashed(upstream));
  }

  private isHeld(subject: string, holder: RequestId): boolean {
    return this.trials.get(subject)?.some((trial) => isHeldBy(trial, holder)) === true;
  }

  private get(subject: string, now: Millis): readonly Trial[] {
    const rememberedMs = this.blockMs * REMEMBERED_BLOCKS;
    return (this.trials.get(subject) ?? []).filter(({ at }) => now - at < rememberedMs);
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

/** Counts the upstreams that crashed: requests that run at once on one fail by a single crash. */
function countUpstreams(failures: readonly { readonly upstream: UpstreamId | Millis }[]): number {
  return new Set(failures.map(({ upstream }) => upstream)).size;
}

function isHeldBy({ holder, state }: Trial, request: RequestId): boolean {
  return holder === request && state === 'running';
}
