import type { CancelTimer, Clock, Millis } from '@camphorvane/core';

/** What a watch is made of. */
export interface StallWatchOptions {
  readonly clock: Clock;
  /** Milliseconds without an event after which the engine is asked whether it is there. */
  readonly silentMs: Millis;
  /** Asks the engine; resolves to false where it gives no answer, or another one has its address. */
  readonly isThere: () => Promise<boolean>;
  /** Called once, where the engine is gone. */
  readonly onGone: () => void;
}

/**
 * Watches a stream for an engine that has gone without closing the connection.
 *
 * Such a stream would hold its caller until the caller gives up, although another engine could go on. A
 * stream also pauses while its engine reads other prompts or has preempted it, so silence alone is no
 * sign: the engine is asked.
 */
export class StallWatch {
  private readonly options: StallWatchOptions;

  private cancelTimer: CancelTimer = () => undefined;

  private isClosed = false;

  /** @param options - What it is made of. */
  constructor(options: StallWatchOptions) {
    this.options = options;
    this.progress();
  }

  /** Notes that an event arrived. */
  progress(): void {
    const { clock, silentMs } = this.options;
    this.cancelTimer();
    if (this.isClosed) return;
    this.cancelTimer = clock.after(silentMs, () => {
      void this.ask();
    });
  }

  /** Ends the watch. */
  close(): void {
    this.isClosed = true;
    this.cancelTimer();
  }

  private async ask(): Promise<void> {
    const isThere = await this.options.isThere();
    if (this.isClosed) return;
    if (isThere) {
      this.progress();
      return;
    }
    this.close();
    this.options.onGone();
  }
}
