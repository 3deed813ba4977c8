import type { Millis, WorkClass } from '@camphorvane/core';

/**
 * Long-poll period by class: milliseconds after which a coordinator answers that a request still waits.
 *
 * A coordinator that sends no answer for longer has timed out. For lookups this must be detected well
 * within the target for the first token; for the other classes fewer messages matter more.
 */
export const LONG_POLL_MS: Readonly<Record<WorkClass, Millis>> = {
  lookup: 200,
  certificate: 500,
  summary: 2_000,
};
