import type { Clock, Millis } from '@camphorvane/core';
import type { PlatformError } from '../ObjectStore.ts';
import { describeError } from './describeError.ts';
import type { KindFollowerOptions } from './KindFollowerOptions.ts';
import { StoreContact } from './StoreContact.ts';

/** Outcomes of the calls of one follower, which it records for the host as well. */
export class CallOutcomes {
  private readonly clock: Clock;

  private readonly contact: StoreContact;

  private readonly onStoreState: KindFollowerOptions['onStoreState'];

  private answeredAt: Millis;

  private hasFailed = false;

  /**
   * @param options - The clock, the host's contact with the store and the callback.
   * @param onConnectionLost - Called where a call of the host was lost with its connection.
   */
  constructor(
    options: Pick<KindFollowerOptions, 'clock' | 'contact' | 'onStoreState'>,
    onConnectionLost: () => void,
  ) {
    this.clock = options.clock;
    this.contact = options.contact ?? new StoreContact(options.clock.now(), 0);
    this.contact.onConnectionLost(onConnectionLost);
    this.onStoreState = options.onStoreState;
    this.answeredAt = options.clock.now();
  }

  /** Gets when the store last responded, on the host's monotonic clock. */
  getLastResponseAt(): Millis {
    return this.answeredAt;
  }

  /** Tells whether the last call failed. */
  isUnavailable(): boolean {
    return this.hasFailed;
  }

  /** Records a response. */
  recordResponse(): void {
    const now = this.clock.now();
    const silentMs = Math.round(now - this.answeredAt);
    const wasUnavailable = this.hasFailed;
    this.answeredAt = now;
    this.hasFailed = false;
    this.contact.recordResponse(now);
    if (wasUnavailable) this.onStoreState?.('regained', `no response for ${silentMs} ms`);
  }

  /**
   * Records a call that failed.
   *
   * @param error - How it failed.
   * @param startedAt - When it was made.
   */
  recordFailure(error: PlatformError, startedAt: Millis): void {
    this.contact.recordFailure(error, startedAt, this.clock.now());
    if (!this.hasFailed) this.onStoreState?.('lost', describeError(error));
    this.hasFailed = true;
  }
}
