import type { Clock, HostId } from '@camphorvane/core';
import { runInBackground } from '@camphorvane/core';
import {
  type Metadata,
  Server,
  ServerCredentials,
  type sendUnaryData,
  type ServerUnaryCall,
  status,
} from '@grpc/grpc-js';
import { ResultAsync } from 'neverthrow';
import {
  type AskRequest,
  type AskResponse,
  type PeerServer,
  PeerService,
} from '../generated/peer.ts';
import type { PeerHandler, PeerSender } from '../PeerLink.ts';
import type { FleetCredential } from './FleetCredential.ts';
import { MAX_MESSAGE_BYTES } from './GrpcPeerLink.ts';
import { isProtocolCompatible, PEER_METADATA, type PeerIdentity } from './peerProtocol.ts';
import type { PeerTls } from './PeerTls.ts';
import { requestFromWire } from './requestMapping.ts';
import { responseToWire } from './responseMapping.ts';

/** Maximum number of calls in flight from one peer; further calls are rejected at once. */
const DEFAULT_MAX_IN_FLIGHT = 1024;

/** Time that running calls have to finish after the server stops accepting new ones. */
const STOP_GRACE_MS = 1000;

/** Options of a {@link GrpcPeerServer}. */
export interface GrpcPeerServerOptions {
  readonly clock: Clock;
  readonly self: PeerIdentity;
  readonly credential: FleetCredential;
  /** Mutual TLS; without it, plain TCP with the fleet credential alone. */
  readonly tls?: PeerTls;
  readonly handler: PeerHandler;
  readonly maxInFlightPerPeer?: number;
}

/** The gRPC status of a rejected call. */
interface Rejection {
  readonly code: status;
  readonly details: string;
}

/** Counters of a server since its start. */
export interface PeerServerDump {
  readonly answered: number;
  readonly rejected: number;
  readonly inFlight: Readonly<Record<HostId, number>>;
}

function metadataValue(metadata: Metadata, name: string): string {
  return String(metadata.get(name)[0] ?? '');
}

/** Serves the requests of other hosts over gRPC; callers outside the fleet are rejected. */
export class GrpcPeerServer {
  private readonly options: GrpcPeerServerOptions;

  private readonly server: Server;

  private readonly inFlight = new Map<HostId, number>();

  private answered = 0;

  private rejected = 0;

  constructor(options: GrpcPeerServerOptions) {
    this.options = options;
    this.server = new Server({ 'grpc.max_receive_message_length': MAX_MESSAGE_BYTES });
    this.server.addService(PeerService, this.implementation());
  }

  /**
   * Starts to listen.
   *
   * @param address - `ip:port`; port 0 selects a free port.
   * @returns The port, or the error where the address can't be bound.
   */
  start(address: string): ResultAsync<number, Error> {
    const credentials = this.options.tls?.serverCredentials() ?? ServerCredentials.createInsecure();
    const bound = new Promise<number>((resolve, reject) => {
      this.server.bindAsync(address, credentials, (error, port) => {
        if (error === null) resolve(port);
        else reject(error);
      });
    });
    return ResultAsync.fromPromise(bound, (error) => error as Error);
  }

  /**
   * Stops the server; calls still running after {@link STOP_GRACE_MS} are cancelled.
   *
   * @returns A promise that resolves when the port is free.
   */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.options.clock.after(STOP_GRACE_MS, () => this.server.forceShutdown());
      this.server.tryShutdown(() => {
        cancel();
        resolve();
      });
    });
  }

  /** Gets the counters for the state dump. */
  dump(): PeerServerDump {
    const { answered, rejected } = this;
    return { answered, rejected, inFlight: Object.fromEntries(this.inFlight) };
  }

  private implementation(): PeerServer {
    return {
      ask: (call, callback) => {
        runInBackground('peer.ask', () => this.ask(call, callback));
      },
      probe: (call, callback) => {
        const sender = this.authenticate(call.metadata);
        if ('code' in sender) callback(sender);
        else callback(null, {});
      },
    };
  }

  private async ask(
    call: ServerUnaryCall<AskRequest, AskResponse>,
    callback: sendUnaryData<AskResponse>,
  ): Promise<void> {
    const sender = this.admit(call.metadata);
    if ('code' in sender) {
      this.rejected += 1;
      callback(sender);
      return;
    }
    this.count(sender.host, 1);
    await this.answer(sender, call.request, callback);
    this.count(sender.host, -1);
  }

  private async answer(
    sender: PeerSender,
    msg: AskRequest,
    callback: sendUnaryData<AskResponse>,
  ): Promise<void> {
    try {
      const req = requestFromWire(msg);
      if (req === undefined) {
        callback({ code: status.UNIMPLEMENTED, details: 'unknown request type' });
        return;
      }
      const res = await this.options.handler.answer(sender, req);
      this.answered += 1;
      callback(null, responseToWire(res));
    } catch (error) {
      // A handler that throws, or a message that can't be decoded, must end the call: otherwise the
      // caller would wait for its whole timeout and count this host as failed.
      callback({ code: status.INTERNAL, details: (error as Error).message });
    }
  }

  private admit(metadata: Metadata): PeerSender | Rejection {
    const sender = this.authenticate(metadata);
    if ('code' in sender) return sender;
    // A peer in a retry storm must not exhaust the memory of this host.
    const limit = this.options.maxInFlightPerPeer ?? DEFAULT_MAX_IN_FLIGHT;
    if ((this.inFlight.get(sender.host) ?? 0) < limit) return sender;
    return { code: status.RESOURCE_EXHAUSTED, details: 'too many calls in flight from this peer' };
  }

  private authenticate(metadata: Metadata): PeerSender | Rejection {
    const { self, credential } = this.options;
    const sender: PeerSender = {
      host: metadataValue(metadata, PEER_METADATA.host),
      incarnation: metadataValue(metadata, PEER_METADATA.incarnation),
      protocol: Number(metadataValue(metadata, PEER_METADATA.protocol)),
    };
    const token = metadataValue(metadata, PEER_METADATA.token);
    if (!credential.verifyToken(token, sender, self.host)) {
      return { code: status.UNAUTHENTICATED, details: 'not a host of this fleet' };
    }
    if (isProtocolCompatible(self.protocol, sender.protocol)) return sender;
    const details = `protocol version ${sender.protocol} is incompatible with version ${self.protocol}`;
    return { code: status.FAILED_PRECONDITION, details };
  }

  private count(host: HostId, change: number): void {
    const next = (this.inFlight.get(host) ?? 0) + change;
    if (next === 0) this.inFlight.delete(host);
    else this.inFlight.set(host, next);
  }
}
