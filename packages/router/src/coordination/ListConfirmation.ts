import type { Clock, Millis } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { KindFollower, Snapshot, StoreContact, WatchableStore } from '@camphorvane/store';

/** Longest time in milliseconds that a caller waits for a read; the store responds in a third of a second when it is slow. */
const CONFIRM_TIMEOUT_MS: Millis = 500;

/**
 * Milliseconds between the starts of two reads. Many streams may be taken up at once, on all hosts of a large fleet, and the
 * store takes about two thousand reads a second from them together.
 */
const READ_INTERVAL_MS: Millis = 250;

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

  /** The read that begins next, which questions wait for. */
  private next: Promise<boolean> | undefined;

  private startedAt: Millis = -Infinity;

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
    this.next ??= this.startNext();
    return this.next;
  }

  private async startNext(): Promise<boolean> {
    const { clock } = this.options;
    await this.running;
    const waitMs = this.startedAt + READ_INTERVAL_MS - clock.now();
    if (waitMs > 0) await sleep(clock, waitMs);
    this.next = undefined;
    this.startedAt = clock.now();
    this.running = this.read().catch(() => false);
    return this.running;
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
    // A copy that changes nothing must not cut the follower's watch off.
    if (!isSame(follower.getCopy(), read.value)) follower.receiveCopy(read.value, 'store');
    return true;
  }
}

function isSame(known: Snapshot | undefined, { objects }: Snapshot): boolean {
  if (known === undefined) return false;
  const versions = new Map(known.objects.map(({ name, version }) => [name, version]));
  return (
    versions.size === objects.length &&
    objects.every(({ name, version }) => versions.get(name) === version)
  );
}
