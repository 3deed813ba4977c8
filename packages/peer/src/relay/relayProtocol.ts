import type { Millis } from '@camphorvane/core';

/** Path of the requests that hosts pass on to each other. */
export const RELAY_PATH = '/relay';

/** Path of streams with a binding; a host that knows no bindings refuses it. */
export const BOUND_RELAY_PATH = '/relay/bound';

/** Milliseconds between two signs that a peer still works on a request. */
export const ALIVE_INTERVAL_MS: Millis = 500;
