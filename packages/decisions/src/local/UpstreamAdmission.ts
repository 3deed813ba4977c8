import type { Millis, UpstreamId } from '@camphorvane/core';
import { UpstreamConstraints } from '../signals/UpstreamConstraints.ts';
import type { Opening } from '../signals/openings.ts';
import { SlowStart } from './SlowStart.ts';

/**
 * How many requests this host may send to an upstream, by its slow start and by what it has asked for.
 * Engines and servers of plain services are admitted to by the same rules.
 */
export class UpstreamAdmission {
  /** Upstreams that have just started, and how many requests they may get. */
  readonly slowStart: SlowStart;

  /** What upstreams have asked for in their answers. */
  readonly constraints: UpstreamConstraints;

  /**
   * @param slowStart - Upstreams that have just started.
   * @param constraints - What upstreams have asked for.
   */
  constructor(slowStart = new SlowStart(), constraints = new UpstreamConstraints()) {
    this.slowStart = slowStart;
    this.constraints = constraints;
  }

  /** Gets how many requests this host may send to an upstream now; infinite where nothing bounds them. */
  allowance(upstream: UpstreamId, now: Millis): number {
    return Math.min(
      this.slowStart.allowance(upstream, now),
      this.constraints.allowance(upstream, now),
    );
  }

  /** Gets when this host may send to an upstream; undefined for one that has asked for nothing. */
  openings(upstream: UpstreamId, now: Millis): readonly Opening[] | undefined {
    return this.constraints.openings(upstream, now);
  }

  /** Tells whether other upstreams are to be used first, since this one has asked for fewer requests. */
  isReluctant(upstream: UpstreamId, now: Millis): boolean {
    return (
      this.constraints.openings(upstream, now) !== undefined &&
      !this.constraints.needsConfirmation(upstream, now)
    );
  }

  /** Counts a request to an upstream. */
  recordRequest(upstream: UpstreamId, now: Millis): void {
    this.slowStart.recordRequest(upstream, now);
    this.constraints.recordRequest(upstream, now);
  }
}
