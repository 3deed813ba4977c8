import type { Millis } from '@camphorvane/core';

/** Weight of the newest sample in the mean; about the last five count. */
const SAMPLE_WEIGHT = 0.2;

/** Milliseconds that a consumer that reads at once may take for an event. */
const PROMPT_READ_MS: Millis = 5;

/** Measures how fast an engine sends the events of one stream, apart from how fast its caller reads. */
export class EventSpeed {
  private lastAt: Millis | undefined;

  private meanMs: Millis | undefined;

  /** Records that an event arrived. */
  record(now: Millis): void {
    if (this.lastAt !== undefined) {
      const sample = now - this.lastAt;
      const mean = this.meanMs ?? sample;
      this.meanMs = mean + (sample - mean) * SAMPLE_WEIGHT;
    }
    this.lastAt = now;
  }

  /** Records how long reading waited for the consumer; the time since the last event then says nothing. */
  recordWait(waitedMs: Millis): void {
    if (waitedMs > PROMPT_READ_MS) this.lastAt = undefined;
  }

  /** Discards what was measured, since another engine sends the stream. */
  reset(): void {
    this.lastAt = undefined;
    this.meanMs = undefined;
  }

  /** Gets the mean time between two events; undefined while not measured. */
  getMeanMs(): Millis | undefined {
    return this.meanMs;
  }
}
