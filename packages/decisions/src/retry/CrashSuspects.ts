import type { AnswerOrigin, Millis, RequestId, UpstreamId } from '@camphorvane/core';
import { sha256Hex } from '@camphorvane/core';
import type { CrashReport, SurvivalReport, SuspicionReports, TrialReport } from './CrashReport.ts';
import { CrashRecords } from './CrashRecords.ts';
import type { ReportOrigin } from './CrashRecords.ts';
import { CrashReporter } from './CrashReporter.ts';
import type { ReportAudience } from './CrashReporter.ts';
import { DEFAULT_CRASH_SUSPECTS } from './CrashSuspectsOptions.ts';
import type { CrashSuspectsOptions } from './CrashSuspectsOptions.ts';
import { CrashTrials } from './CrashTrials.ts';
import type { TrialEnd } from './CrashTrials.ts';
import { isSharedDigest } from './sharedDigest.ts';
import type { JudgedTrait } from './TraitJudge.ts';
import { TraitJudge } from './TraitJudge.ts';
import type { SignOfLife } from './UpstreamSurvivals.ts';
import { isMostUsual, weighFailure } from './weighFailure.ts';
import type { FailureWeight } from './weighFailure.ts';

/** A request as crashes are counted for it. */
export interface SuspectRequest {
  readonly id: RequestId;
  /** Digests of its traits. */
  readonly traits: readonly string[];
}

/** A suspected trait whose crashes others explain. */
export interface ExcusedTrait {
  readonly trait: string;
  readonly crashes: number;
}

/** Whether a request may be sent to an upstream. */
export type CrashAdmission =
  /** Let through; `excused` is a shared trait that is suspected, and whose crashes others explain. */
  | { readonly type: 'clear'; readonly excused?: ExcusedTrait }
  /** Let through on trial, for the suspected traits that it has; `isNew` where this call started the trial. */
  | { readonly type: 'trial'; readonly traits: readonly string[]; readonly isNew: boolean }
  | {
      readonly type: 'blocked';
      readonly retryAfterMs: Millis;
      /** The trait for which it is blocked, and the crashes that count against it. */
      readonly trait: string;
      readonly crashes: number;
      /** Whether other requests may have the trait. */
      readonly isShared: boolean;
    };

/** Milliseconds after its last crash for which a trait is blocked or let through on trial only, at least. */
const MIN_BLOCK_MS: Millis = 10_000;

/** Milliseconds by which a crash may seem to be earlier at one host than at another. */
const TRANSIT_MS: Millis = 500;

/** Characters of a digest that identify a trait; the full digest would take four times the bytes. */
const KEY_LENGTH = 16;

/**
 * Finds out what crashes upstreams, and keeps requests with it away from them.
 *
 * Guards against requests that crash each upstream that runs them, so that one engine after the other fails with
 * all its streams: one request that its caller repeats, or different ones that share a part of their prompts.
 * Both are traits, known by a digest.
 *
 * Requests that merely ran on the same engine have traits, too. A complete answer clears a trait of the crashes
 * before it; a crash that another trait explains better does not count; and where only another request
 * can tell, one is let through on trial.
 */
export class CrashSuspects {
  private readonly records: CrashRecords;

  private readonly judge: TraitJudge;

  private readonly trials: CrashTrials;

  private readonly reporter: CrashReporter;

  private readonly opts: CrashSuspectsOptions;

  /** @param opts - Limits; those left out have their defaults. */
  constructor(opts: Partial<CrashSuspectsOptions> = {}) {
    this.opts = { ...DEFAULT_CRASH_SUSPECTS, ...opts };
    this.records = new CrashRecords(this.opts);
    this.judge = new TraitJudge(this.records, this.opts);
    this.reporter = new CrashReporter(this.records);
    this.trials = new CrashTrials(this.opts.blockMs);
  }

  /** Gets the number of traits kept. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Records a crash that this host or a peer detected; a repeated report counts once.
   *
   * @param report - The crash.
   * @param now - Present time.
   * @param origin - Who detected it.
   * @returns Whether it was unknown.
   */
  recordCrash(report: CrashReport, now: Millis, origin: ReportOrigin = 'own'): boolean {
    const key = toKey(report.digest);
    if (!this.records.record(key, report, now, origin)) return false;
    this.reporter.recordCrash(key, now);
    return true;
  }

