import type {
  ExpectedVersion,
  HostEntry,
  HostRegistry,
  ObjectStore,
  ObjectVersion,
  PlatformError,
  StoredObject,
  WatchBatch,
} from '@camphorvane/store';
import type { MemoryObjectStore } from '@camphorvane/stand-ins';
import { err, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HostLife } from './HostLife.ts';
import type { Wires } from './Wires.ts';

const CALL_LIMIT_MS = 2000;

/** The stand-in platform as one host reaches it. */
export class LinkedStore implements ObjectStore, HostRegistry {
  constructor(
    private readonly store: MemoryObjectStore,
    private readonly host: string,
    private readonly life: HostLife,
    private readonly wires: Wires,
  ) {}

  /** Reads one object. */
  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.call(() => this.store.get(kind, name));
  }

  /** Writes one object if what is stored is as expected. */
  put(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.call(() => this.store.put(kind, name, value, expected));
  }

  /** Removes one object. */
  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError> {
    return this.call(() => this.store.remove(kind, name, expected));
  }

  /** Lists objects. */
  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError> {
    return this.call(() => this.store.list(kind, prefix));
  }

  /** Waits for changes. */
  watch(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError> {
    const limit = waitMs + CALL_LIMIT_MS;
    const ends = AbortSignal.any([signal, this.life.killed]);
    return this.call(() => this.store.watch(kind, after, waitMs, ends), limit);
  }

  /** Reads the list of hosts. */
  hosts(): ResultAsync<readonly HostEntry[], PlatformError> {
    return this.call(() => this.store.hosts());
  }

  /** Announces the host. */
  register(entry: HostEntry): ResultAsync<void, PlatformError> {
    return this.call(() => this.store.register(entry));
  }

  /** Takes the host off the list. */
  deregister(id: string): ResultAsync<void, PlatformError> {
    return this.call(() => this.store.deregister(id));
  }

  private call<T>(
    run: () => ResultAsync<T, PlatformError>,
    limitMs: number = CALL_LIMIT_MS,
  ): ResultAsync<T, PlatformError> {
    const wire = this.wires.connect(this.host, 'platform');
    const limit = new Promise<Result<T, PlatformError>>((resolve) => {
      const message = 'the platform does not answer';
      const cancel = this.life.after(limitMs, () => resolve(err({ type: 'unavailable', message })));
      void this.exchange(wire, run).then((result) => {
        cancel();
        resolve(result);
      });
    });
    const done = limit.then(async (result) => {
      this.wires.close(wire);
      await this.life.gate();
      return result;
    });
    return new ResultAsync(done);
  }

  private async exchange<T>(
    wire: ReturnType<Wires['connect']>,
    run: () => ResultAsync<T, PlatformError>,
  ): Promise<Result<T, PlatformError>> {
    if (!(await this.wires.carry(wire))) return new Promise(() => {});
    const result = await run();
    if (!(await this.wires.carry(wire))) return new Promise(() => {});
    return result;
  }
}
