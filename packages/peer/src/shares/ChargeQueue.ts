import {
  runInBackground,
  sleep,
  type Clock,
  type Millis,
  type Refusal,
  type TeamId,
  type TeamRate,
  type Tokens,
} from '@camphorvane/core';
import type { ShareHolder } from '@camphorvane/group';
import type { Result } from 'neverthrow';
import { NO_SHARE_RETRY_MS, noShareRefusal, overRateRefusal } from './rateRefusals.ts';
import { MAX_CHARGE_WAIT_MS, type WaitingCharge, WaitingCharges } from './WaitingCharges.ts';

/** Time for which a team that lacked tokens on all members is refused without asking them again. */
const EXHAUSTED_TTL_MS: Millis = 50;

/** Pause before the next sync with a coordinator, which waits for other holders to return tokens. */
const SYNC_RETRY_MS: Millis = 10;

/** A recent finding that a team lacked tokens on all members. */
interface Exhaustion {
  readonly until: Millis;
  readonly lack: Tokens;
}

/** What a {@link ChargeQueue} needs. */
export interface ChargeQueueOptions {
  readonly clock: Clock;
  readonly holder: ShareHolder;
  readonly signal: AbortSignal;
  readonly rateOf: (team: TeamId) => TeamRate | undefined;
  /** Syncs a team with its coordinator; resolves once the reply was applied or the sync failed. */
  readonly syncTeam: (team: TeamId) => Promise<void>;
  /** Borrows tokens from other members; resolves to the number of tokens lent. */
  readonly borrow: (team: TeamId, tokens: Tokens) => Promise<Tokens>;
}

/** The requests that lack tokens on this host and wait for tokens of other hosts. */
export class ChargeQueue {
  private readonly options: ChargeQueueOptions;

  private readonly waiting = new Map<TeamId, WaitingCharges>();

  private readonly exhausted = new Map<TeamId, Exhaustion>();

  constructor(options: ChargeQueueOptions) {
    this.options = options;
  }

  /** Tells whether a team was recently found to lack this many tokens on all members. */
  isExhausted(team: TeamId, lack: Tokens): boolean {
    const known = this.exhausted.get(team);
    return known !== undefined && this.now() < known.until && lack >= known.lack;
  }

  /** Gets the number of waiting requests of a team. */
  countWaiting(team: TeamId): number {
    return this.waiting.get(team)?.count ?? 0;
  }

  /**
   * Waits until tokens are charged, for at most {@link MAX_CHARGE_WAIT_MS}.
   *
   * @param team - The team.
   * @param tokens - Tokens to charge.
   * @param rate - The rate of the team, for the refusal.
   * @returns Nothing once the tokens are charged, or the refusal.
   */
  wait(team: TeamId, tokens: Tokens, rate: TeamRate): Promise<Result<void, Refusal>> {
    const waiting = this.waiting.get(team) ?? new WaitingCharges();
    this.waiting.set(team, waiting);
    const result = waiting.wait(
      tokens,
      (run) => this.options.clock.after(MAX_CHARGE_WAIT_MS, run),
      () => this.timeoutRefusal(team, tokens, rate),
    );
    runInBackground('shares.queue', () => this.syncWhileWaiting(team, waiting));
    runInBackground('shares.queue', () => this.borrowWhileWaiting(team, waiting));
    return result;
  }

  /** Charges the waiting requests of a team for which there are enough tokens, in arrival order. */
  serve(team: TeamId): void {
    const waiting = this.waiting.get(team);
    if (waiting === undefined) return;
    const { holder } = this.options;
    waiting.serve((tokens) => holder.charge(team, tokens, this.now()).type === 'charged');
    if (waiting.count === 0) this.waiting.delete(team);
  }

  private noteExhausted(team: TeamId, lack: Tokens): void {
    this.exhausted.set(team, { until: this.now() + EXHAUSTED_TTL_MS, lack });
  }

  private now(): Millis {
    return this.options.clock.now();
  }

  private balanceOf(team: TeamId): number {
    return this.options.holder.getHeldShare(team, this.now())?.bucket.level ?? 0;
  }

  private hasShare(team: TeamId): boolean {
    return (this.options.holder.getHeldShare(team, this.now())?.share ?? 0) > 0;
  }

  private timeoutRefusal(team: TeamId, tokens: Tokens, rate: TeamRate): Refusal {
    const held = this.options.holder.getHeldShare(team, this.now());
    if (held === undefined || held.share === 0) return noShareRefusal(NO_SHARE_RETRY_MS);
    return overRateRefusal(tokens - held.bucket.level, rate);
  }

  /**
   * Borrows from other members for the waiting requests, one at a time.
   *
   * Without borrowing, a request larger than this host's balance would be refused although the team
   * has the tokens: large requests, skewed callers, and the seconds after a coordinator's crash, in
   * which shares can't move. Tokens lent count as spent at the lender, so the cap holds whoever is
   * the coordinator and whichever messages are lost.
   */
  private async borrowWhileWaiting(team: TeamId, waiting: WaitingCharges): Promise<void> {
    if (waiting.isBorrowing) return;
    waiting.setBorrowing(true);
    while (waiting.oldest !== undefined && (await this.borrowFor(team, waiting, waiting.oldest)));
    waiting.setBorrowing(false);
  }

  /** Borrows for one request; false where the request was neither charged nor refused. */
  private async borrowFor(
    team: TeamId,
    waiting: WaitingCharges,
    charge: WaitingCharge,
  ): Promise<boolean> {
    const { holder, borrow, rateOf } = this.options;
    const lack = Math.ceil(charge.tokens - this.balanceOf(team));
    const borrowed = lack <= 0 ? 0 : await borrow(team, lack);
    const isWaiting = waiting.has(charge);
    const needed = isWaiting ? charge.tokens : 0;
    if (holder.chargeWithBorrowed(team, needed, borrowed, this.now())) {
      if (isWaiting) waiting.admit(charge);
      return true;
    }
    holder.chargeWithBorrowed(team, 0, borrowed, this.now());
    const rate = rateOf(team);
    // A host without a share has yet to get the coordinator's reply; the wait has its own timeout.
    if (rate === undefined || lack <= 0 || !this.hasShare(team)) return false;
    this.noteExhausted(team, lack);
    waiting.refuse(charge, overRateRefusal(lack - borrowed, rate));
    return true;
  }

  /** Syncs with the coordinator repeatedly while requests wait; each wait has its own timeout. */
  private async syncWhileWaiting(team: TeamId, waiting: WaitingCharges): Promise<void> {
    if (waiting.isSyncing) return;
    waiting.startSyncing();
    const { clock, holder, signal, syncTeam } = this.options;
    while (waiting.count > 0 && !signal.aborted) {
      holder.markDirty(team, this.now());
      await syncTeam(team);
      if (waiting.count > 0) await sleep(clock, SYNC_RETRY_MS, signal);
    }
    if (this.waiting.get(team) === waiting) this.waiting.delete(team);
  }
}
