import {
  type Clock,
  type Millis,
  type Refusal,
  sleep,
  type TeamId,
  type TeamRate,
  type Tokens,
} from '@camphorvane/core';
import type { ShareHolder } from '@camphorvane/group';
import type { Result } from 'neverthrow';
import { NO_SHARE_RETRY_MS, noShare, overRate } from './RateMessages.ts';
import { LONGEST_WAIT_MS, type WaitingCharge, WaitingCharges } from './WaitingCharges.ts';

/** Time for which a team that lacked tokens everywhere is refused without asking again. */
const EXHAUSTED_MS: Millis = 50;

/** Pause before a steward is asked again for tokens that other holders are to give back. */
const ASK_AGAIN_MS: Millis = 10;

/** What was found a moment ago not to be there. */
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
  /** Reports a team to its steward, and resolves once the answer was taken or is lost. */
  readonly syncTeam: (team: TeamId) => Promise<void>;
  /** Borrows tokens from other members, and resolves to how many it got. */
  readonly borrow: (team: TeamId, tokens: Tokens) => Promise<Tokens>;
}

/** The requests that lack tokens on this host and wait for those of other hosts. */
export class ChargeQueue {
  private readonly options: ChargeQueueOptions;

  private readonly waiting = new Map<TeamId, WaitingCharges>();

  private readonly exhausted = new Map<TeamId, Exhaustion>();

  constructor(options: ChargeQueueOptions) {
    this.options = options;
  }

  /** Tells whether a team was found a moment ago to lack that many tokens everywhere. */
  isExhausted(team: TeamId, lack: Tokens): boolean {
    const known = this.exhausted.get(team);
    return known !== undefined && this.now() < known.until && lack >= known.lack;
  }

  /** Gets how many requests of a team wait. */
  countOf(team: TeamId): number {
    return this.waiting.get(team)?.count ?? 0;
  }

  /**
   * Waits until tokens were charged, for at most {@link LONGEST_WAIT_MS}.
   *
   * @param team - The team.
   * @param tokens - What is to be charged.
   * @param rate - The rate of the team, for the refusal.
   * @returns Nothing once they were charged, or the refusal.
   */
  wait(team: TeamId, tokens: Tokens, rate: TeamRate): Promise<Result<void, Refusal>> {
    const waiting = this.waiting.get(team) ?? new WaitingCharges();
    this.waiting.set(team, waiting);
    const waited = waiting.wait(
      tokens,
      (run) => this.options.clock.after(LONGEST_WAIT_MS, run),
      () => this.refusalAfterWait(team, tokens, rate),
    );
    void this.fetch(team, waiting);
    void this.borrowAll(team, waiting);
    return waited;
  }

  /** Charges for those of a team that have enough now, first come first. */
  serve(team: TeamId): void {
    const waiting = this.waiting.get(team);
    if (waiting === undefined) return;
    const { holder } = this.options;
    waiting.serve((tokens) => holder.charge(team, tokens, this.now()).type === 'charged');
    if (waiting.count === 0) this.waiting.delete(team);
  }

  private noteExhausted(team: TeamId, lack: Tokens): void {
    this.exhausted.set(team, { until: this.now() + EXHAUSTED_MS, lack });
  }

  private now(): Millis {
    return this.options.clock.now();
  }

  private levelOf(team: TeamId): number {
    return this.options.holder.getHeldShare(team, this.now())?.bucket.level ?? 0;
  }

  private hasShare(team: TeamId): boolean {
    return (this.options.holder.getHeldShare(team, this.now())?.share ?? 0) > 0;
  }

  private refusalAfterWait(team: TeamId, tokens: Tokens, rate: TeamRate): Refusal {
    const held = this.options.holder.getHeldShare(team, this.now());
    if (held === undefined || held.share === 0) return noShare(NO_SHARE_RETRY_MS);
    return overRate(tokens - held.bucket.level, rate);
  }

  /**
   * Borrows from other members for one request after the other.
   *
   * Made for large requests, skewed callers and the seconds after a steward's death, in which shares
   * can't move: a request that is larger than what lies here would be refused although the team has
   * the tokens. Tokens lent count as spent at the lender, so the cap holds whoever is steward and
   * whatever is lost on the way.
   */
  private async borrowAll(team: TeamId, waiting: WaitingCharges): Promise<void> {
    if (waiting.isBorrowing) return;
    waiting.setBorrowing(true);
    while (waiting.first !== undefined && (await this.borrowFor(team, waiting, waiting.first)));
    waiting.setBorrowing(false);
  }

  /** Borrows for one request; false where the others had too little. */
  private async borrowFor(
    team: TeamId,
    waiting: WaitingCharges,
    charge: WaitingCharge,
  ): Promise<boolean> {
    const { holder, borrow, rateOf } = this.options;
    const lack = Math.ceil(charge.tokens - this.levelOf(team));
    const borrowed = lack <= 0 ? 0 : await borrow(team, lack);
    const isWaiting = waiting.has(charge);
    const needed = isWaiting ? charge.tokens : 0;
    if (holder.chargeWithBorrowed(team, needed, borrowed, this.now())) {
      if (isWaiting) waiting.admit(charge);
      return true;
    }
    holder.chargeWithBorrowed(team, 0, borrowed, this.now());
    const rate = rateOf(team);
    // Without any share here the steward is still to be heard; the wait has an end of its own.
    if (rate === undefined || lack <= 0 || !this.hasShare(team)) return false;
    this.noteExhausted(team, lack);
    waiting.turnAway(charge, overRate(lack - borrowed, rate));
    return true;
  }

  /** Asks the steward again and again while somebody waits; each wait has an end of its own. */
  private async fetch(team: TeamId, waiting: WaitingCharges): Promise<void> {
    if (waiting.isFetching) return;
    waiting.startFetching();
    const { clock, holder, signal, syncTeam } = this.options;
    while (waiting.count > 0 && !signal.aborted) {
      holder.markDirty(team, this.now());
      await syncTeam(team);
      if (waiting.count > 0) await sleep(clock, ASK_AGAIN_MS, signal);
    }
    if (this.waiting.get(team) === waiting) this.waiting.delete(team);
  }
}
