import type { Clock, Millis } from '@camphorvane/core';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';

/** Milliseconds that making a connection may take. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Connections kept to one upstream; a decode engine holds about twenty streams. */
const MAX_CONNECTIONS = 64;

/** What a call sends. */
export interface UpstreamCall {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
}

/** What a probe on a new connection found. */
export type ProbeOutcome = 'answers' | 'dead';

/**
 * The connections to one upstream.
 *
 * One request at a time runs on a connection (no pipelining), and undici destroys a connection
 * whose answer was not read to its end. So bytes of an abandoned answer can never be taken for the
 * answer of the next request.
 */
export class UpstreamConnections {
  private readonly origin: string;

  private readonly clock: Clock;

  private agent: Agent;

  /**
   * @param origin - Base URL of the upstream.
   * @param clock - Times probes.
   */
  constructor(origin: string, clock: Clock) {
    this.origin = origin;
    this.clock = clock;
    this.agent = UpstreamConnections.newAgent();
  }

  /** Gets the base URL. */
  getOrigin(): string {
    return this.origin;
  }

  /**
   * Sends a call.
   *
   * @param call - Method, path, headers, body.
   * @param signal - Ends the call and its connection.
   * @returns The answer's head with its body still to be read; rejects as undici does.
   */
  send(call: UpstreamCall, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    return request(new URL(call.path, this.origin), {
      method: call.method,
      headers: { ...call.headers },
      body: call.body,
      signal,
      dispatcher: this.agent,
      // Progress is judged on the clock of the host, by ProgressDeadline.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * Leaves all connections so far and tries a new one.
   *
   * After one connection went silent its siblings may have lost their path too. New calls go over
   * new connections at once; calls that still make progress on old ones are left to end.
   *
   * @param path - A cheap GET of the upstream.
   * @param timeoutMs - Milliseconds to wait for its answer.
   * @returns Whether the upstream answered, which tells a lost path from a dead upstream.
   */
  async renewAndProbe(path: string, timeoutMs: Millis): Promise<ProbeOutcome> {
    const old = this.agent;
    this.agent = UpstreamConnections.newAgent();
    void old.close();
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

  /** Ends all connections at once. */
  async destroy(): Promise<void> {
    await this.agent.destroy();
  }

  private static newAgent(): Agent {
    return new Agent({
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }
}
