import type { Clock } from '@camphorvane/core';
import { RelayExchange } from './RelayExchange.ts';
import type { RelayedRequest, RelayEvent, RelayFailure, RelayLink } from './RelayLink.ts';

/** Passes requests on to peers over HTTP, each on a connection of its own, which closes to cancel it. */
export class HttpRelayLink implements RelayLink {
  private readonly clock: Clock;

  private readonly ip: string;

  /**
   * @param clock - Clock for timeouts.
   * @param ip - IP address of this host, by which peers recognise it.
   */
  constructor(clock: Clock, ip: string) {
    this.clock = clock;
    this.ip = ip;
  }

  /** {@inheritDoc RelayLink.relay} */
  async *relay(
    address: string,
    relayed: RelayedRequest,
    signal: AbortSignal,
  ): AsyncGenerator<RelayEvent | RelayFailure> {
    const exchange = new RelayExchange(this.clock, this.ip, address, relayed, signal);
    try {
      yield* exchange.events();
    } finally {
      exchange.close();
    }
  }
}
