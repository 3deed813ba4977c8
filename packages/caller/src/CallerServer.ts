import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { serve } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import type { Clock, Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { Hono } from 'hono';
import type { Context } from 'hono';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallerBackend } from './CallerBackend.ts';
import { BodyReader } from './http/BodyReader.ts';
import { CompletionRoute, REQUEST_ID_HEADER } from './http/CompletionRoute.ts';
import { refusalResponse } from './http/refusalStatus.ts';
import {
  checkHeaders,
  checkKeyPlaces,
  checkServicePath,
  keyOf,
  passedHeaders,
} from './http/requestChecks.ts';
import type { CompletionKind } from './openai/completionBody.ts';
import { parseCompletionBody } from './openai/completionBody.ts';

/** Header by which a caller says how long its request may wait. */
export const CLASS_HEADER = 'x-camphorvane-class';

/** Header that marks a request passed on by another host; it holds the fleet's credential. */
export const HOP_HEADER = 'x-camphorvane-hop';

/** Milliseconds in which the head of a request must have arrived. */
const HEADERS_TIMEOUT_MS = 5_000;

/** Milliseconds in which a whole request must have arrived. */
const REQUEST_TIMEOUT_MS = 20_000;

/** Milliseconds of silence after which the kernel starts to probe a caller's connection. */
const KEEPALIVE_DELAY_MS = 5_000;

/** Milliseconds that open connections get when listening ends. */
const STOP_GRACE_MS = 500;

/** Largest head of a request, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;

interface Env {
  readonly Bindings: HttpBindings;
}

/** What a caller server is made of. */
export interface CallerServerOptions {
  readonly backend: CallerBackend;
  readonly clock: Clock;
  /** Tells whether a hop header's value is the fleet's credential. */
  readonly isFleet: (credential: string) => boolean;
}

/** The HTTP interface towards callers. */
export class CallerServer {
  private readonly options: CallerServerOptions;

  private readonly completions: CompletionRoute;

  private readonly bodies: BodyReader;

  private server: Server | undefined;

  /** @param options - What the server is made of. */
  constructor(options: CallerServerOptions) {
    this.options = options;
    this.completions = new CompletionRoute(options.backend, options.clock);
    this.bodies = new BodyReader(options.clock);
  }

  /** Gets the hono application, for tests. */
  app(): Hono<Env> {
    const app = new Hono<Env>();
    app.get('/v1/hosts', (c) => this.hosts(c));
    app.get('/v1/models', (c) => this.models(c));
    app.post('/v1/chat/completions', (c) => this.complete(c, 'chat'));
    app.post('/v1/completions', (c) => this.complete(c, 'text'));
    app.all('/services/:service/*', (c) => this.callService(c));
    app.get('/healthz', (c) => c.json({ status: 'ok' }));
    app.notFound(() => refusalResponse(notRun('bad_request', 'There is nothing at this path.')));
    app.onError(() => refusalResponse(notRun('internal', 'The request could not be read.')));
    return app;
  }

