import debug from 'debug';
import type { ResultAsync } from 'neverthrow';
import { sleep, type Clock, type Millis } from '@camphorvane/core';
import {
  parseGroupRecord,
  type GroupRecord,
  type ListedHost,
  type ReadOutcome,
  type WriteOutcome,
} from '@camphorvane/group';
import type { ObjectStore, PlatformError } from '@camphorvane/store';

const log = debug('camphorvane:group');

/** The kind under which the platform's store holds a group's object. */
export const GROUP_KIND = 'group';

/** Timeout of a call; the platform answers in milliseconds, so a slower one counts as unavailable. */
const CALL_TIMEOUT_MS = 2_000;

/** Accesses the object of one group in the platform's store, and the platform's host list. */
export class GroupRecordStore {
  private readonly store: ObjectStore;

  private readonly clock: Clock;

  private readonly group: string;

  private callCount = 0;

  /**
   * @param store - The platform's store.
   * @param clock - Clock for the timeout of calls.
   * @param group - The group's name.
   */
  constructor(store: ObjectStore, clock: Clock, group: string) {
    this.store = store;
    this.clock = clock;
    this.group = group;
  }

  /** Gets the number of calls made to the platform. */
  get calls(): number {
    return this.callCount;
  }

  /** Reads the group's record. */
  async read(): Promise<ReadOutcome> {
    const res = await this.withTimeout(this.store.get(GROUP_KIND, this.group));
    if (res === undefined || res.isErr()) return { type: 'failed' };
    if (res.value === undefined) return { type: 'absent' };
    const { version, value } = res.value;
    return parseGroupRecord(value).match<ReadOutcome>(
      (record) => ({ type: 'found', record, version }),
      (message) => {
        log('group %s has an unreadable record: %s', this.group, message);
        return { type: 'failed' };
      },
    );
  }

  /**
   * Writes a record if the object still has the expected version.
   *
   * @param record - The new record.
   * @param expected - Version of the object, or `absent` where it must not exist yet.
   * @returns The outcome; `unknown` where the call failed or timed out, since the write may have
   *   taken effect or may still do so.
   */
  async write(record: GroupRecord, expected: number | 'absent'): Promise<WriteOutcome> {
    const res = await this.withTimeout(this.store.put(GROUP_KIND, this.group, record, expected));
    if (res === undefined) return { type: 'unknown' };
    return res.match<WriteOutcome>(
      (object) => ({ type: 'written', version: object.version }),
      (error) => (error.type === 'conflict' ? { type: 'conflict' } : { type: 'unknown' }),
    );
  }

  /** Reads the platform's host list; undefined where the call failed or timed out. */
  async readHosts(): Promise<readonly ListedHost[] | undefined> {
    const res = await this.withTimeout(this.store.hosts());
    return res?.isOk() ? res.value : undefined;
  }

  /** Waits for a call with a timeout, so that an unanswered call doesn't block all later ones. */
  private async withTimeout<T>(
    call: ResultAsync<T, PlatformError>,
    timeoutMs: Millis = CALL_TIMEOUT_MS,
  ) {
    this.callCount += 1;
    const done = new AbortController();
    const timeout = sleep(this.clock, timeoutMs, done.signal).then(() => undefined);
    const res = await Promise.race([call, timeout]);
    done.abort();
    return res;
  }
}
