import type { Clock, Millis } from '@camphorvane/core';
import type {
  ExpectedVersion,
  HostEntry,
  ObjectStore,
  ObjectVersion,
  PlatformError,
  StoredObject,
  WatchBatch,
} from '@camphorvane/store';
import { ResultAsync, errAsync } from 'neverthrow';

/** A store whose calls time out for the caller while they continue and may still take effect. */
export class TimeoutStore implements ObjectStore {
  constructor(
    private readonly inner: ObjectStore,
    private readonly clock: Clock,
    private readonly timeoutMs: Millis,
  ) {}

  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.withTimeout(this.inner.get(kind, name));
  }

  put(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.withTimeout(this.inner.put(kind, name, value, expected));
  }

  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError> {
    return this.withTimeout(this.inner.remove(kind, name, expected));
  }

  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError> {
    return this.withTimeout(this.inner.list(kind, prefix));
  }

  watch(
    kind: string,
    after: ObjectVersion,
    waitMs: Millis,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError> {
    return this.inner.watch(kind, after, waitMs, signal);
  }

  hosts(): ResultAsync<readonly HostEntry[], PlatformError> {
    return this.withTimeout(this.inner.hosts());
  }

  private withTimeout<T>(call: ResultAsync<T, PlatformError>): ResultAsync<T, PlatformError> {
    const timedOut = new Promise<void>((resolve) => {
      this.clock.after(this.timeoutMs, resolve);
    }).then(() => errAsync<T, PlatformError>({ type: 'unavailable', message: 'timeout' }));
    return new ResultAsync(Promise.race([call, timedOut]));
  }
}
