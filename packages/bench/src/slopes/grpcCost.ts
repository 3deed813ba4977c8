import { createServer, connect } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { SystemClock } from '@camphorvane/core';
import type { PeerRequest, PeerResponse } from '@camphorvane/peer';
import {
  FleetCredential,
  GrpcPeerLink,
  GrpcPeerServer,
  PEER_PROTOCOL,
  requestBytes,
  responseBytes,
} from '@camphorvane/peer';

/** What one question over gRPC costs. */
export interface GrpcCost {
  /** Bytes of question and answer as messages. */
  readonly messageBytes: number;
  /** Bytes of both on the connection. */
  readonly wireBytes: number;
  /** Processor time of both ends together, in milliseconds. */
  readonly cpuMs: number;
}

const CALLS = 2_000;
const WARM_UP_CALLS = 500;
const TIMEOUT_MS = 5_000;

/** A relay that counts the bytes that pass in both directions. */
async function countingRelay(
  target: number,
): Promise<{ readonly server: Server; readonly port: number; readonly bytes: () => number }> {
  const state = { bytes: 0 };
  const server = createServer((near) => {
    const far = connect(target, '127.0.0.1');
    const count = (chunk: Buffer): void => {
      state.bytes += chunk.length;
    };
    // Held back by Nagle's algorithm, each small question would take 40 ms.
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.on('data', count).pipe(far);
    far.on('data', count).pipe(near);
    near.on('error', () => far.destroy());
    far.on('error', () => near.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, port: (server.address() as AddressInfo).port, bytes: () => state.bytes };
}

/**
 * Measures questions with a digest list of a given length, one after the other on loopback.
 *
 * @param reports - Entries of the question, which set its size.
 * @returns The cost of one question; the relay's own processor time is in it.
 */
export async function measureGrpc(reports: number): Promise<GrpcCost> {
  const clock = new SystemClock();
  const credential = new FleetCredential('slopes');
  const identity = (host: string) => ({ host, incarnation: `${host}-1`, protocol: PEER_PROTOCOL });
  const res: PeerResponse = { type: 'ok' };
  const server = new GrpcPeerServer({
    clock,
    self: identity('b'),
    credential,
    handler: { answer: () => Promise.resolve(res) },
  });
  const port = (await server.start('127.0.0.1:0'))._unsafeUnwrap();
  const relay = await countingRelay(port);
  const link = new GrpcPeerLink({ clock, self: identity('a'), credential });
  const to = { host: 'b', address: `127.0.0.1:${relay.port}` };
  const req: PeerRequest = {
    type: 'crashes',
    reports: Array.from({ length: reports }, (_, i) => ({
      digest: `digest-${i}`.padEnd(64, '0'),
      upstream: `engine-${i}`,
      ageMs: i,
    })),
  };
  const ask = async (left: number): Promise<void> => {
    let rest = left;
    while (rest > 0) {
      (await link.ask(to, req, TIMEOUT_MS))._unsafeUnwrap();
      rest -= 1;
    }
  };
  await ask(WARM_UP_CALLS);
  const bytesBefore = relay.bytes();
  const cpuBefore = process.cpuUsage();
  await ask(CALLS);
  const cpu = process.cpuUsage(cpuBefore);
  const wireBytes = (relay.bytes() - bytesBefore) / CALLS;
  link.close();
  await server.stop();
  await new Promise((resolve) => {
    relay.server.close(resolve);
  });
  return {
    messageBytes: requestBytes(req) + responseBytes(res),
    wireBytes,
    cpuMs: (cpu.user + cpu.system) / 1_000 / CALLS,
  };
}
