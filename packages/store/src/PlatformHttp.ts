import type { Clock, Millis } from '@camphorvane/core';
import { ResultAsync, err, errAsync, ok, type Result } from 'neverthrow';
import { Agent, request, type Dispatcher } from 'undici';
import type { PlatformError } from './ObjectStore.ts';

/** One HTTP call to the platform. */
export interface PlatformCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path and query below the base URL. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  /** Milliseconds after which the call is given up. */
  readonly timeoutMs: Millis;
  /** Ends the call early. */
  readonly signal?: AbortSignal;
}

/** A whole answer of the platform. */
export interface PlatformAnswer {
  readonly status: number;
  readonly retryAfterMs: Millis;
  /** The parsed body; undefined where there is none. */
  readonly body: unknown;
}

/** Settings of {@link PlatformHttp}. */
export interface PlatformHttpOptions {
  /** Base URL of the platform, such as `http://127.0.0.1:9000`. */
  readonly baseUrl: string;
  readonly clock: Clock;
  /** Connections to the platform; one agent of this size is made unless a dispatcher is given. */
  readonly connections?: number;
  readonly dispatcher?: Dispatcher;
}

/**
 * Largest answer that is read, in bytes. A value holds a megabyte and a list holds several; a
 * platform that answers without end must not fill a host's memory.
 */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Used where the platform names no time with a 429, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Connections of one host to the platform: a few watches wait while short calls go on. */
const DEFAULT_CONNECTIONS = 16;

/**
 * Milliseconds that making a connection may take. A host that is cut off sends its opening packet in
 * vain, and the system sends it again after seconds only; a new connection gets through at once when
 * the cut has healed.
 */
const CONNECT_TIMEOUT_MS: Millis = 500;

/** Carries single calls to the platform over HTTP, with a deadline on the project's clock. */
export class PlatformHttp {
  private readonly baseUrl: string;

  private readonly clock: Clock;

  private readonly connections: number;

  /** Connections that were given from outside, which are not this class's to renew. */
  private readonly given: Dispatcher | undefined;

  private dispatcher: Dispatcher;

  /** @param options - Where the platform is and what the calls run on. */
  constructor(options: PlatformHttpOptions) {
    this.baseUrl = options.baseUrl.replace(/\/+$/, '');
    this.clock = options.clock;
    this.connections = options.connections ?? DEFAULT_CONNECTIONS;
    this.given = options.dispatcher;
    this.dispatcher = options.dispatcher ?? this.newAgent();
  }

  /**
   * Makes one call and reads its whole answer.
   *
   * @param call - What to send.
   * @returns The answer, or `unavailable` when there is none; a write may have taken effect then.
   */
  call(call: PlatformCall): ResultAsync<PlatformAnswer, PlatformError> {
    if (call.signal?.aborted) return errAsync(unavailable('the call was ended by its caller'));
    return new ResultAsync(this.run(call));
  }

  /** Closes the connections; calls under way end with `unavailable`. */
  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }

  private async run(call: PlatformCall): Promise<Result<PlatformAnswer, PlatformError>> {
    const abort = new AbortController();
    const end = (): void => abort.abort();
    // A connection can go silent for good; the deadline on our own clock is what ends the call.
    const cancel = this.clock.after(call.timeoutMs, end);
    call.signal?.addEventListener('abort', end, { once: true });
    try {
      return ok(await Promise.race([this.exchange(call, abort.signal), rejectOn(abort.signal)]));
    } catch (error) {
      if (abort.signal.aborted) this.renew();
      return err(unavailable(describe(error, abort.signal.aborted, call)));
    } finally {
      cancel();
      call.signal?.removeEventListener('abort', end);
    }
  }

  /**
   * Leaves all connections so far; calls that are under way on them may end.
   *
   * Where one connection has gone silent, something on the way has lost track of it, and most likely
   * of its siblings too. Each call that tried one of them would wait for its deadline.
   */
  private renew(): void {
    if (this.given !== undefined) return;
    const old = this.dispatcher;
    this.dispatcher = this.newAgent();
    void old.close();
  }

  private newAgent(): Agent {
    return new Agent({
      connections: this.connections,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  private async exchange(call: PlatformCall, signal: AbortSignal): Promise<PlatformAnswer> {
    const hasBody = call.body !== undefined;
    const res = await request(`${this.baseUrl}${call.path}`, {
      method: call.method,
      headers: hasBody ? { ...call.headers, 'content-type': 'application/json' } : call.headers,
      body: hasBody ? JSON.stringify(call.body) : undefined,
      dispatcher: this.dispatcher,
      signal,
    });
    const text = await readBounded(res.body);
    return {
      status: res.statusCode,
      retryAfterMs: retryAfter(res.headers['retry-after']),
      body: text === '' ? undefined : parseJson(text),
    };
  }
}

/**
 * Rejects when a signal is aborted. undici takes an abort into account only once a request has its
 * connection, so a call that waits for one would outlive its deadline by seconds, and a change of the
 * configuration would be seen that much later.
 */
function rejectOn(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => reject(new Error('ended by its deadline')), {
      once: true,
    });
  });
}

/** Makes the error for a call that got no answer. */
export function unavailable(message: string): PlatformError {
  return { type: 'unavailable', message };
}

async function readBounded(body: AsyncIterable<unknown>): Promise<string> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of body) {
    const bytes = part as Buffer;
    size += bytes.length;
    if (size > MAX_ANSWER_BYTES) throw new Error('the answer is too large');
    parts.push(bytes);
  }
  return Buffer.concat(parts).toString('utf8');
}

/** A body that is no JSON (a proxy's error page) counts as none; the schemas reject it later. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function retryAfter(header: string | string[] | undefined): Millis {
  const seconds = Number(Array.isArray(header) ? header[0] : header);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : DEFAULT_RETRY_AFTER_MS;
}

function describe(error: unknown, aborted: boolean, call: PlatformCall): string {
  if (call.signal?.aborted) return 'the call was ended by its caller';
  if (aborted) return `no answer within ${call.timeoutMs} ms`;
  return error instanceof Error ? error.message : String(error);
}
