import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { serve } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import type { Clock, Refusal } from '@camphorvane/core';
import { abortOnDisconnect, notRun, outcomeUnknown, reportFault } from '@camphorvane/core';
import { Hono } from 'hono';
import type { Context } from 'hono';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallerBackend } from './CallerBackend.ts';
import { BodyReader } from './http/BodyReader.ts';
import { CompletionRoute } from './http/CompletionRoute.ts';
import { refusalResponse } from './http/refusalStatus.ts';
import {
  checkHeaders,
  checkKeyLeak,
  checkServicePath,
  extractKey,
  selectForwardedHeaders,
} from './http/requestChecks.ts';
import { checkSyntax } from './http/requestSyntax.ts';
import { ResponseWriter } from './http/ResponseWriter.ts';
import { ServiceRoute } from './http/ServiceRoute.ts';
import type { CompletionKind } from './openai/completionBody.ts';
import { parseCompletionBody } from './openai/completionBody.ts';

/** Header with the priority class of a request. */
export const CLASS_HEADER = 'x-camphorvane-class';

/** Header of a request forwarded by another host; its value is the fleet's credential. */
export const HOP_HEADER = 'x-camphorvane-hop';

/** Timeout of the request headers, in milliseconds. */
const HEADERS_TIMEOUT_MS = 5_000;

/** Timeout of a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 20_000;

/** Idle time after which the kernel sends TCP keep-alive probes to a caller, in milliseconds. */
const KEEPALIVE_DELAY_MS = 5_000;

/** Milliseconds until open connections are closed after the server stops listening. */
const STOP_GRACE_MS = 500;

/** Largest request headers, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;

interface Env {
  readonly Bindings: HttpBindings;
  readonly Variables: {
    /** Whether the request was handed to the backend, after which it may have run. */
    readonly mayHaveRun: boolean | undefined;
  };
}

/** Dependencies of a caller server. */
export interface CallerServerOptions {
  readonly backend: CallerBackend;
  readonly clock: Clock;
  /** Tells whether a value of {@link HOP_HEADER} is the fleet's credential. */
  readonly isFleetCredential: (credential: string) => boolean;
}

/** The HTTP server for callers. */
export class CallerServer {
  private readonly options: CallerServerOptions;

  private readonly completions: CompletionRoute;

  private readonly services: ServiceRoute;

  private readonly bodies: BodyReader;

  private server: Server | undefined;

  /** @param options - Dependencies of the server. */
  constructor(options: CallerServerOptions) {
    this.options = options;
    this.completions = new CompletionRoute(options.backend, options.clock);
    this.services = new ServiceRoute(options.clock);
    this.bodies = new BodyReader(options.clock);
  }

  /** Creates the Hono application. */
  app(): Hono<Env> {
    const app = new Hono<Env>();
    app.use(({ env }, next) => refuseMalformed(env, next));
    app.get('/v1/hosts', (c) => this.listHosts(c));
    app.get('/v1/models', (c) => this.listModels(c));
    app.post('/v1/chat/completions', (c) => this.complete(c, 'chat'));
    app.post('/v1/completions', (c) => this.complete(c, 'text'));
    app.all('/services/:service/*', (c) => this.callService(c));
    app.get('/healthz', (c) => c.json({ status: 'ok' }));
    app.notFound(() => refusalResponse(notRun('bad_request', 'No route matches this path.')));
    app.onError((thrown, c: Context<Env>) => this.endAfterFault(thrown, c));
    return app;
  }

