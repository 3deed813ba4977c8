import type { Millis, TeamId, UpstreamId } from '@camphorvane/core';
import { LevelStore } from './LevelStore.ts';

/** Limits of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by one first attempt. */
  readonly perAttempt: number;
  /** Retries earned in a second even without traffic, so that a team with few calls has some. */
  readonly perSecond: number;
  /** Most retries that can be saved up. */
  readonly most: number;
}

/**
 * One retry for ten attempts adds a tenth of the load at worst, also when every attempt fails; ten
 * saved ones cover the streams that one small engine loses at once.
 */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  perAttempt: 0.1,
  perSecond: 0.5,
  most: 20,
};

/**
 * Limits how much work is repeated, for each team and for each upstream.
 *
 * Made for an upstream that fails under load, or a loss of many at once. Repeats then add to the
 * load that made the first attempts fail, and keep the pool down after the cause has gone. One sees
 * it as attempts that grow while answers do not. A repeat must be paid by the team, so that one
 * team's failing requests can't use up what others need, and by the upstream that failed, so that a
 * broken upstream can't flood the healthy ones.
 */
export class RetryBudget {
  private readonly teams: LevelStore<TeamId>;

  private readonly upstreams: LevelStore<UpstreamId>;

  private readonly opts: RetryBudgetOptions;

  /** @param opts - Limits; those not given have their defaults. */
  constructor(opts: Partial<RetryBudgetOptions> = {}) {
    this.opts = { ...DEFAULT_RETRY_BUDGET, ...opts };
    this.teams = new LevelStore(this.opts);
    this.upstreams = new LevelStore(this.opts);
  }

  /** Notes a first attempt, which earns part of a retry. */
  attempted(team: TeamId, upstream: UpstreamId, now: Millis): void {
    this.teams.add(team, this.opts.perAttempt, now);
    this.upstreams.add(upstream, this.opts.perAttempt, now);
  }

  /**
   * Pays for one retry, from both budgets or from none.
   *
   * @param team - The team whose request is to be repeated.
   * @param failed - The upstream on which it failed.
   * @param now - Present time.
   * @returns Whether the retry may go ahead.
   */
  tryRetry(team: TeamId, failed: UpstreamId, now: Millis): boolean {
    const affordable = this.teams.get(team, now) >= 1 && this.upstreams.get(failed, now) >= 1;
    if (!affordable) return false;
    this.teams.add(team, -1, now);
    this.upstreams.add(failed, -1, now);
    return true;
  }

  /** Gets how many teams and upstreams have less than the full budget. */
  get size(): number {
    return this.teams.size + this.upstreams.size;
  }
}
