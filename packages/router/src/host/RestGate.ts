import type { UpstreamId } from '@camphorvane/core';
import type { UpstreamError } from '@camphorvane/upstream';
import type { UpstreamCallKind, UpstreamWatch } from './ports.ts';

/** Holds back calls to one upstream while it rests, and records those that fail by a bound. */
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

  /**
   * Records how a call has failed.
   *
   * @param call - The kind of call.
   * @returns A function that takes its error.
   */
  onFailure(call: UpstreamCallKind): (error: UpstreamError) => void {
    return (error) => {
      if (error.type !== 'broken' || error.overrun === undefined) return;
      this.watch.recordOverrun(this.upstream, call, error.overrun);
    };
  }
}
