import { SystemClock } from '@camphorvane/core';
import {
  FleetCredential,
  GrpcPeerLink,
  type GrpcPeerLinkOptions,
  GrpcPeerServer,
  type GrpcPeerServerOptions,
  PEER_PROTOCOL,
  type PeerAddress,
  type PeerHandler,
  type PeerIdentity,
  type PeerRequest,
} from '@camphorvane/peer';
import { valueOf } from './results.ts';

export const SECRET = 'secret of the test fleet';

export function identity(host: string, protocol = PEER_PROTOCOL): PeerIdentity {
  return { host, incarnation: `${host}-1`, protocol };
}

export interface GrpcPair {
  readonly server: GrpcPeerServer;
  readonly link: GrpcPeerLink;
  readonly to: PeerAddress;
  /** Requests that the handler received. */
  readonly seen: PeerRequest[];
  stop(): Promise<void>;
}

export interface GrpcPairOptions {
  readonly server?: Partial<GrpcPeerServerOptions>;
  readonly link?: Partial<GrpcPeerLinkOptions>;
  readonly handler?: PeerHandler;
  /** Gets the address that the link connects to in place of the server's, given the server's port. */
  readonly through?: (port: number) => Promise<string>;
}

/** Starts the server of host `b` on a free loopback port, and the link by which host `a` calls it. */
export async function startPair(options: GrpcPairOptions = {}): Promise<GrpcPair> {
  const clock = new SystemClock();
  const credential = new FleetCredential(SECRET);
  const seen: PeerRequest[] = [];
  const handler: PeerHandler = {
    answer: (from, req) => {
      seen.push(req);
      return options.handler?.answer(from, req) ?? Promise.resolve({ type: 'ok' });
    },
  };
  const base = { clock, credential, handler };
  const server = new GrpcPeerServer({ ...base, self: identity('b'), ...options.server });
  const port = valueOf(await server.start('127.0.0.1:0'));
  const link = new GrpcPeerLink({ clock, credential, self: identity('a'), ...options.link });
  const address = (await options.through?.(port)) ?? `127.0.0.1:${port}`;
  const stop = async (): Promise<void> => {
    link.close();
    await server.stop();
  };
  return { server, link, to: { host: 'b', address }, seen, stop };
}