  /**
   * Records a complete answer to a request with a trait, which clears it of earlier crashes.
   *
   * @param digest - Digest of the trait.
   * @param now - Present time.
   * @param ageMs - Milliseconds since the answer, for one that a peer reported.
   * @returns Whether other hosts should hear of it.
   */
  recordAnswer(digest: string, now: Millis, ageMs?: Millis): boolean {
    const key = toKey(digest);
    const clears = this.records.has(key) && this.records.getCrashes(key, now).size > 0;
    const isNew = this.records.answers.record(key, now - (ageMs ?? 0), ageMs === undefined);
    if (!isNew || !clears) return false;
    this.reporter.recordAnswer(key, now);
    return true;
  }

  /** Records an answer of an upstream to any request; see {@link UpstreamSurvivals.recordAnswer}. */
  recordSignOfLife(
    upstream: UpstreamId,
    now: Millis,
    origin: AnswerOrigin,
  ): SignOfLife | undefined {
    return this.records.survivals.recordAnswer(upstream, now, origin);
  }

  /**
   * Tells whether an upstream had crashed before a request was sent to it.
   *
   * @param upstream - The process.
   * @param sentAt - When the request was sent.
   */
  wasGone(upstream: UpstreamId, sentAt: Millis): boolean {
    return this.records.wasGone(upstream, sentAt);
  }

  /** Withdraws the crashes of an upstream that a peer found alive. */
  receiveSurvival(report: SurvivalReport, now: Millis): void {
    this.records.survivals.receive(report, now);
  }

  /** Records that a caller has sent a request with these traits to this host. */
  recordArrival(traits: readonly string[], now: Millis): void {
    traits.map(toKey).forEach((key) => this.records.recordArrival(key, now));
  }

  /** Records a trial at another host. */
  receiveTrial(report: TrialReport, now: Millis): void {
    this.trials.receive(report, now);
  }

  /**
   * Decides whether a request may be sent to an upstream. Requests with a suspected trait are let through one at a
   * time where another trait may explain the crashes, and after their block.
   *
   * @param request - The request.
   * @param now - Present time.
   * @param minAgeMs - Milliseconds since a crash from which on it counts; 0 for a further attempt of a request.
   */
  admit(request: SuspectRequest, now: Millis, minAgeMs = this.opts.confirmMs): CrashAdmission {
    const keys = request.traits.map(toKey);
    const judged = this.judge.judge(keys, now, minAgeMs);
    const held = judged.filter(isHeld);
    const blocking = held
      .map((one) => ({ ...one, leftMs: blockLeftMs(one, now) }))
      .sort((a, b) => b.leftMs - a.leftMs)
      .find(({ leftMs }) => leftMs > 0);
    if (blocking !== undefined) return toBlocked(blocking, blocking.leftMs);
    const [first] = held;
    if (first === undefined) return toClear(judged);
    const traits = held.map(({ key }) => key).sort();
    const isNew = !this.trials.isHolder(request.id);
    const subject = toKey(sha256Hex(traits.join()));
    const { suspectsAt, sharedAt } = this.judge.othersThan(keys, now);
    const records = held.map(({ record }) => record);
    const isUsual = isMostUsual(records, sharedAt);
    const unresolved = held.filter(({ verdict }) => verdict === 'unresolved');
    const isUnresolved = unresolved.length > 0 && !isUsual;
    const weigh = (upstream: UpstreamId, since: Millis): FailureWeight => {
      const beside = [...suspectsAt(upstream), ...sharedAt(upstream)].filter(
        ({ crashes }) => (crashes.get(upstream) ?? -Infinity) >= since - TRANSIT_MS,
      );
      const context = { isUsual, isUnresolved, minUpstreams: this.opts.minUpstreams };
      return weighFailure(records, beside, context);
    };
    const isSingle = held.some(({ verdict }) => verdict === 'certain');
    const clearedAt = Math.min(...traits.map((key) => this.records.getAnsweredAt(key)));
    const crashTimes = records.flatMap(({ crashes }) => [...crashes.values()]);
    const hasCrashed = (upstream: UpstreamId): boolean =>
      unresolved.some(({ record }) => record.crashes.has(upstream));
    const mode = { isSingle, isUnresolved, weigh, clearedAt, crashTimes, hasCrashed };
    const waitMs = this.trials.begin(subject, request.id, now, mode);
    return waitMs > 0 ? toBlocked(first, waitMs) : { type: 'trial', traits, isNew };
  }

