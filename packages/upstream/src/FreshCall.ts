import type { Clock, Millis } from '@camphorvane/core';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { buildConnector, Client } from 'undici';
import type { Dispatcher } from 'undici';
import type { UpstreamCall } from './UpstreamConnections.ts';
import type { UpstreamError } from './ModelEngine.ts';
import { ProgressDeadline } from './ProgressDeadline.ts';

/**
 * Milliseconds that making a connection may take. Zones are a millisecond apart, so an upstream that
 * does not accept within this time is down, dark or full.
 */
const CONNECT_TIMEOUT_MS: Millis = 400;

/** Codes of a connection that broke off; undici reports an orderly close with one of its own. */
const BROKEN_OFF: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT']);

/** Bounds of one call. */
export interface FreshCallBounds {
  /** Milliseconds until the head of the answer must be there. */
  readonly headMs: Millis;
  /** Milliseconds without a byte after which a body has gone silent. */
  readonly silenceMs: Millis;
}

/**
 * One call on a connection of its own.
 *
 * An upstream may send a second answer after a complete one, drop an idle connection unseen, or go
 * silent on it for good; on a kept connection each of these hits the next request. A connection costs
 * about two milliseconds, so a call that must not repeat, or that takes long, gets a new one, and
 * what arrives after its answer belongs to nobody.
 */
export class FreshCall {
  private readonly client: Client;

  private readonly deadline: ProgressDeadline;

  private readonly bounds: FreshCallBounds;

  private connected = false;

  private ended = false;

  /** Whether the connection broke off instead of being closed. */
  private wasReset = false;

  /**
   * @param origin - Base URL of the upstream.
   * @param clock - Judges progress.
   * @param bounds - How long the call may take.
   * @param signal - Ends the call and its connection.
   */
  constructor(origin: string, clock: Clock, bounds: FreshCallBounds, signal: AbortSignal) {
    this.bounds = bounds;
    this.client = new Client(origin, {
      pipelining: 1,
      connect: this.connector(),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.once('connect', () => {
      this.connected = true;
    });
    this.deadline = new ProgressDeadline(clock, bounds.headMs, signal);
  }

  /**
   * Makes one call and ends its connection, whatever comes of it.
   *
   * @param origin - Base URL of the upstream.
   * @param clock - Judges progress.
   * @param bounds - How long the call may take.
   * @param signal - Ends the call and its connection.
   * @param use - Sends the call and reads its answer.
   * @returns What `use` returns; what it throws as an error of the upstream.
   */
  static async run<T>(
    origin: string,
    clock: Clock,
    bounds: FreshCallBounds,
    signal: AbortSignal,
    use: (exchange: FreshCall) => Promise<Result<T, UpstreamError>>,
  ): Promise<Result<T, UpstreamError>> {
    const exchange = new FreshCall(origin, clock, bounds, signal);
    try {
      return await use(exchange);
    } catch (thrown) {
      return err(exchange.errorOf(thrown));
    } finally {
      exchange.close();
    }
  }

  /**
   * Sends the call.
   *
   * @param call - Method, path, headers, body.
   * @returns The answer's head with its body still to be read; rejects as undici does.
   */
  async send(call: UpstreamCall): Promise<Dispatcher.ResponseData> {
    const res = await this.client.request({
      method: call.method,
      path: call.path,
      headers: { ...call.headers },
      body: call.body,
      signal: this.deadline.signal(),
    });
    this.deadline.allow(this.bounds.silenceMs);
    return res;
  }

  /**
   * Reads a body to its end, in pieces as they come; each one moves the deadline.
   *
   * A body without a length ends with its connection, and undici takes a reset for that end too. An
   * upstream that crashes in the middle of such a body would then look as if it had sent all of it,
   * and its caller would get half an answer for a whole one. So a reset there is an error.
   */
  async *read(res: Dispatcher.ResponseData): AsyncGenerator<Uint8Array> {
    for await (const chunk of res.body) {
      this.deadline.progress();
      yield chunk as Uint8Array;
    }
    if (this.wasReset && endsWithConnection(res)) {
      throw new Error('connection reset in a body without a length');
    }
  }

  /**
   * Gets the error for what the call threw.
   *
   * Until the connection stands, not a byte was sent, so nothing can have run. After that the
   * upstream may have run the request although no answer came.
   */
  errorOf(thrown: unknown): UpstreamError {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    const dispatched = this.connected;
    switch (this.deadline.stopReason()) {
      case 'caller':
        return { type: 'cancelled', dispatched, message: 'cancelled' };
      case 'silent':
        return dispatched
          ? { type: 'silent', dispatched, message: 'no progress' }
          : { type: 'unreachable', dispatched, message: 'no connection in time' };
      case undefined:
        return dispatched
          ? { type: 'broken', dispatched, message }
          : { type: 'unreachable', dispatched, message };
      default:
        return { type: 'broken', dispatched: true, message };
    }
  }

  /** Connects as undici does, and sees how the connection ends. */
  private connector(): buildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    return (options, callback) =>
      connect(options, (...args) => {
        const [, socket] = args;
        socket?.once('error', (error: NodeJS.ErrnoException) => {
          this.wasReset ||= BROKEN_OFF.has(error.code ?? '');
        });
        // A reset that comes together with the last bytes is shown as an orderly end. The socket has no peer
        // then, while one that the peer has closed in order still has.
        socket?.once('end', () => {
          this.wasReset ||= socket.remoteAddress === undefined;
        });
        callback(...args);
      });
  }

  /** Ends the connection. */
  close(): void {
    if (this.ended) return;
    this.ended = true;
    this.deadline.close();
    void this.client.destroy();
  }
}

/**
 * Tells whether only the end of its connection ends a body.
 *
 * @param res - Head of the answer.
 * @returns True where neither a length nor chunks say how long it is.
 */
export function endsWithConnection(res: Pick<Dispatcher.ResponseData, 'headers'>): boolean {
  return (
    res.headers['content-length'] === undefined && res.headers['transfer-encoding'] === undefined
  );
}
