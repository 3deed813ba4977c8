import type { Millis, Refusal, Tokens } from '@camphorvane/core';
import { err, ok, type Result } from 'neverthrow';

/** A request whose tokens are being fetched. */
export interface WaitingCharge {
  readonly tokens: Tokens;
  readonly resolve: (result: Result<void, Refusal>) => void;
}

/** The requests of one team that wait for tokens. */
export class WaitingCharges {
  private fetching = false;

  private borrowing = false;

  private waiting: readonly WaitingCharge[] = [];

  /** Tells whether somebody asks the steward on their behalf. */
  get isFetching(): boolean {
    return this.fetching;
  }

  /** Notes that somebody asks from now on, as long as anybody waits. */
  startFetching(): void {
    this.fetching = true;
  }

  /** Tells whether somebody borrows on their behalf. */
  get isBorrowing(): boolean {
    return this.borrowing;
  }

  /** Gets the one that has waited longest. */
  get first(): WaitingCharge | undefined {
    return this.waiting[0];
  }

  /** Notes whether somebody borrows. */
  setBorrowing(borrowing: boolean): void {
    this.borrowing = borrowing;
  }

  /** Tells whether one still waits. */
  has(charge: WaitingCharge): boolean {
    return this.waiting.includes(charge);
  }

  /** Ends the wait of one that was charged. */
  admit(charge: WaitingCharge): void {
    this.end(charge, ok(undefined));
  }

  /** Refuses one. */
  turnAway(charge: WaitingCharge, refusal: Refusal): void {
    this.end(charge, err(refusal));
  }

  /** Gets how many wait. */
  get count(): number {
    return this.waiting.length;
  }

  /**
   * Waits for tokens.
   *
   * @param tokens - What is needed.
   * @param after - Starts the timer that ends the wait.
   * @param refusal - What the caller is told then.
   * @returns When they were there, or the refusal.
   */
  wait(
    tokens: Tokens,
    after: (run: () => void) => () => void,
    refusal: () => Refusal,
  ): Promise<Result<void, Refusal>> {
    return new Promise((resolve) => {
      const entry: { charge?: WaitingCharge } = {};
      const cancel = after(() => {
        if (entry.charge !== undefined) this.end(entry.charge, err(refusal()));
      });
      entry.charge = {
        tokens,
        resolve: (result) => {
          cancel();
          resolve(result);
        },
      };
      this.waiting = [...this.waiting, entry.charge];
    });
  }

  /** Serves those for whom there are tokens now, first come first. */
  serve(charge: (tokens: Tokens) => boolean): void {
    this.waiting.filter((one) => charge(one.tokens)).forEach((one) => this.end(one, ok(undefined)));
  }

  private end(charge: WaitingCharge, result: Result<void, Refusal>): void {
    if (!this.waiting.includes(charge)) return;
    this.waiting = this.waiting.filter((one) => one !== charge);
    charge.resolve(result);
  }
}

/** Longest time for which a request waits for tokens of other hosts, in milliseconds. */
export const LONGEST_WAIT_MS: Millis = 150;
