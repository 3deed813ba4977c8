import type { UpstreamId } from '@camphorvane/core';
import type { UpstreamError } from '@camphorvane/upstream';
import type { UpstreamWatch } from './ports.ts';

/** Holds back calls to one upstream while it rests. */
export class RestGate {
  private readonly upstream: UpstreamId;

  private readonly watch: UpstreamWatch;

  /**
   * @param upstream - The upstream.
   * @param watch - Knows what the upstream has asked for.
   */
  constructor(upstream: UpstreamId, watch: UpstreamWatch) {
    this.upstream = upstream;
    this.watch = watch;
  }

  /** Gets the error of a call that must not be sent now; undefined where it may be. */
  check(): UpstreamError | undefined {
    if (!this.watch.isResting(this.upstream)) return undefined;
    this.watch.recordWithheld(this.upstream);
    const message = 'not sent: the upstream has asked for rest';
    return { type: 'withheld', dispatched: false, message };
  }

  /** Checks a call that serves no request, and records it where it may be sent. */
  checkControlCall(): UpstreamError | undefined {
    const error = this.check();
    if (error === undefined) this.watch.recordControlCall(this.upstream);
    return error;
  }
}
