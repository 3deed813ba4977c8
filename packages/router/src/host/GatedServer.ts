import type { UpstreamId } from '@camphorvane/core';
import type {
  PlainServer,
  ServiceCall,
  UpstreamError,
  UpstreamResponse,
} from '@camphorvane/upstream';
import { errAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { RestGate } from './RestGate.ts';

/** The client of a server of a plain service, which sends nothing while the server rests. */
export class GatedServer implements PlainServer {
  private readonly server: PlainServer;

  private readonly gate: RestGate;

  /**
   * @param server - The client.
   * @param gate - Holds back its calls.
   */
  constructor(server: PlainServer, gate: RestGate) {
    this.server = server;
    this.gate = gate;
  }

  /** {@inheritDoc PlainServer.id} */
  get id(): UpstreamId {
    return this.server.id;
  }

  /** {@inheritDoc PlainServer.call} */
  call(call: ServiceCall, signal: AbortSignal): ResultAsync<UpstreamResponse, UpstreamError> {
    const withheld = this.gate.check();
    return withheld === undefined ? this.server.call(call, signal) : errAsync(withheld);
  }
}
