import type { Millis, TeamRate, Tokens } from '@camphorvane/core';

/** A bucket that one decider sees whole: the all-knowing limit, or one host's fixed part. */
export class SimpleBucket {
  private level: number;

  private at: Millis;

  /**
   * @param rate - The rate of the whole team.
   * @param now - The time at which it is full.
   */
  constructor(
    private readonly rate: TeamRate,
    now: Millis,
  ) {
    this.level = rate.burstTokens;
    this.at = now;
  }

  /** Takes tokens out if they are there; `part` is this bucket's part of the whole rate. */
  charge(tokens: Tokens, now: Millis, part = 1): boolean {
    this.refresh(now, part);
    if (this.level < tokens) return false;
    this.level -= tokens;
    return true;
  }

  /** Puts unused tokens back. */
  refund(tokens: Tokens, now: Millis, part = 1): void {
    this.refresh(now, part);
    this.level = Math.min(this.level + tokens, this.rate.burstTokens * part);
  }

  private refresh(now: Millis, part: number): void {
    const earned = ((now - this.at) / 1000) * this.rate.tokensPerSecond * part;
    this.level = Math.min(this.level + earned, this.rate.burstTokens * part);
    this.at = now;
  }
}
