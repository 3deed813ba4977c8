import type { AddressInfo } from 'node:net';
import { serve } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import type { Context, Hono } from 'hono';

/** The environment that the Node server gives each route. */
export interface NodeEnv {
  readonly Bindings: HttpBindings;
}

/** A stand-in that listens on loopback. */
export interface RunningApp {
  readonly port: number;
  /** Closes the listener and all connections. */
  close(): Promise<void>;
}

/**
 * Serves an application on loopback.
 *
 * @param app - The routes.
 * @param port - 0 takes any free port.
 * @returns The port in use and a function that ends it.
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
 * Gets a signal that aborts when the client closes the connection before the answer is whole.
 *
 * @param c - The request's context.
 * @returns The signal.
 */
export function clientGone(c: Context<NodeEnv>): AbortSignal {
  const gone = new AbortController();
  const { outgoing } = c.env;
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) gone.abort();
  });
  return gone.signal;
}

/**
 * Breaks the connection without an answer, as a process that dies does.
 *
 * @param c - The request's context.
 * @returns A response that never reaches the client.
 */
export function breakConnection(c: Context<NodeEnv>): Response {
  c.env.incoming.socket.destroy();
  return c.body(null);
}
