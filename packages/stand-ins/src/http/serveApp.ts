import type { AddressInfo } from 'node:net';
import { serve } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import type { Context, Hono } from 'hono';

/** Environment that the Node server passes to each route. */
export interface NodeEnv {
  readonly Bindings: HttpBindings;
}

/** An HTTP server that listens on loopback. */
export interface RunningApp {
  readonly port: number;
  /** Closes the listener and all connections. */
  close(): Promise<void>;
}

/**
 * Serves an application on loopback.
 *
 * @param app - The routes.
 * @param port - Port to listen on; 0 takes a free one.
 * @returns The running server.
 */
export function serveApp(app: Hono<NodeEnv>, port: number): Promise<RunningApp> {
  return new Promise((resolve) => {
    const server = serve({ fetch: app.fetch, port, hostname: '127.0.0.1' }, (info: AddressInfo) => {
      resolve({
        port: info.port,
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            if ('closeAllConnections' in server) server.closeAllConnections();
          }),
      });
    });
  });
}

/**
 * Gets a signal that aborts if the client disconnects before the response is complete.
 *
 * @param c - Context of the request.
 * @returns The signal.
 */
export function disconnectSignal(c: Context<NodeEnv>): AbortSignal {
  const disconnected = new AbortController();
  const { outgoing } = c.env;
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) disconnected.abort();
  });
  return disconnected.signal;
}

/**
 * Closes the connection without a response, as a crashed process does.
 *
 * @param c - Context of the request.
 * @returns A placeholder response that never reaches the client.
 */
export function closeConnection(c: Context<NodeEnv>): Response {
  c.env.incoming.socket.destroy();
  return c.body(null);
}
