import type { Millis } from '@camphorvane/core';
import type { AnswerReport, CrashReport, SuspicionReports } from './CrashReport.ts';
import type { CrashRecords } from './CrashRecords.ts';
import { isSharedDigest } from './sharedDigest.ts';

/** Whom a report is for: the peers of this host, or all hosts that a relay reports to. */
export type ReportAudience = 'peers' | 'relayed';

/** Crashes from which on a trait is reported until they expire. */
const MIN_REPEATED_CRASHES = 2;

/** Milliseconds for which news is in every report, so that losing some of them does no harm. */
const FRESH_MS: Millis = 2_000;

/** Milliseconds between two reports of older crashes to peers. */
const REPEAT_MS: Millis = 2_000;

/** Most crashes in one report: 4 KB where many requests share a crash, 11 KB where none do. */
const MAX_REPORTED = 192;

/** Chooses which crashes and answers a host reports to others. */
export class CrashReporter {
  /** Until when a trait's crashes are in every report, and until when its answer is. */
  private readonly freshUntil = new Map<string, Millis>();

  private readonly freshAnswers = new Map<string, Millis>();

  private repeatedAt: Millis = -Infinity;

  /** @param records - What is known of all traits. */
  constructor(private readonly records: CrashRecords) {}

  /** Has the crashes of a trait reported, since there is a new one. */
  recordCrash(key: string, now: Millis): void {
    this.freshUntil.set(key, now + FRESH_MS);
    // Peers may not know that it was answered, which tells it from what never was.
    if (this.records.answers.get(key)?.isOwn === true) this.recordAnswer(key, now);
  }

  /** Has the last answer of a trait reported. */
  recordAnswer(key: string, now: Millis): void {
    this.freshAnswers.set(key, now + FRESH_MS);
  }

  /**
   * Gets the crashes and answers to report: news for a short time, and the crashes of traits with several of them
   * until they expire.
   *
   * @param now - Present time.
   * @param audience - Peers get this host's own news; a relay passes on those of all hosts.
   * @returns The reports, those of the traits with most crashes first, then those never answered.
   */
  getReports(now: Millis, audience: ReportAudience): Pick<SuspicionReports, 'crashes' | 'answers'> {
    const keys = new Set([
      ...takeFresh(this.freshUntil, now).reverse(),
      ...this.takeRepeated(now, audience),
    ]);
    const isRelayed = audience === 'relayed';
    const crashes = [...keys]
      .map((digest) => ({
        digest,
        crashes: [...this.records.getCrashes(digest, now)],
        rank: this.rankOf(digest),
      }))
      .sort((a, b) => b.crashes.length - a.crashes.length || a.rank - b.rank)
      .flatMap((one) =>
        one.crashes
          .filter(
            ([, { isOwn }]) => isOwn || isRelayed || one.crashes.length >= MIN_REPEATED_CRASHES,
          )
          .map(([upstream, { at }]) => ({ digest: one.digest, upstream, ageMs: now - at })),
      )
      .slice(0, MAX_REPORTED);
    const answers = takeFresh(this.freshAnswers, now)
      .reverse()
      .flatMap((digest): readonly AnswerReport[] => {
        const answer = this.records.answers.get(digest);
        const isReported = answer !== undefined && (answer.isOwn || isRelayed);
        return isReported ? [{ digest, ageMs: now - answer.at }] : [];
      })
      .slice(0, MAX_REPORTED);
    return { crashes, answers };
  }

  /** Gets the crashes of the given traits that this host detected one of itself. */
  getOwn(keys: readonly string[], now: Millis): readonly CrashReport[] {
    return keys
      .map((digest) => ({ digest, crashes: [...this.records.getCrashes(digest, now)] }))
      .filter(({ crashes }) => crashes.some(([, { isOwn }]) => isOwn))
      .flatMap(({ digest, crashes }) =>
        crashes.map(([upstream, { at }]) => ({ digest, upstream, ageMs: now - at })),
      )
      .slice(-MAX_REPORTED);
  }

  private takeRepeated(now: Millis, audience: ReportAudience): Iterable<string> {
    if (audience === 'relayed') return this.records.getRepeated();
    if (now - this.repeatedAt < REPEAT_MS) return [];
    this.repeatedAt = now;
    return this.records.getRepeated();
  }

  /** Gets the place of a trait among those with as many crashes: what was answered is least suspect. */
  private rankOf(key: string): number {
    if (this.records.answers.get(key) !== undefined) return 2;
    return isSharedDigest(key) ? 0 : 1;
  }
}

/** Gets the keys that are still fresh, and drops the others. */
function takeFresh(until: Map<string, Millis>, now: Millis): string[] {
  return [...until].flatMap(([key, end]) => {
    if (end > now) return [key];
    until.delete(key);
    return [];
  });
}
