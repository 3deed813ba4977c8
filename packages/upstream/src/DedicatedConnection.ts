import type { Socket } from 'node:net';
import type { Clock, Millis } from '@camphorvane/core';
import { runInBackground, untilArrivedIsRead } from '@camphorvane/core';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { buildConnector, Client, errors } from 'undici';
import type { Dispatcher } from 'undici';
import type { ConnectAttempt } from './ConnectObserver.ts';
import { FramingBound } from './FramingBound.ts';
import type { UpstreamCall } from './UpstreamConnections.ts';
import type { UpstreamError } from './ModelEngine.ts';
import { PacedSocket } from './PacedSocket.ts';
import { ProgressDeadline } from './ProgressDeadline.ts';
import { readBounded, ResponseOverrunError } from './readBounded.ts';

/**
 * Connect timeout in milliseconds. Latency between zones is about 1 ms, so an upstream that takes longer
 * to accept is down, unreachable or has a full accept queue.
 */
const CONNECT_TIMEOUT_MS: Millis = 400;

/** Socket errors of an aborted connection; undici reports an orderly close with a code of its own. */
const RESET_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT']);

/** Timeouts of one call, the bound of what is read ahead, and who is told of the connection. */
export interface CallTimeouts {
  /** Milliseconds within which the response headers must arrive. */
  readonly headersTimeoutMs: Millis;
  /** Milliseconds without a byte of the body after which the call times out. */
  readonly bodyTimeoutMs: Millis;
  /** Milliseconds within which the call must end, unless its connection is detached before; absent for any time. */
  readonly totalTimeoutMs?: Millis;
  /** Bytes that are read ahead of the reader before the connection pauses; undici's default if absent. */
  readonly readAheadBytes?: number;
  /** Called when the connection is attempted; see `ConnectObserver.begin`. */
  readonly observeConnect?: (giveUp: () => void) => ConnectAttempt;
  /** Ends a call that has not been sent yet; one that has been sent goes on. */
  readonly unsentSignal?: AbortSignal;
}

/**
 * Runs one call on a dedicated connection.
 *
 * On a keep-alive connection the next request suffers when an upstream sends a second response after a
 * complete one, drops the idle connection without a FIN, or stops responding on it. A new connection
 * costs about 2 ms, so calls that must not be retried and long calls get one, and bytes after the
 * response are discarded.
 */
export class DedicatedConnection {
  private readonly client: Client;

  private readonly clock: Clock;

  private readonly deadline: ProgressDeadline;

  private readonly timeouts: CallTimeouts;

  private readonly framing = new FramingBound(() => {
    this.overrun = new ResponseOverrunError('framing');
    runInBackground('upstream.connection', () => this.client.destroy(this.overrun ?? null));
  });

  private overrun: ResponseOverrunError | undefined;

  private connected = false;

  /** The attempt to connect, until it has ended. */
  private attempt: ConnectAttempt | undefined;

  private closed = false;

  private isDetached = false;

  /** True if the connection was aborted rather than closed in order. */
  private wasReset = false;

