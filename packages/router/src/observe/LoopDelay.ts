import type { Clock, Millis, RequestIntake } from '@camphorvane/core';
import { runLoop, sleep } from '@camphorvane/core';
import { eventLog } from './EventLog.ts';
import type { Metrics } from './Metrics.ts';

/** Milliseconds between two measurements. */
const PERIOD_MS: Millis = 100;

/** Delay in milliseconds from which on the event loop counts as late; callers who leave are then noticed late. */
const LATE_MS: Millis = 250;

/** Milliseconds without a late measurement after which the event loop counts as on time again. */
const RECOVERY_MS: Millis = 2_000;

const log = eventLog('host');

/** Measures how late timers fire on this host, which is how late it notices anything else. */
export class LoopDelay {
  private readonly clock: Clock;

  private readonly metrics: Metrics;

  private readonly intake: RequestIntake | undefined;

  private worstMs: Millis = 0;

  private lateAt: Millis | undefined;

  /**
   * @param clock - Times the measurements.
   * @param metrics - Receives the gauges.
   * @param intake - Is told of each measurement; absent where no requests are read.
   */
  constructor(clock: Clock, metrics: Metrics, intake?: RequestIntake) {
    this.clock = clock;
    this.metrics = metrics;
    this.intake = intake;
  }

  /** Measures until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return runLoop({ place: 'observe.loop_delay', clock: this.clock, signal }, async () => {
      const dueAt = this.clock.now() + PERIOD_MS;
      this.intake?.recordTick(PERIOD_MS);
      await sleep(this.clock, PERIOD_MS, signal);
      this.record(Math.max(0, this.clock.now() - dueAt));
    });
  }

  private record(delayMs: Millis): void {
    const now = this.clock.now();
    this.metrics.gauge('host.loop_delay', Math.round(delayMs));
    if (this.intake !== undefined)
      this.metrics.gauge('host.read_lag', Math.round(this.intake.getLagMs()));
    if (delayMs >= LATE_MS) {
      if (this.lateAt === undefined) log('loop_late', { delayMs: Math.round(delayMs) });
      this.lateAt = now;
      this.worstMs = Math.max(this.worstMs, delayMs);
    } else if (this.lateAt !== undefined && now - this.lateAt >= RECOVERY_MS) {
      log('loop_on_time', { worstMs: Math.round(this.worstMs) });
      this.lateAt = undefined;
      this.worstMs = 0;
    }
  }
}
