import type { ExpectedVersion, HostEntry, PlatformError } from '@camphorvane/store';
import { Hono } from 'hono';
import type { Context } from 'hono';
import type { NodeEnv } from '../http/serveApp.ts';
import { closeConnection, disconnectSignal } from '../http/serveApp.ts';
import type { MemoryObjectStore } from './MemoryObjectStore.ts';

type Ctx = Context<NodeEnv>;

const DEFAULT_WATCH_WAIT_MS = 20_000;

function errorResponse(c: Ctx, error: PlatformError): Response {
  switch (error.type) {
    case 'conflict':
      return c.json(error.current === undefined ? {} : { current: error.current }, 412);
    case 'over_budget':
      c.header('retry-after', String(Math.ceil(error.retryAfterMs / 1000)));
      return c.json({ message: 'rate limit exceeded' }, 429);
    case 'invalid':
      return c.json({ message: error.message }, 422);
    case 'unavailable':
    default:
      // A client sees a lost answer as a broken connection.
      return error.message.includes('lost')
        ? closeConnection(c)
        : c.json({ message: error.message }, 503);
  }
}

/** Parses the conditional headers of a write; undefined if they are missing or malformed. */
function expectedOf(c: Ctx): ExpectedVersion | undefined {
  if (c.req.header('if-none-match') === '*') return 'absent';
  const version = /^"(\d+)"$/.exec(c.req.header('if-match') ?? '')?.[1];
  return version === undefined ? undefined : Number(version);
}

const PRECONDITION_REQUIRED = { message: 'If-Match or If-None-Match: * is required' };

/**
 * Creates the HTTP routes of a stand-in platform.
 *
 * @param store - The platform.
 * @returns The routes.
 */
export function storeRoutes(store: MemoryObjectStore): Hono<NodeEnv> {
  const app = new Hono<NodeEnv>();
  app.get('/v1/objects/:kind/:name', async (c) => {
    const result = await store.get(c.req.param('kind'), c.req.param('name'));
    return result.match(
      (object) =>
        object === undefined ? c.json({ message: 'no such object' }, 404) : c.json(object),
      (error) => errorResponse(c, error),
    );
  });
  app.put('/v1/objects/:kind/:name', async (c) => {
    const expected = expectedOf(c);
    if (expected === undefined) return c.json(PRECONDITION_REQUIRED, 428);
    const { kind, name } = c.req.param();
    const result = await store.put(kind, name, await c.req.json<unknown>(), expected);
    return result.match(
      (object) => c.json(object, expected === 'absent' ? 201 : 200),
      (error) => errorResponse(c, error),
    );
  });
  app.delete('/v1/objects/:kind/:name', async (c) => {
    const expected = expectedOf(c);
    if (typeof expected !== 'number') return c.json(PRECONDITION_REQUIRED, 428);
    const result = await store.remove(c.req.param('kind'), c.req.param('name'), expected);
    return result.match(
      () => c.body(null, 204),
      (error) => errorResponse(c, error),
    );
  });
  app.get('/v1/objects/:kind', async (c) => {
    const result = await store.list(c.req.param('kind'), c.req.query('prefix') ?? '');
    return result.match(
      (objects) => c.json({ objects }),
      (error) => errorResponse(c, error),
    );
  });
  app.get('/v1/watch/:kind', async (c) => {
    const after = Number(c.req.query('after') ?? 0);
    const waitMs = Number(c.req.query('waitMs') ?? DEFAULT_WATCH_WAIT_MS);
    const result = await store.watch(c.req.param('kind'), after, waitMs, disconnectSignal(c));
    return result.match(
      (batch) => c.json(batch),
      (error) => errorResponse(c, error),
    );
  });
  app.get('/v1/hosts', async (c) => {
    const result = await store.hosts();
    return result.match(
      (hosts) => c.json({ hosts }),
      (error) => errorResponse(c, error),
    );
  });
  app.put('/v1/hosts/:id', async (c) => {
    const entry = { ...(await c.req.json<HostEntry>()), id: c.req.param('id') };
    const result = await store.register(entry);
    return result.match(
      () => c.body(null, 204),
      (error) => errorResponse(c, error),
    );
  });
  app.delete('/v1/hosts/:id', async (c) => {
    const result = await store.deregister(c.req.param('id'));
    return result.match(
      () => c.body(null, 204),
      (error) => errorResponse(c, error),
    );
  });
  app.post('/test/faults', async (c) => {
    store.setFaults(await c.req.json());
    return c.json(store.faults);
  });
  return app;
}
