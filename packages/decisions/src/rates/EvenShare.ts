import type { Millis, TeamId, TeamRate, Tokens } from '@camphorvane/core';

/** How far all hosts together may go beyond a team's rate without breaking it. */
export interface RateTolerance {
  /** Part of the rate, such as 0.1. */
  readonly over: number;
  /** Tokens beyond that in any window. */
  readonly slackTokens: Tokens;
  /** Length of a window, in milliseconds. */
  readonly windowMs: Millis;
}

/** What came of charging a team. */
export type ShareOutcome =
  { readonly type: 'charged' } | { readonly type: 'over_rate'; readonly retryAfterMs: Millis };

/** Part of the tolerance that is used; the rest covers requests that are on their way. */
const USED_TOLERANCE = 0.8;

/** Part of the slack that goes into the pace; the rest goes into the burst. */
const PACED_SLACK = 0.5;

const MS_PER_SECOND = 1_000;

interface Bucket {
  readonly perMs: number;
  readonly capacity: Tokens;
  level: number;
  at: Millis;
}

/**
 * Charges teams against an equal share of their rates.
 *
 * Each host takes one part of as many parts as there are hosts, alive or not, so that no set of hosts
 * that lost each other can break a rate. What the tolerance allows beyond the rate is dealt out too:
 * with it the hosts that are left can serve a team in full when one in five is dead, and callers need
 * not spread evenly. A request is charged when the bucket holds it, or is full: a large one may
 * overdraw a small share, and the next ones wait until that is made up.
 */
export class EvenShare {
  private readonly tolerance: RateTolerance;

  private readonly hostCount: () => number;

  private readonly buckets = new Map<TeamId, Bucket>();

  /**
   * @param tolerance - How far hosts may go beyond a rate together.
   * @param hostCount - Gets how many hosts share the rates.
   */
  constructor(tolerance: RateTolerance, hostCount: () => number) {
    this.tolerance = tolerance;
    this.hostCount = hostCount;
  }

  /** Takes changed rates, or a changed number of hosts, into force; levels are kept in proportion. */
  reshape(rates: ReadonlyMap<TeamId, TeamRate>, now: Millis): void {
    [...this.buckets.keys()]
      .filter((team) => !rates.has(team))
      .forEach((team) => this.buckets.delete(team));
    rates.forEach((rate, team) => {
      const shape = this.shapeOf(rate);
      const old = this.buckets.get(team);
      const level =
        old === undefined ? shape.capacity : Math.min(levelAt(old, now), shape.capacity);
      this.buckets.set(team, { ...shape, level, at: now });
    });
  }

  /**
   * Takes tokens out of this host's share.
   *
   * @param team - The team.
   * @param tokens - What the request may use.
   * @param now - Present time.
   * @returns Whether they were taken, or when they will be there.
   */
  charge(team: TeamId, tokens: Tokens, now: Millis): ShareOutcome {
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return { type: 'charged' };
    const level = levelAt(bucket, now);
    const needed = Math.min(tokens, bucket.capacity);
    if (level < needed) {
      return { type: 'over_rate', retryAfterMs: Math.ceil((needed - level) / bucket.perMs) };
    }
    bucket.level = level - tokens;
    bucket.at = now;
    return { type: 'charged' };
  }

  /** Gives back what a request did not use. */
  refund(team: TeamId, tokens: Tokens, now: Millis): void {
    const bucket = this.buckets.get(team);
    if (bucket === undefined) return;
    bucket.level = Math.min(bucket.capacity, levelAt(bucket, now) + tokens);
    bucket.at = now;
  }

  /** Gets the level of each team's share, for the state dump. */
  dump(now: Millis): Readonly<Record<TeamId, number>> {
    return Object.fromEntries(
      [...this.buckets].map(([team, bucket]) => [team, Math.floor(levelAt(bucket, now))]),
    );
  }

  private shapeOf(rate: TeamRate): Pick<Bucket, 'perMs' | 'capacity'> {
    const hosts = Math.max(1, this.hostCount());
    const { over, slackTokens, windowMs } = this.tolerance;
    const factor = 1 + over * USED_TOLERANCE;
    const slack = slackTokens * USED_TOLERANCE;
    const paced = (slack * PACED_SLACK) / windowMs;
    return {
      perMs: ((rate.tokensPerSecond / MS_PER_SECOND) * factor + paced) / hosts,
      capacity: (rate.burstTokens * factor + slack * (1 - PACED_SLACK)) / hosts,
    };
  }
}

function levelAt(bucket: Bucket, now: Millis): number {
  return Math.min(bucket.capacity, bucket.level + (now - bucket.at) * bucket.perMs);
}
