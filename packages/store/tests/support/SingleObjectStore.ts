import type { PlatformError, StoredObject } from '@camphorvane/store';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';

const DOWN: PlatformError = { type: 'unavailable', message: 'down' };

type Write = ResultAsync<StoredObject, PlatformError>;

/** A store with a single object, for tests with outages and lost responses. */
export class SingleObjectStore {
  object: StoredObject | undefined;

  isDown = false;

  /** Whether writes take effect without a response. */
  losesResponses = false;

  private version = 40;

  get(): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.isDown ? errAsync(DOWN) : okAsync(this.object);
  }

  put(kind: string, name: string, value: unknown, expected: number | 'absent'): Write {
    if (this.isDown) return errAsync(DOWN);
    const current = this.object;
    if ((current?.version ?? 'absent') !== expected) return errAsync({ type: 'conflict', current });
    this.version += 1;
    this.object = { kind, name, value, version: this.version };
    return this.losesResponses ? errAsync(DOWN) : okAsync(this.object);
  }
}
