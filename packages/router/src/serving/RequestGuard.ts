import type { UpstreamId } from '@camphorvane/core';
import type { UpstreamError } from '@camphorvane/upstream';

/** Keeps the further attempts of one request away from upstreams once it seems to crash them. */
export interface RequestGuard {
  /** Records a failure of an upstream while it ran the request; see `CrashGuard.recordFailure`. */
  recordFailure(upstream: UpstreamId, error: UpstreamError): void;

  /** Tells whether no further attempt may be sent to an upstream. */
  isBlocked(): boolean;
}
