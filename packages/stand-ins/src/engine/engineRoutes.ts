import type {
  DecodeCommand,
  DecodeEvent,
  EngineOrder,
  PrefillCommand,
  TransferCommand,
  UpstreamError,
} from '@camphorvane/upstream';
import { Hono } from 'hono';
import type { Context } from 'hono';
import type { Result } from 'neverthrow';
import type { NodeEnv } from '../http/serveApp.ts';
import { closeConnection, disconnectSignal } from '../http/serveApp.ts';
import type { EngineCore } from './EngineCore.ts';

type Ctx = Context<NodeEnv>;
type Events = AsyncIterator<Result<DecodeEvent, UpstreamError>>;

/** Answers a failed command: JSON if it was rejected, otherwise closes the connection. */
function errorResponse(c: Ctx, error: UpstreamError, status: 409 | 422 = 422): Response {
  if (error.type !== 'rejected') return closeConnection(c);
  return c.json({ message: error.message }, status);
}

/** Encodes a decode stream as NDJSON; closes the connection if the stream fails. */
function ndjsonBody(c: Ctx, first: DecodeEvent, rest: Events): ReadableStream<Uint8Array> {
  const encode = (event: DecodeEvent): Uint8Array => Buffer.from(`${JSON.stringify(event)}\n`);
  return new ReadableStream<Uint8Array>({
    start: (out) => out.enqueue(encode(first)),
    pull: async (out) => {
      const next = await rest.next();
      if (next.done) out.close();
      else if (next.value.isOk()) out.enqueue(encode(next.value.value));
      else c.env.incoming.socket.destroy();
    },
    cancel: async () => {
      await rest.return?.();
    },
  });
}

async function decode(core: EngineCore, c: Ctx): Promise<Response> {
  const cmd = await c.req.json<DecodeCommand>();
  const events = core.decode(cmd, disconnectSignal(c))[Symbol.asyncIterator]();
  const first = await events.next();
  if (first.done) return closeConnection(c);
  if (first.value.isErr()) return errorResponse(c, first.value.error);
  const body = ndjsonBody(c, first.value.value, events);
  return c.body(body, 200, { 'content-type': 'application/x-ndjson' });
}

/**
 * Creates the HTTP routes of a stand-in engine.
 *
 * @param core - The engine.
 * @returns The routes.
 */
export function engineRoutes(core: EngineCore): Hono<NodeEnv> {
  const app = new Hono<NodeEnv>();
  app.post('/v1/prefill', async (c) => {
    const result = await core.prefill(await c.req.json<PrefillCommand>(), disconnectSignal(c));
    return result.match(
      (value) => c.json(value),
      (error) => errorResponse(c, error),
    );
  });
  app.post('/v1/transfer', async (c) => {
    const result = await core.transfer(await c.req.json<TransferCommand>(), disconnectSignal(c));
    return result.match(
      () => c.body(null, 204),
      (error) => errorResponse(c, error),
    );
  });
  app.post('/v1/decode', (c) => decode(core, c));
  app.post('/v1/cancel', async (c) => {
    const { attempt } = await c.req.json<{ attempt: string }>();
    const result = await core.cancel(attempt);
    return result.match(
      () => c.body(null, 204),
      (error) => errorResponse(c, error),
    );
  });
  app.get('/v1/load', async (c) => {
    const result = await core.load();
    return result.match(
      (value) => c.json(value),
      (error) => errorResponse(c, error),
    );
  });
  app.post('/v1/orders', async (c) => {
    const result = await core.order(await c.req.json<EngineOrder>());
    return result.match(
      () => c.body(null, 204),
      (error) => errorResponse(c, error, 409),
    );
  });
  app.get('/v1/cache-events', (c) => c.json(core.cacheEvents(Number(c.req.query('after') ?? 0))));
  app.get('/v1/kv/*', (c) => {
    const handle = decodeURIComponent(c.req.path.slice('/v1/kv/'.length));
    const cache = core.exportKv(handle);
    return cache === undefined ? c.json({ message: 'gone' }, 404) : c.json(cache);
  });
  app.get('/test/records', (c) => c.json(core.records));
  app.get('/test/load', (c) => c.json(core.currentLoad()));
  app.post('/test/faults', async (c) => {
    core.setFaults(await c.req.json());
    return c.json(core.faults);
  });
  app.post('/test/crash', (c) => {
    core.crash();
    return c.body(null, 204);
  });
  return app;
}
