import type { Millis, WorkClass } from '@camphorvane/core';

/**
 * Milliseconds after which a steward tells a holder that its request still waits, by class.
 *
 * A steward that says nothing for longer is taken for silent. For lookups this has to be found out
 * well within the target for the first token; for the others fewer messages count more.
 */
export const WAITING_ANSWER_MS: Readonly<Record<WorkClass, Millis>> = {
  lookup: 200,
  certificate: 500,
  summary: 2_000,
};
