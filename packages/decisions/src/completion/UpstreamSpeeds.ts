import type { Millis, UpstreamId } from '@camphorvane/core';
import { RandomSource } from '@camphorvane/core';
import { DecodeSpeeds } from '../local/DecodeSpeeds.ts';
import type { ServerCandidate } from '../service/CompletionEstimator.ts';
import { CompletionEstimator } from '../service/CompletionEstimator.ts';
import type { CallTime } from './callTimes.ts';
import { newestCallTimes } from './callTimes.ts';

/** Hundredths of a millisecond: the time between two tokens is less than one. */
const LOG_PRECISION = 100;

/** Age up to which a host repeats an observation: a few messages, since some are lost. */
const MAX_REPORT_AGE_MS: Millis = 1_000;

/**
 * How fast servers and engines are, as this host and its peers have observed. Nothing is learned, reported
 * or used unless the configuration in force switches it on.
 */
export class UpstreamSpeeds {
  private readonly servers: CompletionEstimator;

  private readonly engines = new DecodeSpeeds();

  private readonly isSwitchedOn: () => boolean;

  /**
   * @param isSwitchedOn - Tells whether the speed of upstreams counts at the moment.
   * @param random - Draws the servers to compare.
   */
  constructor(isSwitchedOn: () => boolean = () => false, random = new RandomSource(1)) {
    this.isSwitchedOn = isSwitchedOn;
    this.servers = new CompletionEstimator(random);
  }

  /** Tells whether the speed of upstreams counts at the moment. */
  isUsed(): boolean {
    return this.isSwitchedOn();
  }

  /** Records the time of a call that a server of a plain service has answered. */
  recordCall(server: UpstreamId, tookMs: Millis, now: Millis): void {
    if (this.isSwitchedOn()) this.servers.record(server, tookMs, now);
  }

  /** Records the mean time between two output tokens of an engine's streams. */
  recordTokenInterval(engine: UpstreamId, tokenMs: Millis, now: Millis): void {
    if (this.isSwitchedOn()) this.engines.record(engine, tokenMs, now);
  }

  /** Forgets an engine that was down; it may come back with another speed. */
  forgetEngine(engine: UpstreamId, now: Millis): void {
    this.engines.forget(engine, now);
  }

  /** Records what peers report. */
  receive(reports: readonly CallTime[], now: Millis): void {
    if (!this.isSwitchedOn()) return;
    this.servers.receive(reports, now);
    this.engines.receive(reports, now);
  }

  /** Gets the observations of this host to report to its peers. */
  getReports(now: Millis): readonly CallTime[] {
    if (!this.isSwitchedOn()) return [];
    const reports = [...this.servers.getReports(now), ...this.engines.getReports(now)];
    return newestCallTimes(reports.filter(({ ageMs }) => ageMs <= MAX_REPORT_AGE_MS));
  }

  /** Gets what is known of an upstream, for the log; nothing where it decides nothing. */
  describe(
    upstream: UpstreamId,
    now: Millis,
  ): { readonly observedMs?: number; readonly observedAgeMs?: number } {
    const time = this.servers.get(upstream, now) ?? this.engines.get(upstream, now);
    if (time === undefined || !this.isSwitchedOn()) return {};
    const observedMs = Math.round(time.ms * LOG_PRECISION) / LOG_PRECISION;
    return { observedMs, observedAgeMs: Math.round(now - time.at) };
  }

  /** Chooses among servers with free capacity; undefined where speed doesn't decide. */
  chooseServer(candidates: readonly ServerCandidate[], now: Millis): UpstreamId | undefined {
    return this.isSwitchedOn() ? this.servers.choose(candidates, now) : undefined;
  }

  /** Gets the delay of an output on each engine, see {@link DecodeSpeeds.delays}. */
  engineDelays(
    engines: readonly UpstreamId[],
    outputTokens: number,
    now: Millis,
  ): ReadonlyMap<UpstreamId, Millis> {
    return this.isSwitchedOn() ? this.engines.delays(engines, outputTokens, now) : new Map();
  }
}
