import { Hono } from 'hono';
import type { NodeEnv } from '../http/serveApp.ts';
import { closeConnection, disconnectSignal } from '../http/serveApp.ts';
import { ATTEMPT_HEADER } from './ServiceCore.ts';
import type { ServiceCore } from './ServiceCore.ts';

const CALL_TIMEOUT_MS = 30_000;

/**
 * Creates the HTTP routes of a stand-in service.
 *
 * @param core - The service.
 * @returns The routes.
 */
export function serviceRoutes(core: ServiceCore): Hono<NodeEnv> {
  const app = new Hono<NodeEnv>();
  app.get('/test/records', (c) => c.json(core.records));
  app.post('/test/faults', async (c) => {
    core.setFaults(await c.req.json());
    return c.json(core.faults);
  });
  app.all('*', async (c) => {
    const url = new URL(c.req.url);
    const headers = c.req.header();
    const result = await core.call(
      {
        attempt: headers[ATTEMPT_HEADER] ?? '',
        method: c.req.method,
        path: `${url.pathname}${url.search}`,
        headers,
        body: new Uint8Array(await c.req.arrayBuffer()),
        class: 'certificate',
        timeoutMs: CALL_TIMEOUT_MS,
      },
      disconnectSignal(c),
    );
    if (result.isOk()) {
      return new Response(Buffer.from(result.value.body), { headers: result.value.headers });
    }
    return result.error.type === 'rejected'
      ? c.json({ message: result.error.message }, 503)
      : closeConnection(c);
  });
  return app;
}
