import type { UpstreamId } from '@camphorvane/core';
import type { UpstreamError } from '@camphorvane/upstream';

/** Keeps one request away from upstreams while it is quarantined for the crashes that it has caused. */
export interface RequestGuard {
  /** Records a failure of an upstream while it ran the request; see `CrashGuard.recordFailure`. */
  recordFailure(upstream: UpstreamId, error: UpstreamError): void;

  /** Tells whether the request may not be sent to an upstream any more. */
  isBlocked(): boolean;
}
