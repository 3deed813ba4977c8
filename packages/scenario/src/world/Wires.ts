import { sleep } from '@camphorvane/core';
import type { Clock, HostId, Millis } from '@camphorvane/core';

/** One connection of a host that is open. */
export interface OpenWire {
  readonly host: HostId;
  readonly end: string;
  /** True once nothing passes on this connection for good. */
  silent: boolean;
}

/**
 * What connects hosts with upstreams and the platform: connections that can be cut, which hits new
 * ones as well, or go silent, which hits open ones alone.
 */
export class Wires {
  private readonly open = new Set<OpenWire>();

  private readonly cuts = new Set<string>();

  /**
   * @param clock - The world's clock.
   * @param latencyMs - Time of one way.
   */
  constructor(
    private readonly clock: Clock,
    private readonly latencyMs: Millis,
  ) {}

  /** Opens a connection for one exchange. */
  connect(host: HostId, end: string): OpenWire {
    const wire: OpenWire = { host, end, silent: false };
    this.open.add(wire);
    return wire;
  }

  /** Closes a connection. */
  close(wire: OpenWire): void {
    this.open.delete(wire);
  }

  /** Cuts a host off from one end; what is under way does not arrive either. */
  cut(host: HostId, end: string): void {
    this.cuts.add(`${host}|${end}`);
  }

  /** Undoes a cut. */
  heal(host: HostId, end: string): void {
    this.cuts.delete(`${host}|${end}`);
  }

  /** Lets all open connections between a host and an end go silent for good. */
  silence(host: HostId, end: string): void {
    [...this.open]
      .filter((wire) => wire.host === host && wire.end === end)
      .forEach((wire) => {
        // A connection's state is the one thing that changes after it was opened.
        // eslint-disable-next-line no-param-reassign
        wire.silent = true;
      });
  }

  /** Tells whether anything passes on a connection now. */
  passes(wire: OpenWire): boolean {
    return !wire.silent && !this.cuts.has(`${wire.host}|${wire.end}`);
  }

  /** Carries one message; resolves to false where it got lost. */
  async carry(wire: OpenWire): Promise<boolean> {
    await sleep(this.clock, this.latencyMs);
    return this.passes(wire);
  }
}
