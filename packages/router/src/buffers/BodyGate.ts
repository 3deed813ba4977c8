import type { Buffers, Reservation, UpstreamId } from '@camphorvane/core';
import { UNCOUNTED_RESERVATION } from '@camphorvane/core';
import type { UpstreamError } from '@camphorvane/upstream';

/** Bounds the sum of the request bodies that one upstream holds; upstreams crash if it exceeds their memory. */
export class BodyGate {
  private readonly upstream: UpstreamId;

  private readonly buffers: Buffers | undefined;

  /**
   * @param upstream - The upstream.
   * @param buffers - Buffers of the host; absent where nothing is bounded.
   */
  constructor(upstream: UpstreamId, buffers: Buffers | undefined) {
    this.upstream = upstream;
    this.buffers = buffers;
  }

  /**
   * Reserves room for a body until the upstream has answered.
   *
   * @param attempt - Id of the attempt.
   * @param bytes - Size of the body.
   * @returns The reservation, or the error of a call that must not be sent now.
   */
  enter(attempt: string, bytes: number): Reservation | UpstreamError {
    if (this.buffers === undefined) return UNCOUNTED_RESERVATION;
    const owner = { owner: this.upstream, request: attempt };
    return (
      this.buffers.tryReserve('sent', owner, bytes) ?? {
        type: 'withheld',
        dispatched: false,
        isFull: true,
        message: 'not sent: the upstream holds as many bytes of requests as allowed',
      }
    );
  }
}
