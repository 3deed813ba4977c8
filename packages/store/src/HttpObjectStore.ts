import type { Clock, HostId, Millis } from '@camphorvane/core';
import type { ResultAsync, Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { z } from 'zod';
import type { HostRegistry } from './HostRegistry.ts';
import type {
  ExpectedVersion,
  HostEntry,
  ObjectStore,
  ObjectVersion,
  PlatformError,
  StoredObject,
  WatchBatch,
} from './ObjectStore.ts';
import { failedResponse, PlatformHttp, type PlatformResponse } from './PlatformHttp.ts';
import {
  conflictSchema,
  hostListSchema,
  listSchema,
  storedObjectSchema,
  watchBatchSchema,
} from './wire.ts';

/** Settings of {@link HttpObjectStore}. */
export interface HttpObjectStoreOptions {
  /** Base URL of the platform, such as `http://127.0.0.1:9000`. */
  readonly baseUrl: string;
  readonly clock: Clock;
  /** Milliseconds after which a call without a response fails as `unavailable`. */
  readonly timeoutMs?: Millis;
  /** Maximum number of connections. */
  readonly connections?: number;
  /** Replaces the connection pool, for tests. */
  readonly dispatcher?: Dispatcher;
}

/**
 * Default timeout in milliseconds. The platform responds within milliseconds, so a call that takes
 * this long is probably lost; a longer wait would only delay the read that tells whether a write took
 * effect.
 */
const DEFAULT_TIMEOUT_MS = 2000;

/** Client of the platform's object and host APIs over HTTP. */
export class HttpObjectStore implements ObjectStore, HostRegistry {
  private readonly http: PlatformHttp;

  private readonly timeoutMs: Millis;

  /** @param options - The address of the platform, the timeout and the connections. */
  constructor(options: HttpObjectStoreOptions) {
    this.http = new PlatformHttp(options);
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /** {@inheritDoc ObjectStore.get} */
  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.read(objectPath(kind, name)).andThen((response) =>
      response.status === 404 ? ok(undefined) : parseBody(response, storedObjectSchema),
    );
  }

  /** {@inheritDoc ObjectStore.put} */
  put(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.http
      .call({
        method: 'PUT',
        path: objectPath(kind, name),
        headers: conditionHeaders(expected),
        body: value,
        timeoutMs: this.timeoutMs,
      })
      .andThen((response) => parseBody(response, storedObjectSchema));
  }

  /** {@inheritDoc ObjectStore.remove} */
  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError> {
    return this.http
      .call({
        method: 'DELETE',
        path: objectPath(kind, name),
        headers: conditionHeaders(expected),
        timeoutMs: this.timeoutMs,
      })
      .andThen((response) =>
        response.status === 404 ? err({ type: 'conflict' } as const) : ok(response),
      )
      .andThen(requireSuccess);
  }

  /** {@inheritDoc ObjectStore.list} */
  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError> {
    const path = `/v1/objects/${encodeURIComponent(kind)}?prefix=${encodeURIComponent(prefix)}`;
    return this.read(path)
      .andThen((response) => parseBody(response, listSchema))
      .map((page) => page.objects);
  }

  /** {@inheritDoc ObjectStore.watch} */
  watch(
    kind: string,
    after: ObjectVersion,
    waitMs: Millis,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError> {
    return this.http
      .call({
        method: 'GET',
        path: `/v1/watch/${encodeURIComponent(kind)}?after=${after}&waitMs=${waitMs}`,
        timeoutMs: waitMs + this.timeoutMs,
        signal,
      })
      .andThen((response) => parseBody(response, watchBatchSchema));
  }

  /** {@inheritDoc ObjectStore.hosts} */
  hosts(): ResultAsync<readonly HostEntry[], PlatformError> {
    return this.read('/v1/hosts')
      .andThen((response) => parseBody(response, hostListSchema))
      .map((page) => page.hosts);
  }

  /** {@inheritDoc HostRegistry.announce} */
  register(entry: HostEntry): ResultAsync<void, PlatformError> {
    return this.http
      .call({
        method: 'PUT',
        path: `/v1/hosts/${encodeURIComponent(entry.id)}`,
        body: entry,
        timeoutMs: this.timeoutMs,
      })
      .andThen(requireSuccess);
  }

  /** {@inheritDoc HostRegistry.withdraw} */
  deregister(id: HostId): ResultAsync<void, PlatformError> {
    return this.http
      .call({
        method: 'DELETE',
        path: `/v1/hosts/${encodeURIComponent(id)}`,
        timeoutMs: this.timeoutMs,
      })
      .andThen((response) => (response.status === 404 ? ok(undefined) : requireSuccess(response)));
  }

  /** Closes all connections to the platform. */
  async close(): Promise<void> {
    await this.http.close();
  }

  private read(path: string): ResultAsync<PlatformResponse, PlatformError> {
    return this.http.call({ method: 'GET', path, timeoutMs: this.timeoutMs });
  }
}

function objectPath(kind: string, name: string): string {
  return `/v1/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function conditionHeaders(expected: ExpectedVersion): Readonly<Record<string, string>> {
  return expected === 'absent' ? { 'if-none-match': '*' } : { 'if-match': `"${expected}"` };
}

function requireSuccess(response: PlatformResponse): Result<void, PlatformError> {
  return response.status >= 200 && response.status < 300 ? ok(undefined) : err(errorOf(response));
}

/**
 * Parses a response body. An invalid body counts as `unavailable`: like a lost response, it does not
 * tell whether a write took effect.
 */
function parseBody<T>(response: PlatformResponse, schema: z.ZodType<T>): Result<T, PlatformError> {
  return requireSuccess(response).andThen(() => {
    const parsed = schema.safeParse(response.body);
    return parsed.success
      ? ok(parsed.data)
      : err(failedResponse('the response of the platform does not match the protocol'));
  });
}

function errorOf(response: PlatformResponse): PlatformError {
  switch (response.status) {
    case 412: {
      const parsed = conflictSchema.safeParse(response.body ?? {});
      return { type: 'conflict', current: parsed.success ? parsed.data.current : undefined };
    }
    case 429:
      return { type: 'over_budget', retryAfterMs: response.retryAfterMs };
    case 413:
      return { type: 'invalid', message: 'the value exceeds the size limit of the platform' };
    default:
      return response.status >= 400 && response.status < 500
        ? { type: 'invalid', message: `the platform responded with status ${response.status}` }
        : failedResponse(`the platform responded with status ${response.status}`);
  }
}
