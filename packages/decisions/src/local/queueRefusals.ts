import type { Millis, Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import type { QueuedRequest } from './queuedRequests.ts';

/** Milliseconds after which a refused caller may retry: the time to work off a short burst. */
export const RETRY_AFTER_MS: Millis = 1_000;

/** Refusal of a request that finds the queue full. */
export const QUEUE_FULL = {
  code: 'queue_full',
  message: 'Too many requests wait for this model.',
} as const;

/** Refusal of a request that no engine took in time. */
export const TIMED_OUT = {
  code: 'target_missed',
  message: 'No engine became free in time.',
} as const;

/** Options of the admission to a queue of streams. */
export const ADMISSION = {
  /** A response takes some seconds; in a shorter time hardly any stream ends. */
  drainDecayMs: 3_000,
  message: 'No engine is expected to become free in time.',
  unknownRetryAfterMs: RETRY_AFTER_MS,
};

/** Refusal of a request for which no engine opens in time. */
export const NO_ENGINE_OPENS = {
  text: 'The engines of this model take no more requests in time.',
  retryAfterMs: RETRY_AFTER_MS,
};

/** Tells whether a request goes on with a stream that engines of one version only may run. */
export function isBound({ binding }: QueuedRequest): boolean {
  return binding !== undefined && binding.type !== 'free';
}

/** Gets the refusal of a stream that no engine can go on with; its caller has to begin anew. */
export function versionGone(): Refusal {
  const text = 'No engine of the version that began this stream is left; begin it anew.';
  return notRun('stream_version_gone', text);
}

/** Gets the refusal of a request whose pool has no engine. */
export function noEngineKnown(): Refusal {
  return notRun('no_capacity', 'No engine of this model is known.', RETRY_AFTER_MS);
}
