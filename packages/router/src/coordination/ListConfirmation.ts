import type { Clock, Millis } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { KindFollower, StoreContact, WatchableStore } from '@camphorvane/store';

/** Longest time in milliseconds that a caller waits for a read; the store responds in a third of a second when it is slow. */
const CONFIRM_TIMEOUT_MS: Millis = 500;

/** Options of a {@link ListConfirmation}. */
export interface ListConfirmationOptions {
  readonly clock: Clock;
  readonly store: WatchableStore;
  /** Kind of the listed objects. */
  readonly kind: string;
  /** Records when the store responds. */
  readonly contact: StoreContact;
  /** Receives what is read. */
  readonly follower: KindFollower;
}

/** Confirms a list by reads that begin after each question; questions that wait at the same time share a read. */
export class ListConfirmation {
  private readonly options: ListConfirmationOptions;

  private running: Promise<boolean> | undefined;

  private next: Promise<boolean> | undefined;

  /** @param options - The store and the follower of the list. */
  constructor(options: ListConfirmationOptions) {
    this.options = options;
  }

  /**
   * Reads the list.
   *
   * @returns Whether it was read since this call, in time.
   */
  async confirm(): Promise<boolean> {
    const timeout = new AbortController();
    const timedOut = sleep(this.options.clock, CONFIRM_TIMEOUT_MS, timeout.signal).then(
      () => false,
    );
    const isConfirmed = await Promise.race([this.readNext(), timedOut]);
    timeout.abort();
    return isConfirmed;
  }

  private readNext(): Promise<boolean> {
    if (this.running === undefined) return this.start();
    this.next ??= this.running.then(() => {
      this.next = undefined;
      return this.start();
    });
    return this.next;
  }

  private start(): Promise<boolean> {
    const reading = this.read()
      .catch(() => false)
      .finally(() => {
        if (this.running === reading) this.running = undefined;
      });
    this.running = reading;
    return reading;
  }

  private async read(): Promise<boolean> {
    const { clock, store, kind, contact, follower } = this.options;
    const startedAt = clock.now();
    const read = await store.snapshot(kind, 'newest');
    if (read.isErr()) {
      contact.recordFailure(read.error, startedAt, clock.now());
      return false;
    }
    contact.recordResponse(clock.now());
    follower.receiveCopy(read.value, 'store');
    return true;
  }
}
