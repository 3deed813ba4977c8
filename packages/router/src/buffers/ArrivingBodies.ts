import type { Millis } from '@camphorvane/core';

/** Milliseconds of each window in which the progress of a body is counted. */
const WINDOW_MS: Millis = 1_000;

/** Bytes in that time below which a body makes way for others. */
const MIN_WINDOW_BYTES = 4_096;

/** A body of a caller that is being read. */
export interface ArrivingBody {
  /** Records bytes that have arrived. */
  recordProgress(bytes: number, now: Millis): void;

  /** Records that no more are expected; idempotent. */
  end(): void;
}

interface Progress {
  readonly evict: () => void;
  windowFrom: Millis;
  windowBytes: number;
  /** Whether too little arrived in the window before. */
  wasSlow: boolean;
}

/**
 * Knows which bodies of callers arrive slowly or not at all, so that these give up their room where others need it.
 *
 * Guards against callers that stop short of the end of large bodies: until an idle timeout cut them off there would be no
 * room for anybody else.
 */
export class ArrivingBodies {
  private readonly bodies = new Set<Progress>();

  /**
   * Adds a body.
   *
   * @param now - Present time.
   * @param evict - Ends the reading of the body and returns its room at once.
   * @returns The body.
   */
  add(now: Millis, evict: () => void): ArrivingBody {
    const progress: Progress = { evict, windowFrom: now, windowBytes: 0, wasSlow: false };
    this.bodies.add(progress);
    return {
      recordProgress: (bytes, at) => {
        if (at - progress.windowFrom >= WINDOW_MS) {
          progress.wasSlow = progress.windowBytes < MIN_WINDOW_BYTES;
          Object.assign(progress, { windowFrom: at, windowBytes: 0 });
        }
        progress.windowBytes += bytes;
      },
      end: () => this.bodies.delete(progress),
    };
  }

  /**
   * Evicts the slow body that has been so for longest.
   *
   * @param now - Present time.
   * @returns Whether there was one.
   */
  evictSlowest(now: Millis): boolean {
    const slow = [...this.bodies].filter((body) => isSlow(body, now));
    if (slow.length === 0) return false;
    const slowest = slow.reduce((a, b) => (b.windowFrom < a.windowFrom ? b : a));
    this.bodies.delete(slowest);
    slowest.evict();
    return true;
  }
}

function isSlow({ windowFrom, windowBytes, wasSlow }: Progress, now: Millis): boolean {
  return wasSlow || (now - windowFrom >= WINDOW_MS && windowBytes < MIN_WINDOW_BYTES);
}
