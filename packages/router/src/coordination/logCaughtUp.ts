import type { Millis } from '@camphorvane/core';
import type { CopySource } from '@camphorvane/store';
import { eventLog } from '../observe/EventLog.ts';

/** Milliseconds behind the peers from which on a copy that has caught up is logged. */
const LOGGED_LAG_MS: Millis = 500;

const log = eventLog('deployment');

/**
 * Logs that a copy has a version that peers had reported, if it lacked it for long.
 *
 * @param kind - Kind of the copy's objects.
 * @param behindMs - How long it lacked the version, in milliseconds.
 * @param source - Where it got the version from.
 */
export function logCaughtUp(kind: string, behindMs: Millis, source: CopySource): void {
  if (behindMs < LOGGED_LAG_MS) return;
  log('caught_up', { kind, behindMs: Math.round(behindMs), source });
}
