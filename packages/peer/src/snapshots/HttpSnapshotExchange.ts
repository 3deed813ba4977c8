import { createServer, get } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, ConnectionLimitOptions, Millis } from '@camphorvane/core';
import { limitConnections, reportFault, ServerDrain } from '@camphorvane/core';
import type { Snapshot, StoredObject } from '@camphorvane/store';
import { isVersion } from '@camphorvane/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { SnapshotExchange, SnapshotSource } from './SnapshotExchange.ts';

/** Milliseconds for a whole read; a peer that takes longer is down, and the next one is asked. */
const FETCH_TIMEOUT_MS: Millis = 400;

/** Largest accepted copy, in bytes; the store's own lists have about 1 MB a page. */
const MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024;

/** Milliseconds for the head of a request, for a whole one, and between two checks of them. */
const HEAD_TIMEOUT_MS: Millis = 5_000;
const REQUEST_TIMEOUT_MS: Millis = 30_000;
const CHECK_INTERVAL_MS: Millis = 1_000;

const PATH = /^\/snapshots\/([^/?]+)\?newer-than=(\d+)$/;

const OK = 200;
const NO_CONTENT = 204;
const FORBIDDEN = 403;
const NOT_FOUND = 404;
const INTERNAL_ERROR = 500;

/** Responds to a request for another path; returns false for one that it does not know. */
export type OtherHandler = (req: IncomingMessage, res: ServerResponse) => boolean;

/** Offers this host's copies of stored objects over HTTP, and reads those of its peers. */
export class HttpSnapshotExchange implements SnapshotExchange {
  private readonly clock: Clock;

  private readonly server: Server;

  private readonly drain: ServerDrain;

  private source: SnapshotSource = { get: () => undefined, isPeer: () => false };

  private handleOther: OtherHandler = () => false;

  /**
   * @param clock - Clock for timeouts.
   * @param connections - Bounds the open connections.
   */
  constructor(
    clock: Clock,
    connections: Omit<ConnectionLimitOptions, 'isServing'> = { max: undefined },
  ) {
    this.clock = clock;
    this.server = createServer(
      {
        headersTimeout: HEAD_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
      },
      (req, res) => this.handle(req, res),
    );
    this.drain = new ServerDrain(this.server);
    const isServing = (socket: Socket): boolean => this.drain.isServing(socket);
    limitConnections(this.server, { ...connections, isServing });
  }

  /** Listens for peers; the error is the message of the failed listener. */
  listen(ip: string, port: number): Promise<Result<number, string>> {
    return new Promise((resolve) => {
      this.server.once('error', (error) => resolve(err(error.message)));
      this.server.listen({ host: ip, port }, () => {
        const bound = this.server.address();
        resolve(ok(typeof bound === 'object' && bound !== null ? bound.port : port));
      });
    });
  }

  /** Stops listening. */
  close(): void {
    this.server.close();
  }

  /** Stops listening once no connection waits to be accepted; open ones are served on. */
  stopListening(): Promise<void> {
    return this.drain.closeListener();
  }

  /** Waits until peers have taken all answers, and no further request has arrived. */
  untilDelivered(): Promise<void> {
    return this.drain.untilQuiet();
  }

  /** {@inheritDoc SnapshotExchange.setSource} */
  setSource(source: SnapshotSource): void {
    this.source = source;
  }

  /** Sets what responds to requests for other paths at the same address. */
  setOtherHandler(handler: OtherHandler): void {
    this.handleOther = handler;
  }

  /** Tells whether an IP address belongs to a host of the fleet. */
  isPeer(ip: string): boolean {
    return this.source.isPeer(ip);
  }

  /** {@inheritDoc SnapshotExchange.fetch} */
  fetch(address: string, kind: string, newerThan: number): Promise<Snapshot | undefined> {
    const url = `http://${address}/snapshots/${encodeURIComponent(kind)}?newer-than=${newerThan}`;
    return new Promise((resolve) => {
      const abort = new AbortController();
      const cancelTimer = this.clock.after(FETCH_TIMEOUT_MS, () => abort.abort());
      const end = (snapshot: Snapshot | undefined): void => {
        cancelTimer();
        resolve(snapshot);
      };
      const req = get(url, { agent: false, signal: abort.signal }, (res) => {
        readSnapshot(res).then(end, () => end(undefined));
      });
      req.once('error', () => end(undefined));
    });
  }

  /** Responds to a request; whatever is thrown meanwhile ends this request alone. */
  private handle(req: IncomingMessage, res: ServerResponse): void {
    try {
      this.respond(req, res);
    } catch (thrown) {
      reportFault('peer.request', thrown);
      if (res.headersSent) res.destroy();
      else res.writeHead(INTERNAL_ERROR).end();
    }
  }

  private respond(req: IncomingMessage, res: ServerResponse): void {
    if (this.handleOther(req, res)) return;
    const [, kind, newerThan] = PATH.exec(req.url ?? '') ?? [];
    if (!this.source.isPeer(req.socket.remoteAddress ?? '')) {
      res.writeHead(FORBIDDEN).end();
      return;
    }
    if (kind === undefined) {
      res.writeHead(NOT_FOUND).end();
      return;
    }
    const snapshot = this.source.get(decodeURIComponent(kind));
    if (snapshot === undefined || snapshot.version <= Number(newerThan)) {
      res.writeHead(NO_CONTENT).end();
      return;
    }
    res.writeHead(OK, { 'content-type': 'application/json' }).end(encodeSnapshot(snapshot));
  }
}

/**
 * Encodes a copy. JSON nested some thousand levels deep can be parsed but not written again; such an object is left out, so
 * that peers get the others.
 */
function encodeSnapshot(snapshot: Snapshot): string {
  const whole = tryStringify(snapshot);
  if (whole !== undefined) return whole;
  const objects = snapshot.objects.filter((object) => tryStringify(object) !== undefined);
  return JSON.stringify({ ...snapshot, objects });
}

function tryStringify(value: unknown): string | undefined {
  try {
    return JSON.stringify(value);
  } catch {
    return undefined;
  }
}

async function readSnapshot(res: IncomingMessage): Promise<Snapshot | undefined> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of res) {
    size += (chunk as Uint8Array).length;
    if (size > MAX_SNAPSHOT_BYTES) return undefined;
    chunks.push(chunk as Uint8Array);
  }
  if (res.statusCode !== OK || !res.complete) return undefined;
  return parseSnapshot(JSON.parse(Buffer.concat(chunks).toString('utf8')));
}

function parseSnapshot(value: unknown): Snapshot | undefined {
  const { version, objects } = value as { readonly version?: unknown; readonly objects?: unknown };
  if (!isVersion(version) || !Array.isArray(objects)) return undefined;
  return objects.every(isStoredObject) ? { version, objects } : undefined;
}

function isStoredObject(value: unknown): value is StoredObject {
  const { kind, name, version } = (value ?? {}) as Partial<Record<keyof StoredObject, unknown>>;
  return typeof kind === 'string' && typeof name === 'string' && isVersion(version);
}
