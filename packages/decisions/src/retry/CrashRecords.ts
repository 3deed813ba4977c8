import type { Millis, UpstreamId } from '@camphorvane/core';
import type { CrashReport } from './CrashReport.ts';
import type { TraitRecord } from './judgeTraits.ts';
import { SAME_CRASH_MS } from './judgeTraits.ts';
import { DecayingSums } from '../structures/DecayingSums.ts';
import { RecentAnswers } from './RecentAnswers.ts';
import { isSharedDigest } from './sharedDigest.ts';
import { UpstreamSurvivals } from './UpstreamSurvivals.ts';

/** Whether a host detected a crash itself, learned it from a peer, or had stored it before its restart. */
export type ReportOrigin = 'own' | 'peer' | 'stored';

/** Most upstreams that are kept for a trait, the latest ones. */
const MAX_UPSTREAMS = 16;

/** Crashes from which on a trait is repeated, and reported until they expire: hosts that start or return need them. */
const MIN_REPEATED_CRASHES = 2;

/** Milliseconds from a crash to the first request that can't have run there; hosts see a crash at different times. */
const MIN_GONE_MS: Millis = 1_000;

/** Milliseconds for which a process that has crashed may be listed; a break after that is another crash. */
const MAX_LISTED_MS: Millis = 5_000;

/** Time constant in which the requests of callers are forgotten, in milliseconds. */
const ARRIVAL_DECAY_MS: Millis = 10_000;

/** Requests between two removals of traits that nobody asks for any more. */
const ARRIVALS_PER_PRUNE = 1_000;

/** A crash of an upstream that ran a request with a trait. */
export interface Crash {
  readonly at: Millis;
  /** Whether this host detected it, now or before its restart. */
  readonly isOwn: boolean;
}

type Crashes = ReadonlyMap<UpstreamId, Crash>;

/** Limits of {@link CrashRecords}. */
export interface CrashRecordsOptions {
  /** Milliseconds after which a crash no longer counts. */
  readonly retentionMs: Millis;
  /** Most traits kept. */
  readonly maxDigests: number;
  /** When this process started. */
  readonly startedAt: Millis;
}

/** Records which traits the requests had that were running when upstreams crashed, and which were answered. */
export class CrashRecords {
  readonly answers = new RecentAnswers();

  readonly survivals = new UpstreamSurvivals();

  /** Requests that callers have sent lately, by trait. */
  private readonly arrivals = new DecayingSums<string>(ARRIVAL_DECAY_MS);

  /** Crashes by trait, in order of the last new crash of the trait. */
  private readonly crashes = new Map<string, Crashes>();

  /** Traits by the upstreams that crashed. */
  private readonly byUpstream = new Map<UpstreamId, Set<string>>();

  /** Traits with several crashes. */
  private readonly repeated = new Set<string>();

  private arrivalCount = 0;

  private readonly opts: CrashRecordsOptions;

  /** @param opts - Limits. */
  constructor(opts: CrashRecordsOptions) {
    this.opts = opts;
  }

  /** Gets the number of traits kept. */
  get size(): number {
    return this.crashes.size;
  }

  /** Tells whether any crash of a trait is kept, also where it doesn't count any more. */
  has(key: string): boolean {
    return this.crashes.has(key);
  }

  /** Tells whether a trait may have several crashes. */
  isRepeated(key: string): boolean {
    return this.repeated.has(key);
  }

  /** Gets the traits that may have several crashes. */
  getRepeated(): readonly string[] {
    return [...this.repeated];
  }

  /** Tells whether an upstream had crashed before a request was sent to it; one that has shown itself alive had not. */
  wasGone(upstream: UpstreamId, sentAt: Millis): boolean {
    const times = [...this.getTraitsAt(upstream)]
      .map((key) => this.crashes.get(key)?.get(upstream)?.at ?? Infinity)
      .filter((at) => !this.survivals.hasSurvived(upstream, at));
    const goneMs = sentAt - Math.min(...times);
    return goneMs >= MIN_GONE_MS && goneMs < MAX_LISTED_MS;
  }

  /** Gets the traits that requests had which ran on an upstream when it crashed. */
  getTraitsAt(upstream: UpstreamId): Iterable<string> {
    return this.byUpstream.get(upstream) ?? [];
  }

