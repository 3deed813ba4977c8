import type { CancelTimer, Clock, Millis } from '@camphorvane/core';

/** Why a call was aborted locally: by its caller, or by the timeout (`silent`). */
export type AbortReason = 'caller' | 'silent';

/**
 * Aborts a call that makes no progress within a timeout.
 *
 * A middlebox that drops the state of a connection leaves both ends believing it open: nothing arrives,
 * not even an error, and only a timeout detects it. Progress resets the timeout; when it expires, the
 * signal is aborted and the call ends as `silent`.
 */
export class ProgressDeadline {
  private readonly clock: Clock;

  private timeoutMs: Millis;

  private readonly controller = new AbortController();

  private readonly callerSignal: AbortSignal;

  private readonly onCallerAbort: () => void;

  private cancelTimer: CancelTimer = () => undefined;

  private cancelTotal: CancelTimer = () => undefined;

  private reason: AbortReason | undefined;

  /**
   * @param clock - Times the call.
   * @param timeoutMs - Milliseconds without progress after which the call is aborted.
   * @param callerSignal - Aborts the call too.
   */
  constructor(clock: Clock, timeoutMs: Millis, callerSignal: AbortSignal) {
    this.clock = clock;
    this.timeoutMs = timeoutMs;
    this.callerSignal = callerSignal;
    this.onCallerAbort = () => this.abortFor('caller');
    callerSignal.addEventListener('abort', this.onCallerAbort, { once: true });
    if (callerSignal.aborted) this.abortFor('caller');
    this.recordProgress();
  }

  /** Gets the signal that aborts the call. */
  getSignal(): AbortSignal {
    return this.controller.signal;
  }

  /** Gets why the call was aborted locally; undefined if it was not. */
  getAbortReason(): AbortReason | undefined {
    return this.reason;
  }

  /** Resets the timeout, because data arrived. */
  recordProgress(): void {
    this.cancelTimer();
    if (this.reason !== undefined) return;
    this.cancelTimer = this.clock.after(this.timeoutMs, () => this.abortFor('silent'));
  }

  /** Sets the timeout and resets it. */
  setTimeoutMs(timeoutMs: Millis): void {
    this.timeoutMs = timeoutMs;
    this.recordProgress();
  }

  /**
   * Bounds the whole call, whatever progress it makes.
   *
   * @param totalMs - Milliseconds from now; undefined for no bound.
   */
  setTotalMs(totalMs: Millis | undefined): void {
    this.cancelTotal();
    if (totalMs === undefined || this.reason !== undefined) return;
    this.cancelTotal = this.clock.after(totalMs, () => this.abortFor('silent'));
  }

  /** Cancels the timers and removes the listener; does not abort the signal. */
  close(): void {
    this.cancelTimer();
    this.cancelTotal();
    this.callerSignal.removeEventListener('abort', this.onCallerAbort);
  }

  private abortFor(reason: AbortReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.cancelTimer();
    this.cancelTotal();
    this.controller.abort();
  }
}
