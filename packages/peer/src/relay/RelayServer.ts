import type { IncomingMessage, ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import type { Buffers, Clock, Millis, SoftwareVersion } from '@camphorvane/core';
import {
  abortOnDisconnect,
  ByteAccumulator,
  reportFault,
  runInBackground,
  ReadLag,
  RequestIntake,
  UNCOUNTED_RESERVATION,
} from '@camphorvane/core';
import { decodeRequest, encodeFrame } from './relayCodec.ts';
import type { RelayFrame } from './relayCodec.ts';
import type { RelayedRequest, RelayHandler } from './RelayLink.ts';
import { ALIVE_INTERVAL_MS, BOUND_RELAY_PATH, RELAY_PATH } from './relayProtocol.ts';

/** Most requests of other hosts that a host serves at once; it needs memory for each, and serves callers too. */
const MAX_IN_FLIGHT = 256;

/** Largest accepted request, in bytes; the host that received it applies the limits of the configuration. */
const MAX_REQUEST_BYTES = 64 * 1024 * 1024;

/** Milliseconds without a byte of a request, after which its sender has given it up. */
const READ_TIMEOUT_MS: Millis = 1_500;

/** Milliseconds for which a peer may take nothing of a response; its caller may read slowly. */
const WRITE_TIMEOUT_MS: Millis = 15_000;

const OK = 200;
const BAD_REQUEST = 400;
const FORBIDDEN = 403;
const UNAVAILABLE = 503;

/** Options of a {@link RelayServer}. */
export interface RelayServerOptions {
  readonly clock: Clock;
  /** Bounds what is buffered of requests; absent where nothing is bounded. */
  readonly buffers?: Buffers;
  /** Tells whether an IP address belongs to a host of the fleet; others get nothing. */
  readonly isPeer: (ip: string) => boolean;
  readonly handler: RelayHandler;
  /** Starts the requests, beside those of callers; the server's own one if absent. */
  readonly intake?: RequestIntake;
}

/** Serves the requests that peers pass on, which they don't pass on again. */
export class RelayServer {
  private readonly options: RelayServerOptions;

  private readonly intake: RequestIntake;

  private inFlight = 0;

  /** @param options - The handler and the bounds. */
  constructor(options: RelayServerOptions) {
    this.options = options;
    this.intake = options.intake ?? new RequestIntake(new ReadLag());
  }

  /**
   * Responds to a request, if it is one for this server.
   *
   * @param req - The request.
   * @param res - Its response.
   * @returns Whether it is a relayed request.
   */
  handle(req: IncomingMessage, res: ServerResponse): boolean {
    const isRelayed = req.url === RELAY_PATH || req.url === BOUND_RELAY_PATH;
    if (!isRelayed || req.method !== 'POST') return false;
    runInBackground('peer.relay', () => this.respond(req, res));
    return true;
  }

  private async respond(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { buffers, isPeer } = this.options;
    this.intake.recordArrival();
    const arrivedAt = this.intake.getArrivalTime();
    const length = Number(req.headers['content-length'] ?? NaN);
    const owner = { owner: req.socket.remoteAddress ?? '', request: undefined };
    if (!isPeer(owner.owner)) return refuse(res, FORBIDDEN);
    if (!(length <= MAX_REQUEST_BYTES)) return refuse(res, BAD_REQUEST);
    if (this.inFlight >= MAX_IN_FLIGHT) return refuse(res, UNAVAILABLE);
    const reservation =
      buffers === undefined ? UNCOUNTED_RESERVATION : buffers.tryReserve('request', owner, length);
    if (reservation === undefined) return refuse(res, UNAVAILABLE);
    this.inFlight += 1;
    try {
      req.setTimeout(READ_TIMEOUT_MS, () => req.destroy());
      const relayed = decodeRequest(await readBody(req, length));
      req.setTimeout(0);
      if (relayed === undefined) return refuse(res, BAD_REQUEST);
      await this.serve(relayed, res, arrivedAt);
    } catch (thrown) {
      // A connection that the peer has closed is no fault: its caller has left, or the peer has failed.
      if (!req.socket.destroyed) reportFault('peer.relay', thrown);
      res.destroy();
    } finally {
      this.inFlight -= 1;
      reservation.release();
    }
    return undefined;
  }

  private async serve(
    relayed: RelayedRequest,
    res: ServerResponse,
    arrivedAt: Millis,
  ): Promise<void> {
    const closed = abortOnDisconnect(res);
    const { signal } = closed;
    const getMaxWaitMs = (): Millis => relayed.context.leftMs;
    const isLate = this.intake.isLate(getMaxWaitMs);
    const decision = isLate ? 'late' : await this.intake.untilStart({ signal, getMaxWaitMs });
    if (signal.aborted) return;
    if (decision === 'late') {
      refuse(res, UNAVAILABLE);
      return;
    }
    const waitedMs = performance.now() - arrivedAt;
    res.writeHead(OK, { 'content-type': 'application/octet-stream' });
    res.socket?.setNoDelay(true);
    let cancelAlive = this.sendSignsOfLife(res);
    // A host that sends no binding does not know this frame.
    const tellsVersions = relayed.context.binding !== undefined;
    let told: SoftwareVersion | undefined;
    try {
      for await (const event of this.options.handler(relayed, closed.signal, waitedMs)) {
        cancelAlive();
        const version = event.type === 'data' ? event.softwareVersion : undefined;
        if (tellsVersions && version !== undefined && told === undefined) {
          told = version;
          await this.write(res, { type: 'version', version }, closed.signal);
        }
        await this.write(res, event, closed.signal);
        cancelAlive = this.sendSignsOfLife(res);
      }
    } finally {
      cancelAlive();
    }
    res.end();
  }

  /** Writes a frame, and waits until the socket has taken it. */
  private async write(res: ServerResponse, frame: RelayFrame, closed: AbortSignal): Promise<void> {
    const isTaken = encodeFrame(frame)
      .map((part) => res.write(part))
      .every(Boolean);
    if (isTaken || closed.aborted) return;
    const cancelTimer = this.options.clock.after(WRITE_TIMEOUT_MS, () => res.destroy());
    await new Promise<void>((resolve) => {
      const done = (): void => {
        res.off('drain', done);
        closed.removeEventListener('abort', done);
        resolve();
      };
      res.once('drain', done);
      closed.addEventListener('abort', done, { once: true });
    });
    cancelTimer();
  }

  /** Sends signs of life until it is cancelled, so that the other host can tell slow work from a lost peer. */
  private sendSignsOfLife(res: ServerResponse): () => void {
    const { clock } = this.options;
    let cancel = (): void => undefined;
    const send = (): void => {
      if (!res.writableNeedDrain) encodeFrame({ type: 'alive' }).forEach((part) => res.write(part));
      cancel = clock.after(ALIVE_INTERVAL_MS, send);
    };
    cancel = clock.after(ALIVE_INTERVAL_MS, send);
    return () => cancel();
  }
}

async function readBody(req: IncomingMessage, length: number): Promise<Buffer> {
  const body = new ByteAccumulator(length);
  for await (const chunk of req) body.add(chunk as Uint8Array);
  return body.take();
}

function refuse(res: ServerResponse, status: number): undefined {
  res.writeHead(status, { connection: 'close' }).end();
  return undefined;
}
