import { get } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Millis, ModelId, RequestId } from '@camphorvane/core';
import type { StreamOrigin } from '@camphorvane/decisions';
import type { OriginAnswer, OriginLink, OriginSource } from './OriginLink.ts';
import { encodeOrigins, MAX_ORIGINS_PER_DATAGRAM } from './originCodec.ts';

/** Milliseconds for a question; the caller of the stream waits meanwhile. */
const ASK_TIMEOUT_MS: Millis = 300;

/** Largest accepted answer, in bytes. */
const MAX_ANSWER_BYTES = 1_024;

const PATH = /^\/stream-origins\/([^/?]+)\/([^/?]+)$/;

const OK = 200;
const FORBIDDEN = 403;

/** The datagrams of a host. */
export interface OriginDatagrams {
  /** Sends a datagram to an address (`ip:port`). */
  sendDatagram(bytes: Buffer, to: string): void;
  /** Registers a listener for the origins that peers send. */
  onOrigins(listener: (origins: readonly StreamOrigin[]) => void): void;
}

/** Tells peers by datagrams, and asks them over HTTP at the same port. */
export class PeerOriginLink implements OriginLink {
  private readonly clock: Clock;

  private readonly datagrams: OriginDatagrams;

  private readonly isPeer: (ip: string) => boolean;

  private source: OriginSource = () => ({ version: undefined, isTold: false });

  /**
   * @param clock - Clock for timeouts.
   * @param datagrams - Sends and receives datagrams.
   * @param isPeer - Tells whether an IP address belongs to a host of the fleet; others get no answer.
   */
  constructor(clock: Clock, datagrams: OriginDatagrams, isPeer: (ip: string) => boolean) {
    this.clock = clock;
    this.datagrams = datagrams;
    this.isPeer = isPeer;
  }

  /** {@inheritDoc OriginLink.tell} */
  tell(origins: readonly StreamOrigin[], to: readonly string[]): void {
    const count = Math.ceil(origins.length / MAX_ORIGINS_PER_DATAGRAM);
    Array.from({ length: count }, (_, n) => n * MAX_ORIGINS_PER_DATAGRAM).forEach((from) => {
      const bytes = encodeOrigins(origins.slice(from, from + MAX_ORIGINS_PER_DATAGRAM));
      to.forEach((address) => this.datagrams.sendDatagram(bytes, address));
    });
  }

  /** {@inheritDoc OriginLink.onTold} */
  onTold(listener: (origins: readonly StreamOrigin[]) => void): void {
    this.datagrams.onOrigins(listener);
  }

  /** {@inheritDoc OriginLink.setSource} */
  setSource(source: OriginSource): void {
    this.source = source;
  }

  /** {@inheritDoc OriginLink.ask} */
  ask(address: string, id: RequestId, model: ModelId): Promise<OriginAnswer | undefined> {
    const path = `/stream-origins/${encodeURIComponent(model)}/${encodeURIComponent(id)}`;
    return new Promise((resolve) => {
      const abort = new AbortController();
      const cancelTimer = this.clock.after(ASK_TIMEOUT_MS, () => abort.abort());
      const end = (answer: OriginAnswer | undefined): void => {
        cancelTimer();
        resolve(answer);
      };
      const req = get(`http://${address}${path}`, { agent: false, signal: abort.signal }, (res) => {
        readAnswer(res).then(end, () => end(undefined));
      });
      req.once('error', () => end(undefined));
    });
  }

  /**
   * Responds to a request, if it is a question of a peer.
   *
   * @param req - The request.
   * @param res - Its response.
   * @returns Whether it is one.
   */
  handle(req: IncomingMessage, res: ServerResponse): boolean {
    const [, model, id] = PATH.exec(req.url ?? '') ?? [];
    if (model === undefined || id === undefined || req.method !== 'GET') return false;
    if (!this.isPeer(req.socket.remoteAddress ?? '')) {
      res.writeHead(FORBIDDEN).end();
      return true;
    }
    const answer = this.source(decodeURIComponent(id), decodeURIComponent(model));
    res.writeHead(OK, { 'content-type': 'application/json' }).end(JSON.stringify(answer));
    return true;
  }
}

async function readAnswer(res: IncomingMessage): Promise<OriginAnswer | undefined> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of res) {
    size += (chunk as Uint8Array).length;
    if (size > MAX_ANSWER_BYTES) return undefined;
    chunks.push(chunk as Uint8Array);
  }
  if (res.statusCode !== OK || !res.complete) return undefined;
  const { version, pool, isTold } = JSON.parse(Buffer.concat(chunks).toString('utf8')) as {
    readonly version?: unknown;
    readonly pool?: unknown;
    readonly isTold?: unknown;
  };
  return {
    version: typeof version === 'string' ? version : undefined,
    ...(typeof pool === 'string' ? { pool } : {}),
    isTold: isTold === true,
  };
}