  /**
   * Records a crash.
   *
   * @param key - The trait.
   * @param report - The crash.
   * @param now - Present time.
   * @param origin - Who detected it.
   * @returns Whether it was unknown.
   */
  record(
    key: string,
    { upstream, ageMs }: CrashReport,
    now: Millis,
    origin: ReportOrigin,
  ): boolean {
    if (ageMs >= this.opts.retentionMs) return false;
    const crashes = new Map(this.crashes.get(key));
    const kept = crashes.get(upstream);
    // A crash that no longer counts does not stand for a later one of the same upstream.
    const known = this.counts(key, upstream, kept?.at ?? -Infinity, now) ? kept : undefined;
    const at = now - ageMs;
    if (this.survivals.hasSurvived(upstream, at)) return false;
    const isNew = known === undefined || at > known.at + SAME_CRASH_MS;
    const isOwn = origin !== 'peer' || known?.isOwn === true;
    // The earliest time: reports arrive late, and would move it forward each time that they are passed on.
    crashes.set(upstream, { at: isNew ? at : Math.min(at, known.at), isOwn });
    if (!isNew) {
      this.crashes.set(key, crashes);
      return false;
    }
    this.survivals.recordBreak(upstream, at);
    this.crashes.delete(key);
    this.crashes.set(key, this.newestCrashes(key, crashes));
    this.byUpstream.set(upstream, (this.byUpstream.get(upstream) ?? new Set()).add(key));
    if (crashes.size >= MIN_REPEATED_CRASHES) this.repeated.add(key);
    this.evict();
    return true;
  }

  /** Gets when a request with a trait was last answered completely; -Infinity where none is remembered. */
  getAnsweredAt(key: string): Millis {
    return this.answers.get(key)?.at ?? -Infinity;
  }

  /** Gets the crashes of a trait that count, by upstream. */
  getCrashes(key: string, now: Millis): Crashes {
    const counted = [...(this.crashes.get(key) ?? [])].filter(([upstream, { at }]) =>
      this.counts(key, upstream, at, now),
    );
    if (counted.length < MIN_REPEATED_CRASHES) this.repeated.delete(key);
    return new Map(counted);
  }

  /**
   * Gets what is known of a trait.
   *
   * @param key - The trait.
   * @param now - Present time.
   * @param minAgeMs - Milliseconds since a crash from which on it counts.
   */
  getTrait(key: string, now: Millis, minAgeMs: Millis = 0): TraitRecord {
    const counted = [...this.getCrashes(key, now)].filter(([, { at }]) => at <= now - minAgeMs);
    return {
      crashes: new Map(counted.map(([upstream, { at }]) => [upstream, at])),
      wasAnswered: this.answers.get(key) !== undefined,
      isShared: isSharedDigest(key),
      recentRequests: this.arrivals.get(key, now),
      hasEarlierCrash: counted.some(([, { at }]) => at < this.opts.startedAt),
    };
  }

  /** Records that a caller has sent a request with a trait. */
  recordArrival(key: string, now: Millis): void {
    this.arrivals.add(key, 1, now);
    this.arrivalCount += 1;
    if (this.arrivalCount % ARRIVALS_PER_PRUNE === 0) this.arrivals.prune(now);
  }

  /** Tells whether a crash has neither expired nor been cleared by an answer or a survival. */
  private counts(key: string, upstream: UpstreamId, at: Millis, now: Millis): boolean {
    const isRecent = at > now - this.opts.retentionMs && at > this.getAnsweredAt(key);
    return isRecent && !this.survivals.hasSurvived(upstream, at);
  }

  private newestCrashes(key: string, crashes: Crashes): Crashes {
    if (crashes.size <= MAX_UPSTREAMS) return crashes;
    const [oldest] = [...crashes].sort(([, a], [, b]) => a.at - b.at);
    const [dropped = ''] = oldest ?? [];
    this.forgetAt(dropped, key);
    return new Map([...crashes].filter(([upstream]) => upstream !== dropped));
  }

  /** Drops the trait whose last crash is oldest, one with a single crash if there is any. */
  private evict(): void {
    if (this.crashes.size <= this.opts.maxDigests) return;
    const keys = [...this.crashes.keys()];
    const dropped = keys.find((key) => !this.repeated.has(key)) ?? keys[0] ?? '';
    [...(this.crashes.get(dropped)?.keys() ?? [])].forEach((upstream) =>
      this.forgetAt(upstream, dropped),
    );
    this.crashes.delete(dropped);
    this.repeated.delete(dropped);
  }

  private forgetAt(upstream: UpstreamId, key: string): void {
    const keys = this.byUpstream.get(upstream);
    keys?.delete(key);
    if (keys?.size === 0) this.byUpstream.delete(upstream);
  }
}
