import type { CancelTimer, Clock, Millis } from '@camphorvane/core';

/** Why a call was ended from this side. */
export type StopReason = 'caller' | 'silent';

/**
 * Ends a call that makes no progress.
 *
 * A connection can go silent for good while its two ends believe it to be open, because something
 * between them has lost track of it. Nothing arrives then, not even an error, so the only sign is
 * time without progress. Each sign of progress moves the deadline; when it passes, the signal is
 * aborted and the call ends as `silent`.
 */
export class ProgressDeadline {
  private readonly clock: Clock;

  private span: Millis;

  private readonly abort = new AbortController();

  private readonly outer: AbortSignal;

  private readonly onOuterAbort: () => void;

  private cancelTimer: CancelTimer = () => undefined;

  private reason: StopReason | undefined;

  /**
   * @param clock - Measures the time without progress.
   * @param span - Milliseconds without progress after which the call ends.
   * @param outer - The caller's own signal; its abort ends the call too.
   */
  constructor(clock: Clock, span: Millis, outer: AbortSignal) {
    this.clock = clock;
    this.span = span;
    this.outer = outer;
    this.onOuterAbort = () => this.stop('caller');
    outer.addEventListener('abort', this.onOuterAbort, { once: true });
    if (outer.aborted) this.stop('caller');
    this.progress();
  }

  /** Gets the signal to give to the call. */
  signal(): AbortSignal {
    return this.abort.signal;
  }

  /** Gets why the call was ended from this side, if it was. */
  stopReason(): StopReason | undefined {
    return this.reason;
  }

  /** Moves the deadline, because something arrived. */
  progress(): void {
    this.cancelTimer();
    if (this.reason !== undefined) return;
    this.cancelTimer = this.clock.after(this.span, () => this.stop('silent'));
  }

  /** Changes the time allowed without progress, and counts this as progress. */
  allow(span: Millis): void {
    this.span = span;
    this.progress();
  }

  /** Frees the timer and the listener; the signal is left as it is. */
  close(): void {
    this.cancelTimer();
    this.outer.removeEventListener('abort', this.onOuterAbort);
  }

  private stop(reason: StopReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.cancelTimer();
    this.abort.abort();
  }
}
