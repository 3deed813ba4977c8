import { setMaxListeners } from 'node:events';
import { sleep, type Clock, type Millis, type RandomSource } from '@camphorvane/core';
import { Backoff } from '../Backoff.ts';
import type { ObjectStore, ObjectVersion } from '../ObjectStore.ts';
import type { Claim } from './Claim.ts';
import { CLAIM_KIND, newRecord, readRecord, type ClaimRecord } from './claimRecord.ts';

const RETRY: { readonly baseMs: Millis; readonly maxMs: Millis } = { baseMs: 250, maxMs: 5000 };

/**
 * Checks for a claim whose write was not answered. The write can be carried out after the host gave
 * up on it, even after another write of the same claim was answered and the claim removed; it would
 * then bar the caller's key though nothing runs. The checks go on for some twenty seconds.
 */
const RELEASE_CHECKS = 8;

/**
 * Brings claims to their end in the platform, for as long as that takes.
 *
 * The caller does not wait for it. While the platform is down no new claims are given, so what waits
 * here is bounded by the calls that were running when the outage began.
 */
export class ClaimSettler {
  private readonly store: ObjectStore;

  private readonly clock: Clock;

  private readonly random: RandomSource;

  private readonly stopped = new AbortController();

  private readonly tasks = new Set<Promise<void>>();

  /**
   * @param store - The platform.
   * @param clock - The time of retries.
   * @param random - The spread of retries.
   */
  constructor(store: ObjectStore, clock: Clock, random: RandomSource) {
    this.store = store;
    this.clock = clock;
    this.random = random;
    // Each claim that is being settled listens for the stop; their number is bounded as said above.
    setMaxListeners(0, this.stopped.signal);
  }

  /** Gets the number of claims whose end is not stored yet. */
  getPending(): number {
    return this.tasks.size;
  }

  /** Waits until every end is stored, or until {@link stop}. */
  async drained(): Promise<void> {
    await Promise.all(this.tasks);
  }

  /** Gives up what is left; those claims stay as they are and count as unknown. */
  async stop(): Promise<void> {
    this.stopped.abort();
    await this.drained();
  }

  /** Stores that a call has run. */
  finish(claim: Claim, record: ClaimRecord): Promise<void> {
    return this.track(this.storeFinished(claim, record));
  }

  /** Removes a claim that is known to be stored. */
  remove(claim: Claim): Promise<void> {
    return this.track(this.removeStored(claim.name, claim.version));
  }

  /** Removes a claim that may not be stored, or may be stored yet by a write without an answer. */
  release(name: string, attempt: string): Promise<void> {
    return this.track(this.removeIfFound(name, attempt));
  }

  private track(task: Promise<void>): Promise<void> {
    this.tasks.add(task);
    void task.then(() => this.tasks.delete(task));
    return task;
  }

  /** A conflict means that the record is there already (its answer was lost) or was removed. */
  private storeFinished(claim: Claim, record: ClaimRecord): Promise<void> {
    return this.retry(async () => {
      const put = await this.store.put(CLAIM_KIND, claim.name, record, claim.version);
      return put.isOk() || put.error.type === 'conflict' || put.error.type === 'invalid';
    });
  }

  private removeStored(name: string, version: ObjectVersion): Promise<void> {
    return this.retry(async () => {
      const removed = await this.store.remove(CLAIM_KIND, name, version);
      return removed.isOk() || removed.error.type === 'conflict';
    });
  }

  private removeIfFound(name: string, attempt: string): Promise<void> {
    let clean = 0;
    return this.retry(async () => {
      const found = await this.store.get(CLAIM_KIND, name);
      if (found.isErr()) return false;
      if (readRecord(found.value?.value)?.attempt !== attempt) {
        clean += 1;
        return clean >= RELEASE_CHECKS;
      }
      await this.removeStored(name, found.value!.version);
      return false;
    });
  }

  private async retry(attempt: () => Promise<boolean>): Promise<void> {
    const backoff = new Backoff(this.random, RETRY);
    while (!this.stopped.signal.aborted && !(await attempt())) {
      await sleep(this.clock, backoff.next(), this.stopped.signal);
    }
  }
}

/** Gets the record that a claim was stored with. */
export function recordOf(claim: Claim): ClaimRecord {
  return newRecord(claim.request, claim.claimedAt);
}
