import type { Clock, Millis } from '@camphorvane/core';
import type {
  Expected,
  HostEntry,
  ObjectStore,
  ObjectVersion,
  PlatformError,
  StoredObject,
  WatchBatch,
} from '@camphorvane/store';
import { ResultAsync, errAsync } from 'neverthrow';

/** A store whose caller gives up after a time, while the call goes on and may yet take effect. */
export class TimeoutStore implements ObjectStore {
  constructor(
    private readonly inner: ObjectStore,
    private readonly clock: Clock,
    private readonly timeoutMs: Millis,
  ) {}

  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.limited(this.inner.get(kind, name));
  }

  put(
    kind: string,
    name: string,
    value: unknown,
    expected: Expected,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.limited(this.inner.put(kind, name, value, expected));
  }

  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError> {
    return this.limited(this.inner.remove(kind, name, expected));
  }

  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError> {
    return this.limited(this.inner.list(kind, prefix));
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
    return this.limited(this.inner.hosts());
  }

  private limited<T>(call: ResultAsync<T, PlatformError>): ResultAsync<T, PlatformError> {
    const late = new Promise<void>((resolve) => {
      this.clock.after(this.timeoutMs, resolve);
    }).then(() => errAsync<T, PlatformError>({ type: 'unavailable', message: 'timeout' }));
    return new ResultAsync(Promise.race([call, late]));
  }
}
