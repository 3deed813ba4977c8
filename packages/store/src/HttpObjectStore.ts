import type { Clock, HostId, Millis } from '@camphorvane/core';
import type { ResultAsync, Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { z } from 'zod';
import type { HostRegistry } from './HostRegistry.ts';
import type {
  Expected,
  HostEntry,
  ObjectStore,
  ObjectVersion,
  PlatformError,
  StoredObject,
  WatchBatch,
} from './ObjectStore.ts';
import { PlatformHttp, unavailable, type PlatformAnswer } from './PlatformHttp.ts';
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
  /** Milliseconds until a call without an answer counts as `unavailable`. */
  readonly timeoutMs?: Millis;
  /** Largest number of connections. */
  readonly connections?: number;
  /** Replaces the connections, for tests. */
  readonly dispatcher?: Dispatcher;
}

/**
 * The platform answers in milliseconds. A call that takes this long is as good as lost; waiting
 * longer would only delay the read that settles whether a write took effect.
 */
const DEFAULT_TIMEOUT_MS = 2000;

/** The platform's object API over HTTP. */
export class HttpObjectStore implements ObjectStore, HostRegistry {
  private readonly http: PlatformHttp;

  private readonly timeoutMs: Millis;

  /** @param options - Where the platform is, and how long to wait for it. */
  constructor(options: HttpObjectStoreOptions) {
    this.http = new PlatformHttp(options);
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /** {@inheritDoc ObjectStore.get} */
  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.read(objectPath(kind, name)).andThen((answer) =>
      answer.status === 404 ? ok(undefined) : checked(answer, storedObjectSchema),
    );
  }

  /** {@inheritDoc ObjectStore.put} */
  put(
    kind: string,
    name: string,
    value: unknown,
    expected: Expected,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.http
      .call({
        method: 'PUT',
        path: objectPath(kind, name),
        headers: condition(expected),
        body: value,
        timeoutMs: this.timeoutMs,
      })
      .andThen((answer) => checked(answer, storedObjectSchema));
  }

  /** {@inheritDoc ObjectStore.remove} */
  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError> {
    return this.http
      .call({
        method: 'DELETE',
        path: objectPath(kind, name),
        headers: condition(expected),
        timeoutMs: this.timeoutMs,
      })
      .andThen((answer) =>
        answer.status === 404 ? err({ type: 'conflict' } as const) : ok(answer),
      )
      .andThen(accepted);
  }

  /** {@inheritDoc ObjectStore.list} */
  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError> {
    const path = `/v1/objects/${encodeURIComponent(kind)}?prefix=${encodeURIComponent(prefix)}`;
    return this.read(path)
      .andThen((answer) => checked(answer, listSchema))
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
      .andThen((answer) => checked(answer, watchBatchSchema));
  }

  /** {@inheritDoc ObjectStore.hosts} */
  hosts(): ResultAsync<readonly HostEntry[], PlatformError> {
    return this.read('/v1/hosts')
      .andThen((answer) => checked(answer, hostListSchema))
      .map((page) => page.hosts);
  }

  /** {@inheritDoc HostRegistry.announce} */
  announce(entry: HostEntry): ResultAsync<void, PlatformError> {
    return this.http
      .call({
        method: 'PUT',
        path: `/v1/hosts/${encodeURIComponent(entry.id)}`,
        body: entry,
        timeoutMs: this.timeoutMs,
      })
      .andThen(accepted);
  }

  /** {@inheritDoc HostRegistry.withdraw} */
  withdraw(id: HostId): ResultAsync<void, PlatformError> {
    return this.http
      .call({
        method: 'DELETE',
        path: `/v1/hosts/${encodeURIComponent(id)}`,
        timeoutMs: this.timeoutMs,
      })
      .andThen((answer) => (answer.status === 404 ? ok(undefined) : accepted(answer)));
  }

  /** Closes all connections to the platform. */
  async close(): Promise<void> {
    await this.http.close();
  }

  private read(path: string): ResultAsync<PlatformAnswer, PlatformError> {
    return this.http.call({ method: 'GET', path, timeoutMs: this.timeoutMs });
  }
}

function objectPath(kind: string, name: string): string {
  return `/v1/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function condition(expected: Expected): Readonly<Record<string, string>> {
  return expected === 'absent' ? { 'if-none-match': '*' } : { 'if-match': `"${expected}"` };
}

function accepted(answer: PlatformAnswer): Result<void, PlatformError> {
  return answer.status >= 200 && answer.status < 300 ? ok(undefined) : err(failure(answer));
}

/**
 * Checks an answer's body. One that is not understood counts as `unavailable`: after a write it
 * leaves open whether the write took effect, just as a lost answer does.
 */
function checked<T>(answer: PlatformAnswer, schema: z.ZodType<T>): Result<T, PlatformError> {
  return accepted(answer).andThen(() => {
    const parsed = schema.safeParse(answer.body);
    return parsed.success ? ok(parsed.data) : err(unavailable('the answer was not understood'));
  });
}

function failure(answer: PlatformAnswer): PlatformError {
  switch (answer.status) {
    case 412: {
      const parsed = conflictSchema.safeParse(answer.body ?? {});
      return { type: 'conflict', current: parsed.success ? parsed.data.current : undefined };
    }
    case 429:
      return { type: 'over_budget', retryAfterMs: answer.retryAfterMs };
    case 413:
      return { type: 'invalid', message: 'the value is larger than the platform takes' };
    default:
      return answer.status >= 400 && answer.status < 500
        ? { type: 'invalid', message: `the platform answered ${answer.status}` }
        : unavailable(`the platform answered ${answer.status}`);
  }
}
