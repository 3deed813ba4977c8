import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { ForwardRoute } from '@camphorvane/core';
import { SystemClock } from '@camphorvane/core';
import { Ingress, PlatformEngine, PlatformServer } from '@camphorvane/platform';
import { Metrics } from '@camphorvane/router';
import { HostBuffers } from '../../src/buffers/HostBuffers.ts';
import { ForwardFleet, KEY } from './ForwardFleet.ts';

const READ_BUFFER = Buffer.alloc(64 * 1024);

/** Headers by which the platform accepts an answer. */
export const SIGNED = { 'x-camphorvane-server-stamp': 's' };

/** Load and size of a fleet. */
export interface SocketFleetOptions {
  readonly memoryMb: number;
  /** Behaviour of the upstream, which serves the servers s1 and s2 and the engines d1 and d2. */
  readonly upstream: RequestListener;
  readonly route?: Partial<ForwardRoute>;
  readonly idleTimeoutMs?: number;
  readonly maxBodyBytes?: number;
}

/** What a caller has received. */
export interface CallerRecord {
  readonly socket: Socket;
  readonly text: () => string;
  readonly bytes: () => number;
  /** Resolves with the first bytes. */
  readonly begun: Promise<void>;
  readonly closed: Promise<void>;
}

/** A host with real sockets on the loopback address, between raw callers and one upstream. */
export class SocketFleet {
  readonly buffers: HostBuffers;

  private readonly ingress: Ingress;

  private readonly port: number;

  private readonly upstream: Server;

  private readonly sockets: Socket[] = [];

  private constructor(ingress: Ingress, port: number, upstream: Server, buffers: HostBuffers) {
    this.ingress = ingress;
    this.port = port;
    this.upstream = upstream;
    this.buffers = buffers;
  }

  /** Starts the host and its upstream. */
  static async start(options: SocketFleetOptions): Promise<SocketFleet> {
    const clock = new SystemClock();
    const upstream = createServer(options.upstream);
    const url = `http://127.0.0.1:${await listen(upstream)}`;
    const buffers = new HostBuffers(clock, new Metrics(), options.memoryMb);
    const server = (id: string): PlatformServer =>
      new PlatformServer({ id, url, zone: 'a', maxConcurrent: 4 }, clock, () => {}, buffers);
    const engineCfg = {
      url,
      zone: 'a',
      role: 'decode',
      memoryPieces: 9,
      checksFencing: false,
    } as const;
    const engine = (id: string): PlatformEngine =>
      new PlatformEngine({ id, ...engineCfg }, clock, () => {}, buffers);
    const [s1, s2, d1, d2] = [server('s1'), server('s2'), engine('d1'), engine('d2')];
    const fleet = new ForwardFleet({
      buffers,
      serverSlots: 2_000,
      callScripts: { s1: (...call) => s1.call(...call), s2: (...call) => s2.call(...call) },
      decodeScripts: { d1: (...call) => d1.decode(...call), d2: (...call) => d2.decode(...call) },
      route: { timeoutMs: 30_000, targetMs: 20_000, ...options.route },
    });
    const ingress = new Ingress({
      backend: fleet.host.forwarding,
      isDraining: () => false,
      limits: () => ({
        maxHeaderBytes: 16_384,
        maxBodyBytes: options.maxBodyBytes ?? 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: options.idleTimeoutMs ?? 15_000,
      }),
      buffers,
    });
    const probe = createServer();
    const port = await listen(probe);
    await new Promise((resolve) => {
      probe.close(resolve);
    });
    (await ingress.listen({ ip: '127.0.0.1', port }))._unsafeUnwrap();
    return new SocketFleet(ingress, port, upstream, buffers);
  }

  /**
   * Sends a request on a connection of its own.
   *
   * @param path - Path of the request.
   * @param body - Its body.
   * @param pauseMs - Pause after each chunk of the answer; Infinity for a caller that reads nothing.
   */
  call(path: string, body: Uint8Array = new Uint8Array(), pauseMs = 0): CallerRecord {
    return this.send(path, [`content-length: ${body.length}`], body, pauseMs);
  }

  /** Sends a request with chosen headers. */
  send(path: string, headers: readonly string[], body: Uint8Array, pauseMs = 0): CallerRecord {
    let [text, size] = ['', 0];
    let begin = (): void => undefined;
    const begun = new Promise<void>((resolve) => {
      begin = resolve;
    });
    const socket: Socket = connect({
      port: this.port,
      host: '127.0.0.1',
      onread: {
        // One buffer for all callers, so that what they hold doesn't count beside what the host holds.
        buffer: READ_BUFFER,
        callback: (length, chunk) => {
          begin();
          size += length;
          if (text.length < 4_096)
            text += Buffer.from(chunk.subarray(0, length)).toString('latin1');
          if (pauseMs > 0 && pauseMs < Infinity)
            void setTimeout(pauseMs).then(() => socket.resume());
          return pauseMs === 0 || pauseMs === Infinity;
        },
      },
    });
    if (pauseMs === Infinity) socket.pause();
    this.sockets.push(socket);
    socket.on('error', () => undefined);
    const closed = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    const named = [
      'host: h.example',
      'x-camphorvane-request-id: r',
      `authorization: Bearer ${KEY}`,
    ];
    const work = ['x-camphorvane-token-counts: 10,10', 'connection: close', ...headers];
    socket.write(`POST ${path} HTTP/1.1\r\n${[...named, ...work].join('\r\n')}\r\n\r\n`);
    if (body.length > 0) socket.write(body);
    return { socket, text: () => text, bytes: () => size, begun, closed };
  }

  /** Gets the bytes that the host holds or has sent to upstreams. */
  held(): number {
    return Object.values(this.buffers.dump()).reduce((sum, bytes) => sum + bytes, 0);
  }

  /** Waits until the host holds nothing, for at most two seconds. */
  async waitUntilEmpty(): Promise<number> {
    const until = performance.now() + 2_000;
    while (this.held() > 0 && performance.now() < until) await pause(10);
    return this.held();
  }

  /** Stops everything. */
  stop(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.ingress.stopListening();
    this.upstream.closeAllConnections();
    this.upstream.close();
    ForwardFleet.stopAll();
  }
}

/** Waits for some milliseconds. */
export function pause(ms: number): Promise<void> {
  return setTimeout(ms);
}

/** Waits for a promise, for at most some milliseconds. */
export async function within(promise: Promise<unknown>, ms: number): Promise<void> {
  const timer = new AbortController();
  const timeout = setTimeout(ms, undefined, { signal: timer.signal }).catch(() => undefined);
  await Promise.race([promise, timeout]);
  timer.abort();
}

/** Collects garbage, and gets the bytes of all buffers that are left. */
export function collectGarbage(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().arrayBuffers;
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', 2_000, () => resolve((server.address() as AddressInfo).port));
  });
}
