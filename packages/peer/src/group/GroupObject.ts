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

/** The platform's kind of a group's object. */
export const GROUP_KIND = 'group';

/** A platform that answers in milliseconds and has not after this long is down for this purpose. */
const CALL_TIMEOUT_MS = 2_000;

/** The object of one group in the platform, and the host list beside it. */
export class GroupObject {
  private readonly store: ObjectStore;

  private readonly clock: Clock;

  private readonly group: string;

  private callCount = 0;

  /**
   * @param store - The platform.
   * @param clock - Bounds the calls.
   * @param group - The group's name.
   */
  constructor(store: ObjectStore, clock: Clock, group: string) {
    this.store = store;
    this.clock = clock;
    this.group = group;
  }

  /** Gets how many calls the platform was asked for. */
  get calls(): number {
    return this.callCount;
  }

  /** Reads the record. */
  async read(): Promise<ReadOutcome> {
    const res = await this.bounded(this.store.get(GROUP_KIND, this.group));
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
   * Writes a record if the object is as expected.
   *
   * @returns `unknown` where the answer was lost: the write may have taken effect, or may yet do so.
   */
  async write(record: GroupRecord, expected: number | 'absent'): Promise<WriteOutcome> {
    const res = await this.bounded(this.store.put(GROUP_KIND, this.group, record, expected));
    if (res === undefined) return { type: 'unknown' };
    return res.match<WriteOutcome>(
      (object) => ({ type: 'written', version: object.version }),
      (error) => (error.type === 'conflict' ? { type: 'conflict' } : { type: 'unknown' }),
    );
  }

  /** Reads the host list; undefined where the platform gave none. */
  async readHosts(): Promise<readonly ListedHost[] | undefined> {
    const res = await this.bounded(this.store.hosts());
    return res?.isOk() ? res.value : undefined;
  }

  /** Waits for a call, but not for ever: a call without an answer must not end all later ones. */
  private async bounded<T>(
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
