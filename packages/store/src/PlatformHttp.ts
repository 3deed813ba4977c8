import type { Clock, Millis } from '@camphorvane/core';
import { ByteAccumulator, runInBackground } from '@camphorvane/core';
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
  /** Timeout in milliseconds. */
  readonly timeoutMs: Millis;
  /** Largest accepted body of the response, in bytes; {@link MAX_RESPONSE_BYTES} if absent. */
  readonly maxResponseBytes?: number;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
}

/** A complete response of the platform. */
export interface PlatformResponse {
  readonly status: number;
  /** Value of the `retry-after` header, in milliseconds. */
  readonly retryAfterMs: Millis;
  /** The parsed body; undefined where it is empty or no JSON. */
  readonly body: unknown;
}

/** Settings of {@link PlatformHttp}. */
export interface PlatformHttpOptions {
  /** Base URL of the platform, such as `http://127.0.0.1:9000`. */
  readonly baseUrl: string;
  readonly clock: Clock;
  /** Maximum number of connections; ignored where a dispatcher is set. */
  readonly connections?: number;
  readonly dispatcher?: Dispatcher;
}

/**
 * Maximum size of a response, in bytes. A value holds up to 1 MB and a list several of them; an
 * endless response must not exhaust a host's memory.
 */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Interim responses before one response; the platform sends none by itself, a proxy may send a few. */
const MAX_INTERIM_RESPONSES = 100;

/** Retry delay where the platform sends no `retry-after` header, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Default number of connections; leaves room for short calls beside a few waiting watches. */
const DEFAULT_CONNECTIONS = 16;

/**
 * Connect timeout in milliseconds. During a network partition the SYN packet is lost, and the system
 * retransmits it only after seconds; a new connection succeeds as soon as the partition has healed.
 */
const CONNECT_TIMEOUT_MS: Millis = 500;

/** Makes HTTP calls to the platform, with timeouts on the given clock. */
export class PlatformHttp {
  private readonly baseUrl: string;

  private readonly clock: Clock;

  private readonly connections: number;

  /** Dispatcher from the options, which this class never replaces. */
  private readonly fixedDispatcher: Dispatcher | undefined;

  private dispatcher: Dispatcher;

  /** @param options - The address of the platform, the clock and the connections. */
  constructor(options: PlatformHttpOptions) {
    this.baseUrl = options.baseUrl.replace(/\/+$/, '');
    this.clock = options.clock;
    this.connections = options.connections ?? DEFAULT_CONNECTIONS;
    this.fixedDispatcher = options.dispatcher;
    this.dispatcher = options.dispatcher ?? this.newAgent();
  }

  /**
   * Makes one call and reads the complete response.
   *
   * @param call - The request.
   * @returns The response, or `unavailable` without one; a write may have taken effect then.
   */
  call(call: PlatformCall): ResultAsync<PlatformResponse, PlatformError> {
    if (call.signal?.aborted) return errAsync(unavailable('the call was aborted by its caller'));
    return new ResultAsync(this.run(call));
  }

  /** Closes the connections; calls in flight fail with `unavailable`. */
  async close(): Promise<void> {
    await this.dispatcher.destroy();
  }

  private async run(call: PlatformCall): Promise<Result<PlatformResponse, PlatformError>> {
    const abort = new AbortController();
    const end = (): void => abort.abort();
    // A dead connection reports no error, so only this timer ends the call.
    const cancel = this.clock.after(call.timeoutMs, end);
    call.signal?.addEventListener('abort', end, { once: true });
    try {
      return ok(await Promise.race([this.exchange(call, abort.signal), rejectOn(abort.signal)]));
    } catch (error) {
      if (abort.signal.aborted) this.replaceConnections();
      return err(unavailable(describe(error, abort.signal.aborted, call)));
    } finally {
      cancel();
      call.signal?.removeEventListener('abort', end);
    }
  }

  /**
   * Replaces the connection pool; calls in flight on the old connections may complete.
   *
   * Where one connection is dead, a middlebox has probably dropped its state and that of the other
   * connections too. Each call on one of them would wait for its timeout.
   */
  private replaceConnections(): void {
    if (this.fixedDispatcher !== undefined) return;
    const old = this.dispatcher;
    this.dispatcher = this.newAgent();
    runInBackground('store.connection', () => old.close());
  }

  private newAgent(): Agent {
    return new Agent({
      connections: this.connections,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  private async exchange(call: PlatformCall, signal: AbortSignal): Promise<PlatformResponse> {
    const hasBody = call.body !== undefined;
    let interimResponses = 0;
    const res = await request(`${this.baseUrl}${call.path}`, {
      method: call.method,
      headers: hasBody ? { ...call.headers, 'content-type': 'application/json' } : call.headers,
      body: hasBody ? JSON.stringify(call.body) : undefined,
      dispatcher: this.dispatcher,
      signal,
      onInfo: () => {
        interimResponses += 1;
        // undici aborts the request with what is thrown here.
        if (interimResponses > MAX_INTERIM_RESPONSES)
          throw new Error('interim responses without end');
      },
    });
    const text = await readBounded(res.body, call.maxResponseBytes ?? MAX_RESPONSE_BYTES);
    return {
      status: res.statusCode,
      retryAfterMs: retryAfter(res.headers['retry-after']),
      body: text === '' ? undefined : parseJson(text),
    };
  }
}

/**
 * Rejects when a signal is aborted. undici handles an abort only once a request has a connection, so a
 * call that waits for a connection would exceed its timeout by seconds and delay a configuration
 * change as long.
 */
function rejectOn(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener('abort', () => reject(new Error('the call was aborted')), {
      once: true,
    });
  });
}

/** Creates the error of a call without a response. */
export function unavailable(message: string): PlatformError {
  return { type: 'unavailable', message };
}

/** Creates the error of a call whose response is a failure of the platform, or can't be read. */
export function failedResponse(message: string): PlatformError {
  return { type: 'unavailable', message, hasResponded: true };
}

async function readBounded(body: AsyncIterable<unknown>, maxBytes: number): Promise<string> {
  const read = new ByteAccumulator();
  for await (const part of body) {
    const bytes = part as Buffer;
    if (read.length + bytes.length > maxBytes) {
      throw new Error('the response exceeds the size limit');
    }
    read.add(bytes);
  }
  return read.take().toString('utf8');
}

/** Parses a body; one that is no JSON, such as a proxy's error page, is left to the schemas to reject. */
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
  if (call.signal?.aborted) return 'the call was aborted by its caller';
  if (aborted) return `no response within ${call.timeoutMs} ms`;
  return error instanceof Error ? error.message : String(error);
}
