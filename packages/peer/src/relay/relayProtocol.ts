import type { Millis } from '@camphorvane/core';

/** Path of the requests that hosts pass on to each other. */
export const RELAY_PATH = '/relay';

/** Milliseconds between two signs that a peer still works on a request. */
export const ALIVE_INTERVAL_MS: Millis = 500;