  /**
   * @param origin - Base URL of the upstream.
   * @param clock - Times the call.
   * @param timeouts - Timeouts of the call.
   * @param signal - Aborts the call and closes its connection.
   */
  constructor(origin: string, clock: Clock, timeouts: CallTimeouts, signal: AbortSignal) {
    this.clock = clock;
    this.timeouts = timeouts;
    this.client = new Client(origin, {
      pipelining: 1,
      connect: this.connector(),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.once('connect', () => {
      this.connected = true;
      this.endAttempt('connected');
    });
    this.deadline = new ProgressDeadline(clock, timeouts.headersTimeoutMs, signal);
    this.deadline.setTotalMs(timeouts.totalTimeoutMs);
  }

  /**
   * Makes one call and closes its connection afterwards, unless it was detached.
   *
   * @param origin - Base URL of the upstream.
   * @param clock - Times the call.
   * @param timeouts - Timeouts of the call.
   * @param signal - Aborts the call and closes its connection.
   * @param exchange - Sends the call and reads its response.
   * @returns The result of `exchange`; what it throws is returned as an upstream error.
   */
  static async run<T>(
    origin: string,
    clock: Clock,
    timeouts: CallTimeouts,
    signal: AbortSignal,
    exchange: (connection: DedicatedConnection) => Promise<Result<T, UpstreamError>>,
  ): Promise<Result<T, UpstreamError>> {
    const connection = new DedicatedConnection(origin, clock, timeouts, signal);
    try {
      return await exchange(connection);
    } catch (thrown) {
      return err(connection.classifyError(thrown));
    } finally {
      if (!connection.isDetached) connection.close();
    }
  }

  /**
   * Leaves the connection open after {@link run}, until its reader calls {@link close}. What is left of the body is
   * read at the pace of its receiver, so that only its progress is timed from now on.
   */
  detach(): void {
    this.isDetached = true;
    this.deadline.setTotalMs(undefined);
  }

  /**
   * Sends the call.
   *
   * @param call - Method, path, headers, body.
   * @returns Status and headers, with the body still to be read; rejects with the errors of undici.
   */
  async send(call: UpstreamCall): Promise<Dispatcher.ResponseData> {
    const { readAheadBytes, observeConnect } = this.timeouts;
    this.attempt = observeConnect?.(() => {
      runInBackground('upstream.connection', () => this.client.destroy(new Error('given up')));
    });
    const res = await this.client.request({
      method: call.method,
      path: call.path,
      headers: { ...call.headers },
      body: call.body,
      signal: this.deadline.getSignal(),
      onInfo: () => this.framing.recordInterim(),
      ...(readAheadBytes === undefined ? {} : { highWaterMark: readAheadBytes }),
    });
    this.deadline.setTimeoutMs(this.timeouts.bodyTimeoutMs);
    return res;
  }

  /**
   * Reads a body to its end, chunk by chunk; each chunk resets the timeout.
   *
   * A body without a length ends when its connection closes, and undici treats a reset as that end too.
   * A reset is therefore an error here: otherwise a truncated body of an upstream that crashed would be
   * delivered as complete.
   */
  async *read(res: Dispatcher.ResponseData): AsyncGenerator<Uint8Array> {
    for await (const chunk of res.body) {
      this.deadline.recordProgress();
      this.framing.recordBody((chunk as Uint8Array).length);
      yield chunk as Uint8Array;
    }
    if (this.wasReset && endsWithConnection(res)) {
      throw new Error('connection reset while reading a body without a length');
    }
  }

  /**
   * Reads a body that is no stream of events. An upstream that sends a byte now and then makes progress
   * without end, so the body is refused once its reader has waited for the body timeout in total.
   *
   * @param res - The response.
   * @returns The chunks; throws {@link ResponseOverrunError} with the first chunk that is late.
   */
  async *readInTime(res: Dispatcher.ResponseData): AsyncGenerator<Uint8Array> {
    let leftMs = this.timeouts.bodyTimeoutMs;
    let waitingSince = this.clock.now();
    for await (const chunk of this.read(res)) {
      leftMs -= this.clock.now() - waitingSince;
      if (leftMs < 0) throw new ResponseOverrunError('time');
      yield chunk;
      waitingSince = this.clock.now();
    }
  }

  /**
   * Reads the body of a response that is not passed on, as text.
   *
   * @param res - The response.
   * @param maxBytes - Largest accepted body, in bytes.
   * @returns The text; rejects where the body is larger or broke off.
   */
  async readText(res: Dispatcher.ResponseData, maxBytes: number): Promise<string> {
    return (await readBounded(this.readInTime(res), maxBytes)).toString('utf8');
  }

  /**
   * Reads a body of which nothing is used; one that breaks off is as good as a whole one.
   *
   * @param res - The response.
   * @param maxBytes - Largest accepted body, in bytes.
   * @returns When it is read; rejects where it is larger.
   */
  async discard(res: Dispatcher.ResponseData, maxBytes: number): Promise<void> {
    try {
      await readBounded(this.readInTime(res), maxBytes);
    } catch (thrown) {
      if (this.overrun !== undefined || thrown instanceof ResponseOverrunError) throw thrown;
    }
  }

  /**
   * Maps what the call threw to an upstream error.
   *
   * Nothing is sent before the connection is established, so the request can't have run. After that the
   * upstream may have run it even without a response.
   *
   * @param thrown - What {@link send} or {@link read} threw.
   * @returns The typed error.
   */
  classifyError(thrown: unknown): UpstreamError {
    const overrun = this.overrun ?? thrown;
    if (overrun instanceof ResponseOverrunError || overrun instanceof errors.HeadersOverflowError) {
      const bound = overrun instanceof ResponseOverrunError ? overrun.bound : 'framing';
      const { message } = overrun;
      return { type: 'broken', dispatched: true, answered: true, overrun: bound, message };
    }
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    if (thrown instanceof errors.InvalidArgumentError) {
      // The call itself can't be sent, to this upstream or to any other.
      this.endAttempt('cancelled');
      return { type: 'rejected', dispatched: false, message };
    }
    const dispatched = this.connected;
    const isAbandoned = !dispatched && this.timeouts.unsentSignal?.aborted === true;
    const reason = isAbandoned ? 'caller' : this.deadline.getAbortReason();
    if (!dispatched) this.endAttempt(reason === 'caller' ? 'cancelled' : 'failed');
    switch (reason) {
      case 'caller':
        return { type: 'cancelled', dispatched, message: 'cancelled' };
      case 'silent':
        return dispatched
          ? { type: 'silent', dispatched, message: 'no progress' }
          : { type: 'unreachable', dispatched, message: 'connect timeout' };
      case undefined:
        return dispatched
          ? { type: 'broken', dispatched, message }
          : { type: 'unreachable', dispatched, message };
      default:
        return { type: 'broken', dispatched: true, message };
    }
  }

  /** Connects as undici does, and records whether the connection is reset. */
  private connector(): buildConnector.connector {
    const { readAheadBytes } = this.timeouts;
    const paced = readAheadBytes === undefined ? undefined : new PacedSocket();
    // undici passes the options of its connector on to `net.connect`, though its types don't say so.
    const onread = paced === undefined ? {} : { onread: paced.onread };
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS, ...onread });
    return (options, callback) =>
      connect(options, (...args) => {
        const [, socket] = args;
        const isAborted = (): boolean =>
          this.closed ||
          this.deadline.getSignal().aborted ||
          this.timeouts.unsentSignal?.aborted === true;
        // undici sends the request as soon as it has the socket.
        const handOver = async (give: () => void): Promise<void> => {
          await untilArrivedIsRead();
          if (!isAborted() && socket?.destroyed !== true) {
            give();
            return;
          }
          socket?.destroy();
          callback(new Error('the connection was not used'), null);
        };
        socket?.once('error', (error: NodeJS.ErrnoException) => {
          this.wasReset ||= RESET_CODES.has(error.code ?? '');
        });
        // Node reports a reset that arrives with the last bytes as an orderly end; the socket then has no
        // remote address, unlike one that the remote side has closed in order.
        socket?.once('end', () => {
          this.wasReset ||= socket.remoteAddress === undefined;
        });
        if (!socket) {
          callback(...args);
          return;
        }
        runInBackground('upstream.connection', () =>
          handOver(() => {
            const stream = paced?.attach(socket) ?? socket;
            // undici uses only the stream of a socket, and `ref` and `unref`.
            callback(null, stream as unknown as Socket);
            // Bytes are counted after the parser has had them.
            this.framing.watch(socket, stream);
          }),
        );
      });
  }

  /** Closes the connection; idempotent. */
  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.endAttempt('cancelled');
    this.deadline.close();
    runInBackground('upstream.connection', () => this.client.destroy());
  }

  private endAttempt(end: keyof ConnectAttempt): void {
    const { attempt } = this;
    this.attempt = undefined;
    attempt?.[end]();
  }
}

/**
 * Tells whether a body is delimited only by the close of its connection.
 *
 * @param res - The response headers.
 * @returns True without Content-Length and chunks; other transfer codings do not mark the end.
 */
export function endsWithConnection(res: Pick<Dispatcher.ResponseData, 'headers'>): boolean {
  const codings = res.headers['transfer-encoding'];
  if (codings === undefined) return res.headers['content-length'] === undefined;
  return !/(?:^|[\s,])chunked\s*$/i.test(String(codings));
}