  /**
   * Starts listening.
   *
   * @param ip - IP address to listen on.
   * @param port - Port; 0 for any free one.
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
      // A caller whose network path is lost sends no FIN; keep-alive probes detect it.
      server.on('connection', (socket) => socket.setKeepAlive(true, KEEPALIVE_DELAY_MS));
      server.once('error', reject);
      this.server = server;
    });
  }

  /**
   * Stops listening, after all requests have ended. Keep-alive connections that callers leave open are
   * closed after {@link STOP_GRACE_MS}.
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

  private listHosts(c: Context<Env>): Response {
    return this.options.backend
      .recommendHosts(extractKey(c.env.incoming))
      .match(
        (advice) =>
          Response.json(
            { hosts: advice.hosts, keep_for_ms: advice.maxAgeMs },
            { headers: { 'cache-control': `max-age=${Math.floor(advice.maxAgeMs / 1000)}` } },
          ),
        refusalResponse,
      );
  }

  private listModels(c: Context<Env>): Response {
    return this.options.backend.models(extractKey(c.env.incoming)).match(
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
    const read = await this.readValidated(incoming);
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
      disconnected: abortOnDisconnect(outgoing),
      req: {
        key: extractKey(incoming),
        model: body.value.model,
        prompt: body.value.prompt,
        maxTokens: body.value.maxTokens,
        class: body.value.class,
        forwardedByHost: this.isForwardedByHost(incoming),
      },
    };
    c.set('mayHaveRun', true);
    if (!body.value.stream) return this.completions.respondWithJson(call);
    return (await this.completions.respondWithStream(call, outgoing)) ?? RESPONSE_ALREADY_SENT;
  }

  private async callService(c: Context<Env>): Promise<Response> {
    const { incoming, outgoing } = c.env;
    const service = c.req.param('service') ?? '';
    const path = checkServicePath((incoming.url ?? '').slice(`/services/${service}`.length));
    if (path.isErr()) return refuseAndClose(path.error, outgoing);
    const read = await this.readValidated(incoming);
    if (read.isErr()) return refuseAndClose(read.error, outgoing);
    const id = this.options.backend.newRequestId();
    const idempotencyKey = incoming.headers['idempotency-key'];
    c.set('mayHaveRun', true);
    const result = await this.options.backend.callService(
      id,
      {
        key: extractKey(incoming),
        service,
        method: incoming.method ?? 'GET',
        path: path.value,
        headers: selectForwardedHeaders(incoming),
        idempotencyKey: typeof idempotencyKey === 'string' ? idempotencyKey : undefined,
        body: read.value,
        forwardedByHost: this.isForwardedByHost(incoming),
      },
      abortOnDisconnect(outgoing).signal,
    );
    if (result.isErr()) return refusalResponse(result.error);
    return (await this.services.respond(id, result.value, outgoing)) ?? RESPONSE_ALREADY_SENT;
  }

  /** Ends a request that has thrown: by a refusal where nothing was sent, else visibly broken. */
  private async endAfterFault(thrown: unknown, c: Context<Env>): Promise<Response> {
    reportFault('caller.request', thrown);
    const { outgoing } = c.env;
    if (outgoing.headersSent) {
      if (!outgoing.writableEnded) {
        await new ResponseWriter(outgoing, this.options.clock).breakOff();
      }
      return RESPONSE_ALREADY_SENT;
    }
    const text = 'The request could not be processed.';
    const mayHaveRun = c.get('mayHaveRun') === true;
    return refusalResponse((mayHaveRun ? outcomeUnknown : notRun)('internal', text));
  }

  private async readValidated(req: IncomingMessage): Promise<Result<Buffer, Refusal>> {
    const headers = checkHeaders(req);
    if (headers.isErr()) return headers.map(() => Buffer.alloc(0));
    const body = await this.bodies.read(req);
    return body.andThen((bytes) =>
      checkSyntax(req)
        .andThen(() => checkKeyLeak(extractKey(req), req, bytes))
        .andThen(() => ok(bytes)),
    );
  }

  private isForwardedByHost(req: IncomingMessage): boolean {
    const value = req.headers[HOP_HEADER];
    return typeof value === 'string' && this.options.isFleetCredential(value);
  }
}

/** Refuses a request that is not HTTP/1.1; its trailers are checked once its body has been read. */
async function refuseMalformed(
  { incoming, outgoing }: HttpBindings,
  next: () => Promise<void>,
): Promise<Response | void> {
  const syntax = checkSyntax(incoming);
  if (syntax.isErr()) return refuseAndClose(syntax.error, outgoing);
  return next();
}

/** Closes the connection, so that the unread rest of the body is not parsed as the next request. */
function refuseAndClose(refusal: Refusal, out: ServerResponse): Response {
  out.setHeader('connection', 'close');
  return refusalResponse(refusal);
}
