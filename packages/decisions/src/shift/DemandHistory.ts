import type { Incarnation, Millis, Tokens } from '@camphorvane/core';

/** What requests for one pool bring, added up. */
export interface PoolDemand {
  readonly requests: number;
  /** Prompts that are to be read. */
  readonly promptTokens: Tokens;
  /** Memory that the requests hold on average while they run. */
  readonly memoryTokens: Tokens;
  /** That memory times the output tokens until whose last one it is held. */
  readonly memorySteps: number;
}

/** No request. */
export const NO_DEMAND: PoolDemand = {
  requests: 0,
  promptTokens: 0,
  memoryTokens: 0,
  memorySteps: 0,
};

/**
 * Length of the spans into which demand is sorted, in milliseconds: as long as the reading of two
 * prompts, so that requests that come in a clump weigh on the engines at once.
 */
export const DEMAND_SPAN_MS: Millis = 200;

/** Milliseconds that are remembered: some bursts and what lies between them. */
const HISTORY_MS: Millis = 30_000;

interface Source {
  readonly incarnation: Incarnation;
  readonly total: PoolDemand;
}

/**
 * Remembers what was asked of a pool, over all hosts, in short spans.
 *
 * Each host counts what was asked of it since its start, and the others take the differences: a
 * message that is lost leaves no gap, because the next one holds its count too.
 */
export class DemandHistory {
  private readonly spans = new Map<number, PoolDemand>();

  private readonly sources = new Map<string, Source>();

  /**
   * Takes in the count of a host, or of several hosts together.
   *
   * @param source - Who counted.
   * @param incarnation - Its start; a new one counts from zero.
   * @param total - All that was asked since that start.
   * @param now - Present time.
   */
  receive(source: string, incarnation: Incarnation, total: PoolDemand, now: Millis): void {
    const known = this.sources.get(source);
    this.sources.set(source, { incarnation, total });
    // What was asked before this source was first heard of came at times that nobody knows.
    if (known === undefined) return;
    const before = known.incarnation === incarnation ? known.total : NO_DEMAND;
    const more = subtractDemand(total, before);
    if (more.requests > 0) this.add(more, now);
  }

  /** Notes that a source counts from nothing, unless it was heard before. */
  expect(source: string, incarnation: Incarnation): void {
    if (!this.sources.has(source)) this.sources.set(source, { incarnation, total: NO_DEMAND });
  }

  /** Forgets up to where a source has counted; its next count is where it counts on from. */
  forget(source: string): void {
    this.sources.delete(source);
  }

  /** Gets the spans from the first request that is remembered to the last whole span. */
  getSpans(now: Millis): readonly PoolDemand[] {
    const end = spanOf(now);
    const oldest = spanOf(now - HISTORY_MS);
    [...this.spans.keys()]
      .filter((span) => span < oldest)
      .forEach((span) => this.spans.delete(span));
    const start = Math.min(end, ...this.spans.keys());
    return Array.from({ length: end - start }, (_, i) => this.spans.get(start + i) ?? NO_DEMAND);
  }

  private add(more: PoolDemand, now: Millis): void {
    const span = spanOf(now);
    this.spans.set(span, sumDemand(this.spans.get(span) ?? NO_DEMAND, more));
  }
}

/** Adds up two demands. */
export function sumDemand(a: PoolDemand, b: PoolDemand): PoolDemand {
  return {
    requests: a.requests + b.requests,
    promptTokens: a.promptTokens + b.promptTokens,
    memoryTokens: a.memoryTokens + b.memoryTokens,
    memorySteps: a.memorySteps + b.memorySteps,
  };
}

/** Gets a multiple or a part of a demand. */
export function scaleDemand(demand: PoolDemand, factor: number): PoolDemand {
  return {
    requests: demand.requests * factor,
    promptTokens: demand.promptTokens * factor,
    memoryTokens: demand.memoryTokens * factor,
    memorySteps: demand.memorySteps * factor,
  };
}

/** Gets what came on top of an earlier count; never less than nothing. */
export function subtractDemand(a: PoolDemand, b: PoolDemand): PoolDemand {
  return {
    requests: Math.max(0, a.requests - b.requests),
    promptTokens: Math.max(0, a.promptTokens - b.promptTokens),
    memoryTokens: Math.max(0, a.memoryTokens - b.memoryTokens),
    memorySteps: Math.max(0, a.memorySteps - b.memorySteps),
  };
}

function spanOf(now: Millis): number {
  return Math.floor(now / DEMAND_SPAN_MS);
}
