import type { Millis, UpstreamId } from '@camphorvane/core';
import type { CallTime } from '../completion/callTimes.ts';
import type { ObservedTime } from '../completion/ObservedTimes.ts';
import { ObservedTimes } from '../completion/ObservedTimes.ts';

/** Age from which a learned token interval doesn't count: engines leave, return and change within seconds. */
const MAX_AGE_MS: Millis = 10_000;

/** Time constant of the token intervals, which are means of half a second already. */
const WINDOW_MS: Millis = 2_000;

/** Learned time between two output tokens of each engine, from all hosts. */
export class DecodeSpeeds {
  private readonly times = new ObservedTimes({
    windowMs: WINDOW_MS,
    maxAgeMs: MAX_AGE_MS,
    countsPeaks: false,
  });

  /** Records the mean time between two tokens of the streams of an engine. */
  record(engine: UpstreamId, tokenMs: Millis, now: Millis): void {
    this.times.record(engine, tokenMs, now);
  }

  /** Records what peers observed. */
  receive(reports: readonly CallTime[], now: Millis): void {
    this.times.receive(reports, now);
  }

  /** Gets the observations of this host to report to its peers. */
  getReports(now: Millis): readonly CallTime[] {
    return this.times.getReports(now);
  }

  /** Forgets an engine that was down; it may come back with another speed. */
  forget(engine: UpstreamId, now: Millis): void {
    this.times.forget(engine, now);
  }

  /** Gets the learned time between two tokens of an engine; undefined without a recent observation. */
  get(engine: UpstreamId, now: Millis): ObservedTime | undefined {
    return this.times.get(engine, now);
  }

  /**
   * Gets by how much the output of a request takes longer on each engine than on the fastest of the pool.
   * Engines without a recent observation count as the mean of the pool, and observations approach it with
   * their age.
   *
   * @param engines - The engines of the pool.
   * @param outputTokens - Expected output.
   * @param now - Present time.
   * @returns Milliseconds by engine; empty while nothing is known.
   */
  delays(
    engines: readonly UpstreamId[],
    outputTokens: number,
    now: Millis,
  ): ReadonlyMap<UpstreamId, Millis> {
    const known = engines.flatMap((engine) => this.times.get(engine, now) ?? []);
    if (known.length === 0) return new Map();
    const mean = known.reduce((sum, { ms }) => sum + ms, 0) / known.length;
    const intervals = engines.map((engine): readonly [UpstreamId, Millis] => {
      const time = this.times.get(engine, now);
      if (time === undefined) return [engine, mean];
      const weight = 1 - (now - time.at) / MAX_AGE_MS;
      return [engine, mean + (time.ms - mean) * weight];
    });
    const fastest = Math.min(...intervals.map(([, ms]) => ms));
    return new Map(intervals.map(([engine, ms]) => [engine, (ms - fastest) * outputTokens]));
  }
}
