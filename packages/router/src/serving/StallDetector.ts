import type { CancelTimer, Clock, Millis } from '@camphorvane/core';
import { runInBackground } from '@camphorvane/core';

/** Options of a `StallDetector`. */
export interface StallDetectorOptions {
  readonly clock: Clock;
  /** Milliseconds without an event after which the engine is probed. */
  readonly timeoutMs: Millis;
  /** Probes the engine; false where it does not answer, or another engine has taken over its address. */
  readonly probe: () => Promise<boolean>;
  /** Called once when a probe fails. */
  readonly onEngineGone: () => void;
}

/**
 * Detects that the engine of a stream disappeared without closing the connection.
 *
 * Without it the caller would wait until its own timeout, although another engine could resume the stream.
 * A stream also pauses while its engine prefills other prompts or has preempted it, so silence alone is no
 * failure: the engine is probed.
 */
export class StallDetector {
  private readonly options: StallDetectorOptions;

  private cancelTimer: CancelTimer = () => undefined;

  private isClosed = false;

  /** @param options - Clock, timeout, probe and callback. */
  constructor(options: StallDetectorOptions) {
    this.options = options;
    this.recordProgress();
  }

  /** Restarts the timeout when an event arrives. */
  recordProgress(): void {
    const { clock, timeoutMs } = this.options;
    this.cancelTimer();
    if (this.isClosed) return;
    this.cancelTimer = clock.after(timeoutMs, () => {
      runInBackground('stall.probe', () => this.probe());
    });
  }

  /** Stops the detector. */
  close(): void {
    this.isClosed = true;
    this.cancelTimer();
  }

  private async probe(): Promise<void> {
    const isThere = await this.options.probe();
    if (this.isClosed) return;
    if (isThere) {
      this.recordProgress();
      return;
    }
    this.close();
    this.options.onEngineGone();
  }
}
