import type { Millis, Tokens } from '@camphorvane/core';

const MS_PER_SECOND = 1000;

/** A bucket of tokens that fills at a steady rate. */
export class TokenBucket {
  private level: Tokens;

  private at: Millis = 0;

  constructor(
    private readonly tokensPerSecond: number,
    private readonly burst: Tokens,
  ) {
    this.level = burst;
  }

  /** Takes tokens if they are there; false, with nothing taken, if not. */
  take(tokens: Tokens, now: Millis): boolean {
    const filled = this.level + ((now - this.at) * this.tokensPerSecond) / MS_PER_SECOND;
    this.level = Math.min(this.burst, filled);
    this.at = now;
    if (this.level < tokens) return false;
    this.level -= tokens;
    return true;
  }
}
