import type { Clock, HostId, Millis, UpstreamId } from '@camphorvane/core';

/** One command that a host sent towards an upstream. */
export interface Dispatch {
  readonly host: HostId;
  readonly upstream: UpstreamId;
  readonly text: string;
  readonly at: Millis;
}

/** Notes which host sent what towards upstreams, and when. */
export class DispatchLog {
  /** All dispatches of all hosts, in order of time. */
  readonly all: Dispatch[];

  /**
   * @param host - The host whose dispatches are noted here.
   * @param clock - The world's clock.
   * @param all - Shared by the logs of all hosts.
   */
  constructor(
    private readonly host: HostId,
    private readonly clock: Clock,
    all: Dispatch[],
  ) {
    this.all = all;
  }

  /** Notes one dispatch. */
  dispatched(upstream: UpstreamId, text: string): void {
    this.all.push({ host: this.host, upstream, text, at: this.clock.now() });
  }
}