  /**
   * Ends the trial of a request.
   *
   * @returns Whether it had one.
   */
  endTrial(request: RequestId, end: TrialEnd, now: Millis): boolean {
    return this.trials.end(request, end, now);
  }

  /** Gets the number of distinct upstreams whose crashes count against a trait. */
  countCrashes(digest: string, now: Millis): number {
    return this.records.getCrashes(toKey(digest), now).size;
  }

  /** Gets the numbers of suspected traits: whole requests, and what requests share. */
  countSuspects(now: Millis): { readonly requests: number; readonly shared: number } {
    const suspects = this.records.getRepeated().filter((key) => this.isSuspect(key, now));
    const shared = suspects.filter(isSharedDigest).length;
    return { requests: suspects.length - shared, shared };
  }

  /**
   * Gets how much longer requests with nothing but a trait are blocked, or let through on trial only.
   *
   * @param digest - Digest of the trait.
   * @param now - Present time.
   * @returns Milliseconds; undefined if they may run.
   */
  getBlockedMs(digest: string, now: Millis): Millis | undefined {
    const [judged] = this.judge.judge([toKey(digest)], now, this.opts.confirmMs).filter(isHeld);
    if (judged === undefined) return undefined;
    const leftMs = blockLeftMs({ ...judged, blockMs: Math.max(judged.blockMs, MIN_BLOCK_MS) }, now);
    return leftMs > 0 ? leftMs : undefined;
  }

  /** Tells whether a trait is blocked or tried, or will be unless one of its crashes is withdrawn. */
  isSuspect(digest: string, now: Millis): boolean {
    const { blockMs } = this.opts;
    const judged = this.judge.judge([toKey(digest)], now, 0).filter(isHeld);
    return judged.some((one) => blockLeftMs({ ...one, blockMs }, now) > 0);
  }

  /** Gets what to report to other hosts of the trials alone. */
  getTrialReports(now: Millis): readonly TrialReport[] {
    return this.trials.getReports(now, 'peers');
  }

  /** Gets what to report to other hosts; see {@link CrashReporter.getReports}. */
  getReports(now: Millis, audience: ReportAudience): SuspicionReports {
    const trials = this.trials.getReports(now, audience);
    return {
      ...this.reporter.getReports(now, audience),
      survivals: this.records.survivals.getReports(now, audience),
      ...(trials.length === 0 ? {} : { trials }),
    };
  }

  /**
   * Gets the crashes of suspected traits that this host detected one of itself, for hosts that start later. Traits that
   * ran beside them at several crashes come first: without these, a host takes the suspects for the only cause.
   */
  getSuspectReports(now: Millis): readonly CrashReport[] {
    const upstreamsOf = (key: string): readonly UpstreamId[] => [
      ...this.records.getCrashes(key, now).keys(),
    ];
    const repeated = this.records.getRepeated();
    const suspects = new Set(repeated.filter((key) => this.isSuspect(key, now)));
    const crashed = new Set([...suspects].flatMap(upstreamsOf));
    const beside = repeated.filter(
      (key) => !suspects.has(key) && upstreamsOf(key).some((upstream) => crashed.has(upstream)),
    );
    return this.reporter.getOwn([...beside, ...suspects], now);
  }
}

function toKey(digest: string): string {
  return digest.slice(0, KEY_LENGTH);
}

function blockLeftMs({ record: { crashes }, blockMs }: JudgedTrait, now: Millis): Millis {
  return Math.max(...crashes.values()) + blockMs - now;
}

function isHeld({ verdict }: JudgedTrait): boolean {
  return verdict !== 'innocent';
}

function toClear(judged: readonly JudgedTrait[]): CrashAdmission {
  const [excused] = judged
    .filter(({ record }) => record.isShared)
    .map(({ key, record }) => ({ trait: key, crashes: record.crashes.size }));
  return excused === undefined ? { type: 'clear' } : { type: 'clear', excused };
}

function toBlocked({ key, record }: JudgedTrait, retryAfterMs: Millis): CrashAdmission {
  const { crashes, isShared } = record;
  return { type: 'blocked', retryAfterMs, trait: key, crashes: crashes.size, isShared };
}
