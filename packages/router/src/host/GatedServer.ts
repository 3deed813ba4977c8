import type { UpstreamId } from '@camphorvane/core';
import type {
  PlainServer,
  ServiceCall,
  UpstreamError,
  UpstreamResponse,
} from '@camphorvane/upstream';
import { errAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { BodyGate } from '../buffers/BodyGate.ts';
import type { RestGate } from './RestGate.ts';

/** The client of a server of a plain service, which sends nothing while the server rests or holds too much. */
export class GatedServer implements PlainServer {
  private readonly server: PlainServer;

  private readonly gate: RestGate;

  private readonly bodies: BodyGate;

  /**
   * @param server - The client.
   * @param gate - Holds back its calls.
   * @param bodies - Bounds the bodies that the server holds.
   */
  constructor(server: PlainServer, gate: RestGate, bodies: BodyGate) {
    this.server = server;
    this.gate = gate;
    this.bodies = bodies;
  }

  /** {@inheritDoc PlainServer.id} */
  get id(): UpstreamId {
    return this.server.id;
  }

  /** {@inheritDoc PlainServer.call} */
  call(call: ServiceCall, signal: AbortSignal): ResultAsync<UpstreamResponse, UpstreamError> {
    const withheld = this.gate.check();
    if (withheld !== undefined) return errAsync(withheld);
    const sent = this.bodies.enter(call.attempt, call.body.length);
    if ('type' in sent) return errAsync(sent);
    const release = (): void => sent.release();
    const recordFailure = this.gate.onFailure('plain');
    return this.server.call(call, signal).andTee(release).orTee(release).orTee(recordFailure);
  }
}
