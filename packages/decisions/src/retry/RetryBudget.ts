import type { Millis, TeamId, UpstreamId } from '@camphorvane/core';
import { KeyedTokenBuckets } from './KeyedTokenBuckets.ts';

/** Limits of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  readonly perAttempt: number;
  /** Retries earned each second even without traffic, so that a team with few calls has some. */
  readonly perSecond: number;
  /** Most retries that can accumulate. */
  readonly capacity: number;
}

/**
 * Default limits. One retry for ten attempts adds at most a tenth of the load, even if every attempt
 * fails; ten accumulated ones cover the streams that one small engine loses at once.
 */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  perAttempt: 0.1,
  perSecond: 0.5,
  capacity: 20,
};

/**
 * Retry budget by team and by upstream.
 *
 * Guards against retry storms when an upstream fails under load or many fail at once: retries add to
 * the load that made the first attempts fail, and keep the pool overloaded after the cause has gone;
 * attempts grow while answers do not. Each retry is charged to the team, so that one team's failing
 * requests do not use up the retries of others, and to the upstream that failed, so that a failing
 * upstream does not flood the healthy ones.
 */
export class RetryBudget {
  private readonly teams: KeyedTokenBuckets<TeamId>;

  private readonly upstreams: KeyedTokenBuckets<UpstreamId>;

  private readonly opts: RetryBudgetOptions;

  /** @param opts - Limits; those left out have their defaults. */
  constructor(opts: Partial<RetryBudgetOptions> = {}) {
    this.opts = { ...DEFAULT_RETRY_BUDGET, ...opts };
    this.teams = new KeyedTokenBuckets(this.opts);
    this.upstreams = new KeyedTokenBuckets(this.opts);
  }

  /** Records a first attempt, which earns part of a retry. */
  recordAttempt(team: TeamId, upstream: UpstreamId, now: Millis): void {
    this.teams.add(team, this.opts.perAttempt, now);
    this.upstreams.add(upstream, this.opts.perAttempt, now);
  }

  /**
   * Charges one retry to both budgets, or to neither if one is exhausted.
   *
   * @param team - The team whose request is retried.
   * @param failed - The upstream on which it failed.
   * @param now - Present time.
   * @returns Whether the retry is allowed.
   */
  tryRetry(team: TeamId, failed: UpstreamId, now: Millis): boolean {
    const isAllowed = this.teams.get(team, now) >= 1 && this.upstreams.get(failed, now) >= 1;
    if (!isAllowed) return false;
    this.teams.add(team, -1, now);
    this.upstreams.add(failed, -1, now);
    return true;
  }

  /** Gets how many teams and upstreams are tracked: those with less than the full budget. */
  get size(): number {
    return this.teams.size + this.upstreams.size;
  }
}
