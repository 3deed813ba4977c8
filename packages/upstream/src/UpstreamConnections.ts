import type { Clock, Millis } from '@camphorvane/core';
import { runInBackground } from '@camphorvane/core';
import { Pool, request } from 'undici';
import type { Dispatcher } from 'undici';
import { PooledClient } from './PooledClient.ts';

/** Most connections to one upstream; a decode engine runs about 20 streams at once. */
const MAX_CONNECTIONS = 64;

/** An HTTP request to an upstream. */
export interface UpstreamCall {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

/** Whether the upstream responded to a probe on a new connection. */
export type ProbeOutcome = 'answers' | 'dead';

/**
 * The connection pool of one upstream.
 *
 * Requests are not pipelined, and undici destroys a connection whose response was not read to its end,
 * so bytes of an abandoned response are never read as the next response. A body without a length ends when
 * its connection is closed in order, and rejects when it is reset.
 */
export class UpstreamConnections {
  private readonly origin: string;

  private readonly clock: Clock;

  private pool: Pool;

  /**
   * @param origin - Base URL of the upstream.
   * @param clock - Times probes.
   */
  constructor(origin: string, clock: Clock) {
    this.origin = origin;
    this.clock = clock;
    this.pool = this.createPool();
  }

  /** Gets the base URL. */
  getOrigin(): string {
    return this.origin;
  }

  /**
   * Sends a call.
   *
   * @param call - Method, path, headers, body.
   * @param signal - Aborts the call and closes its connection.
   * @returns Status and headers, with the body still to be read; rejects with the errors of undici.
   */
  send(call: UpstreamCall, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    return request(new URL(call.path, this.origin), {
      method: call.method,
      headers: { ...call.headers },
      body: call.body,
      signal,
      dispatcher: this.pool,
      // ProgressDeadline applies timeouts, on the clock of the host.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * Replaces the connection pool and sends a probe over the new one.
   *
   * When one connection times out, others in the pool may have lost their path too. New calls use new
   * connections; calls in flight on old ones may finish.
   *
   * @param path - Path of a cheap GET endpoint.
   * @param timeoutMs - Timeout of the probe, in milliseconds.
   * @returns `answers` where only the old path was lost, `dead` where the upstream does not respond.
   */
  async renewAndProbe(path: string, timeoutMs: Millis): Promise<ProbeOutcome> {
    const old = this.pool;
    this.pool = this.createPool();
    runInBackground('upstream.connection', () => old.close());
    const abort = new AbortController();
    const cancel = this.clock.after(timeoutMs, () => abort.abort());
    try {
      const res = await this.send({ method: 'GET', path, headers: {} }, abort.signal);
      await res.body.dump();
      return 'answers';
    } catch {
      return 'dead';
    } finally {
      cancel();
    }
  }

  /** Closes all connections at once. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }

  private createPool(): Pool {
    return new Pool(new URL(this.origin).origin, {
      connections: MAX_CONNECTIONS,
      factory: (origin) => new PooledClient(origin),
    });
  }
}
