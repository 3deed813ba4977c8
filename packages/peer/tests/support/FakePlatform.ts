import type { ResultAsync } from 'neverthrow';
import { errAsync, okAsync } from 'neverthrow';
import type {
  ExpectedVersion,
  HostEntry,
  ObjectStore,
  PlatformError,
  StoredObject,
  WatchBatch,
} from '@camphorvane/store';

const DOWN: PlatformError = { type: 'unavailable', message: 'the platform is down' };

/** An in-memory platform that all hosts of a test share. */
export class FakePlatform {
  readonly objects = new Map<string, StoredObject>();

  hosts: readonly HostEntry[] = [];

  down = false;

  /** Number of upcoming writes that take effect but whose responses are lost. */
  lostResponses = 0;

  calls = 0;

  private version = 0;

  get(kind: string, name: string): StoredObject | undefined {
    return this.objects.get(`${kind}/${name}`);
  }

  put(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): ResultAsync<StoredObject, PlatformError> {
    const current = this.get(kind, name);
    if ((current?.version ?? 'absent') !== expected) return errAsync({ type: 'conflict', current });
    this.version += 1;
    const object = { kind, name, version: this.version, value: structuredClone(value) };
    this.objects.set(`${kind}/${name}`, object);
    if (this.lostResponses === 0) return okAsync(object);
    this.lostResponses -= 1;
    return errAsync({ type: 'unavailable', message: 'the answer is lost' });
  }

  /**
   * Gets the store for one host.
   *
   * @param isCut - Tells whether the host is currently partitioned from the platform.
   */
  storeFor(isCut: () => boolean): ObjectStore {
    const guard = <T>(run: () => ResultAsync<T, PlatformError>): ResultAsync<T, PlatformError> => {
      this.calls += 1;
      return this.down || isCut() ? errAsync(DOWN) : run();
    };
    return {
      get: (kind, name) => guard(() => okAsync(this.get(kind, name))),
      put: (kind, name, value, expected) => guard(() => this.put(kind, name, value, expected)),
      remove: () => errAsync(DOWN),
      list: () => errAsync(DOWN),
      watch: () => errAsync<WatchBatch, PlatformError>(DOWN),
      hosts: () => guard(() => okAsync(this.hosts)),
    };
  }
}
