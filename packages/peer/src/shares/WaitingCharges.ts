import type { Millis, Refusal, Tokens } from '@camphorvane/core';
import { err, ok, type Result } from 'neverthrow';

/** A request that waits for tokens from other hosts. */
export interface WaitingCharge {
  readonly tokens: Tokens;
  readonly resolve: (result: Result<void, Refusal>) => void;
}

/** The requests of one team that wait for tokens. */
export class WaitingCharges {
  private syncing = false;

  private borrowing = false;

  private waiting: readonly WaitingCharge[] = [];

  /** Tells whether a sync loop with the coordinator is running for the team. */
  get isSyncing(): boolean {
    return this.syncing;
  }

  /** Marks the sync loop as running; it runs as long as requests wait. */
  startSyncing(): void {
    this.syncing = true;
  }

  /** Tells whether a borrowing loop is running for the team. */
  get isBorrowing(): boolean {
    return this.borrowing;
  }

  /** Gets the request that has waited longest. */
  get oldest(): WaitingCharge | undefined {
    return this.waiting[0];
  }

  /** Marks whether a borrowing loop is running. */
  setBorrowing(borrowing: boolean): void {
    this.borrowing = borrowing;
  }

  /** Tells whether a request still waits. */
  has(charge: WaitingCharge): boolean {
    return this.waiting.includes(charge);
  }

  /** Ends the wait of a request whose tokens were charged. */
  admit(charge: WaitingCharge): void {
    this.end(charge, ok(undefined));
  }

  /** Ends the wait of a request with a refusal. */
  refuse(charge: WaitingCharge, refusal: Refusal): void {
    this.end(charge, err(refusal));
  }

  /** Gets the number of waiting requests. */
  get count(): number {
    return this.waiting.length;
  }

  /**
   * Waits for tokens.
   *
   * @param tokens - Tokens that the request needs.
   * @param after - Starts the timer that ends the wait, and returns a function that cancels it.
   * @param refusal - Creates the refusal for a wait that timed out.
   * @returns Nothing once the tokens are charged, or the refusal.
   */
  wait(
    tokens: Tokens,
    after: (run: () => void) => () => void,
    refusal: () => Refusal,
  ): Promise<Result<void, Refusal>> {
    return new Promise((resolve) => {
      const pending: { charge?: WaitingCharge } = {};
      const cancel = after(() => {
        if (pending.charge !== undefined) this.end(pending.charge, err(refusal()));
      });
      pending.charge = {
        tokens,
        resolve: (result) => {
          cancel();
          resolve(result);
        },
      };
      this.waiting = [...this.waiting, pending.charge];
    });
  }

  /** Ends the waits of all requests that can be charged now, in arrival order. */
  serve(charge: (tokens: Tokens) => boolean): void {
    this.waiting.filter((one) => charge(one.tokens)).forEach((one) => this.end(one, ok(undefined)));
  }

  private end(charge: WaitingCharge, result: Result<void, Refusal>): void {
    if (!this.waiting.includes(charge)) return;
    this.waiting = this.waiting.filter((one) => one !== charge);
    charge.resolve(result);
  }
}

/** Longest time that a request waits for tokens of other hosts. */
export const MAX_CHARGE_WAIT_MS: Millis = 150;
