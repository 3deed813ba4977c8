import type { Incarnation, Millis, Tokens } from '@camphorvane/core';

/** Total demand of a number of requests for one pool. */
export interface PoolDemand {
  readonly requests: number;
  /** Prompt tokens to prefill. */
  readonly promptTokens: Tokens;
  /** Memory that the requests hold on average while they run, summed over the requests. */
  readonly memoryTokens: Tokens;
  /** That memory times the decode steps for which it is held, summed over the requests. */
  readonly memorySteps: number;
}

/** Demand of no requests. */
export const NO_DEMAND: PoolDemand = {
  requests: 0,
  promptTokens: 0,
  memoryTokens: 0,
  memorySteps: 0,
};

/**
 * Width of a demand bucket: about the prefill time of two prompts, so that the requests of one burst
 * load the engines at the same time.
 */
export const DEMAND_BUCKET_MS: Millis = 200;

/** Length of the history; it covers several bursts and the intervals between them. */
const HISTORY_MS: Millis = 30_000;

interface ReportedTotal {
  readonly incarnation: Incarnation;
  readonly total: PoolDemand;
}

/**
 * Recent demand on a pool over all hosts, in buckets of fixed width.
 *
 * Each host reports cumulative totals since its start, and receivers record the increases. A lost
 * message leaves no gap, because the next total includes what it reported.
 */
export class DemandHistory {
  private readonly buckets = new Map<number, PoolDemand>();

  private readonly totals = new Map<string, ReportedTotal>();

  /**
   * Applies the cumulative demand of a host, or of several hosts together.
   *
   * @param source - Name of the source.
   * @param incarnation - Incarnation of the source; its total restarts at zero with a new one.
   * @param total - Demand since the start of the incarnation.
   * @param now - Present time.
   */
  receive(source: string, incarnation: Incarnation, total: PoolDemand, now: Millis): void {
    const previous = this.totals.get(source);
    this.totals.set(source, { incarnation, total });
    // The first total of a source is only a baseline: when its requests arrived is unknown.
    if (previous === undefined) return;
    const baseline = previous.incarnation === incarnation ? previous.total : NO_DEMAND;
    const increase = subtractDemand(total, baseline);
    if (increase.requests > 0) this.add(increase, now);
  }

  /** Sets the baseline of a source to zero, unless it has reported before. */
  startAtZero(source: string, incarnation: Incarnation): void {
    if (!this.totals.has(source)) this.totals.set(source, { incarnation, total: NO_DEMAND });
  }

  /** Drops the last total of a source, so that its next one becomes a new baseline. */
  forget(source: string): void {
    this.totals.delete(source);
  }

  /** Gets the buckets from the first one with recorded requests to the last complete one. */
  getBuckets(now: Millis): readonly PoolDemand[] {
    const end = bucketOf(now);
    const oldest = bucketOf(now - HISTORY_MS);
    [...this.buckets.keys()]
      .filter((bucket) => bucket < oldest)
      .forEach((bucket) => this.buckets.delete(bucket));
    const start = Math.min(end, ...this.buckets.keys());
    return Array.from({ length: end - start }, (_, i) => this.buckets.get(start + i) ?? NO_DEMAND);
  }

  private add(increase: PoolDemand, now: Millis): void {
    const bucket = bucketOf(now);
    this.buckets.set(bucket, sumDemand(this.buckets.get(bucket) ?? NO_DEMAND, increase));
  }
}

/** Adds two demands. */
export function sumDemand(a: PoolDemand, b: PoolDemand): PoolDemand {
  return {
    requests: a.requests + b.requests,
    promptTokens: a.promptTokens + b.promptTokens,
    memoryTokens: a.memoryTokens + b.memoryTokens,
    memorySteps: a.memorySteps + b.memorySteps,
  };
}

/** Multiplies a demand by a factor. */
export function scaleDemand(demand: PoolDemand, factor: number): PoolDemand {
  return {
    requests: demand.requests * factor,
    promptTokens: demand.promptTokens * factor,
    memoryTokens: demand.memoryTokens * factor,
    memorySteps: demand.memorySteps * factor,
  };
}

/** Subtracts a demand from another; no component falls below zero. */
export function subtractDemand(a: PoolDemand, b: PoolDemand): PoolDemand {
  return {
    requests: Math.max(0, a.requests - b.requests),
    promptTokens: Math.max(0, a.promptTokens - b.promptTokens),
    memoryTokens: Math.max(0, a.memoryTokens - b.memoryTokens),
    memorySteps: Math.max(0, a.memorySteps - b.memorySteps),
  };
}

function bucketOf(now: Millis): number {
  return Math.floor(now / DEMAND_BUCKET_MS);
}
