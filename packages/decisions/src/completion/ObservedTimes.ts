import type { Millis, UpstreamId } from '@camphorvane/core';
import type { CallTime } from './callTimes.ts';

/** How observations are averaged. */
export interface ObservationRules {
  /** Time constant of the average. */
  readonly windowMs: Millis;
  /** Age from which an observation doesn't count any more. */
  readonly maxAgeMs: Millis;
  /** Whether a longer time than the average counts in full at once. */
  readonly countsPeaks: boolean;
}

/** An averaged time, and when it was observed last. */
export interface ObservedTime {
  readonly ms: Millis;
  readonly at: Millis;
}

/** Times that this host and its peers have observed at upstreams. */
export class ObservedTimes {
  private readonly rules: ObservationRules;

  private readonly times = new Map<UpstreamId, ObservedTime>();

  /** What this host has observed itself; only this is reported, or reports would go round among hosts. */
  private readonly own = new Map<UpstreamId, ObservedTime>();

  /** @param rules - How observations are averaged. */
  constructor(rules: ObservationRules) {
    this.rules = rules;
  }

  /** Records an observation of this host. */
  record(upstream: UpstreamId, ms: Millis, now: Millis): void {
    const averaged = { ms: this.average(upstream, ms, now), at: now };
    this.times.set(upstream, averaged);
    this.own.set(upstream, averaged);
  }

  /** Records what a peer reports, where it is newer than what is known. */
  receive(reports: readonly CallTime[], now: Millis): void {
    reports.forEach(({ upstream, ms, ageMs }) => {
      const at = now - ageMs;
      if (at <= (this.times.get(upstream)?.at ?? -Infinity)) return;
      this.times.set(upstream, { ms: this.average(upstream, ms, at), at });
    });
    this.removeOld(this.times, now);
  }

  /** Gets the observations of this host to report to its peers. */
  getReports(now: Millis): readonly CallTime[] {
    this.removeOld(this.own, now);
    return [...this.own].map(([upstream, { ms, at }]) => ({ upstream, ms, ageMs: now - at }));
  }

  /** Gets what is known of an upstream; undefined without a recent observation. */
  get(upstream: UpstreamId, now: Millis): ObservedTime | undefined {
    const time = this.times.get(upstream);
    const isKnown = time !== undefined && time.ms < Infinity;
    return isKnown && now - time.at < this.rules.maxAgeMs ? time : undefined;
  }

  /** Forgets an upstream, which may be another process from now on; older observations of peers don't count. */
  forget(upstream: UpstreamId, now: Millis): void {
    this.own.delete(upstream);
    this.times.set(upstream, { ms: Infinity, at: now });
  }

  private average(upstream: UpstreamId, ms: Millis, at: Millis): Millis {
    const { windowMs, countsPeaks } = this.rules;
    const known = this.get(upstream, at);
    const gapMs = at - (known?.at ?? -Infinity);
    // After a whole window without a call the old average says nothing of the upstream as it is now.
    if (known === undefined || gapMs >= windowMs) return ms;
    if (countsPeaks && ms > known.ms) return ms;
    const weight = 1 - Math.exp(-gapMs / windowMs);
    return known.ms + (ms - known.ms) * weight;
  }

  private removeOld(times: Map<UpstreamId, ObservedTime>, now: Millis): void {
    [...times]
      .filter(([, { at }]) => now - at >= this.rules.maxAgeMs)
      .forEach(([upstream]) => times.delete(upstream));
  }
}