  /**
   * Listens for callers.
   *
   * @param ip - IP address to listen on.
   * @param port - Port, 0 for any.
   * @returns The port in use.
   */
  start(ip: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      const server = serve(
        {
          fetch: this.app().fetch,
          hostname: ip,
          port,
          serverOptions: {
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
            maxHeaderSize: MAX_HEADER_BYTES,
            connectionsCheckingInterval: 1_000,
          },
        },
        (info) => resolve(info.port),
      ) as Server;
      // A caller whose path is lost sends no end of its connection; the kernel's probes find it.
      server.on('connection', (socket) => socket.setKeepAlive(true, KEEPALIVE_DELAY_MS));
      server.once('error', reject);
      this.server = server;
    });
  }

  /**
   * Ends listening. Requests have ended by then; connections that still stay open, kept by callers
   * for later requests, are cut after a moment.
   */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      const { server } = this;
      if (server === undefined) {
        resolve();
        return;
      }
      const cancel = this.options.clock.after(STOP_GRACE_MS, () => server.closeAllConnections());
      server.close(() => {
        cancel();
        resolve();
      });
      server.closeIdleConnections();
    });
  }

  private hosts(c: Context<Env>): Response {
    return this.options.backend
      .advise(keyOf(c.env.incoming))
      .match(
        (advice) =>
          Response.json(
            { hosts: advice.hosts, keep_for_ms: advice.keepForMs },
            { headers: { 'cache-control': `max-age=${Math.floor(advice.keepForMs / 1000)}` } },
          ),
        refusalResponse,
      );
  }

  private models(c: Context<Env>): Response {
    return this.options.backend.models(keyOf(c.env.incoming)).match(
      (models) =>
        Response.json({
          object: 'list',
          data: models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'camphorvane' })),
        }),
      refusalResponse,
    );
  }

  private async complete(c: Context<Env>, kind: CompletionKind): Promise<Response> {
    const { incoming, outgoing } = c.env;
    const read = await this.readChecked(incoming);
    if (read.isErr()) return refuseAndClose(read.error, outgoing);
    const header = incoming.headers[CLASS_HEADER];
    const body = parseCompletionBody(
      read.value,
      kind,
      header === undefined ? undefined : String(header),
    );
    if (body.isErr()) return refusalResponse(body.error);
    const call = {
      id: this.options.backend.newRequestId(),
      kind,
      body: body.value,
      gone: goneWith(outgoing),
      req: {
        key: keyOf(incoming),
        model: body.value.model,
        prompt: body.value.prompt,
        maxTokens: body.value.maxTokens,
        class: body.value.class,
        hopped: this.isHopped(incoming),
      },
    };
    if (!body.value.stream) return this.completions.answerWhole(call);
    return (await this.completions.answerStream(call, outgoing)) ?? RESPONSE_ALREADY_SENT;
  }

  private async callService(c: Context<Env>): Promise<Response> {
    const { incoming, outgoing } = c.env;
    const service = c.req.param('service') ?? '';
    const path = checkServicePath((incoming.url ?? '').slice(`/services/${service}`.length));
    if (path.isErr()) return refuseAndClose(path.error, outgoing);
    const read = await this.readChecked(incoming);
    if (read.isErr()) return refuseAndClose(read.error, outgoing);
    const id = this.options.backend.newRequestId();
    const idempotencyKey = incoming.headers['idempotency-key'];
    const reply = await this.options.backend.callService(
      id,
      {
        key: keyOf(incoming),
        service,
        method: incoming.method ?? 'GET',
        path: path.value,
        headers: passedHeaders(incoming),
        idempotencyKey: typeof idempotencyKey === 'string' ? idempotencyKey : undefined,
        body: read.value,
        hopped: this.isHopped(incoming),
      },
      goneWith(outgoing).signal,
    );
    return reply.match(
      (answer) =>
        new Response(hasBody(answer.status) ? Buffer.from(answer.body) : null, {
          status: answer.status,
          headers: {
            ...answer.headers,
            [REQUEST_ID_HEADER]: id,
            ...(answer.replayed ? { 'x-camphorvane-replayed': 'true' } : {}),
          },
        }),
      refusalResponse,
    );
  }

  private async readChecked(req: IncomingMessage): Promise<Result<Buffer, Refusal>> {
    const headers = checkHeaders(req);
    if (headers.isErr()) return headers.map(() => Buffer.alloc(0));
    const body = await this.bodies.read(req);
    return body.andThen((bytes) => checkKeyPlaces(keyOf(req), req, bytes).andThen(() => ok(bytes)));
  }

  private isHopped(req: IncomingMessage): boolean {
    const value = req.headers[HOP_HEADER];
    return typeof value === 'string' && this.options.isFleet(value);
  }
}

/** Statuses that have no body by the protocol. */
function hasBody(status: number): boolean {
  return status !== 204 && status !== 304;
}

/** What is left of a body that was not read must not be taken for the next request. */
function refuseAndClose(refusal: Refusal, out: ServerResponse): Response {
  out.setHeader('connection', 'close');
  return refusalResponse(refusal);
}

/** Aborts when the caller's connection ends before its answer does. */
function goneWith(out: ServerResponse): AbortController {
  const gone = new AbortController();
  out.once('close', () => {
    if (!out.writableFinished) gone.abort();
  });
  return gone;
}
