import { setMaxListeners } from 'node:events';
import {
  runInBackground,
  sleep,
  type Clock,
  type Millis,
  type RandomSource,
} from '@camphorvane/core';
import { Backoff } from '../Backoff.ts';
import type { ObjectStore, ObjectVersion } from '../ObjectStore.ts';
import type { Claim } from './Claim.ts';
import { CLAIM_KIND, newClaimRecord, parseClaimRecord, type ClaimRecord } from './claimRecord.ts';

const RETRY: { readonly baseMs: Millis; readonly maxMs: Millis } = { baseMs: 250, maxMs: 5000 };

/**
 * Reads without the claim after which a claim whose write got no response counts as released. The
 * write can take effect after its timeout, even after another write of the claim succeeded and the
 * claim was removed, and would then block the caller's key though nothing runs. The checks span some
 * twenty seconds.
 */
const RELEASE_CHECKS = 8;

/**
 * Stores the outcome of claims, or removes them, with retries until that succeeds.
 *
 * Callers do not wait for it. While the platform is down no new claims are granted, so the backlog is
 * bounded by the calls that were running when the outage began.
 */
export class ClaimFinalizer {
  private readonly store: ObjectStore;

  private readonly clock: Clock;

  private readonly random: RandomSource;

  private readonly stopped = new AbortController();

  private readonly tasks = new Set<Promise<void>>();

  /**
   * @param store - The platform.
   * @param clock - Times the retries.
   * @param random - Adds jitter to the retries.
   */
  constructor(store: ObjectStore, clock: Clock, random: RandomSource) {
    this.store = store;
    this.clock = clock;
    this.random = random;
    // Each pending claim adds a listener; their number is bounded as described above.
    setMaxListeners(0, this.stopped.signal);
  }

  /** Gets the number of claims whose outcome or removal is not stored yet. */
  getPendingCount(): number {
    return this.tasks.size;
  }

  /** Waits until nothing is pending, or until {@link stop}. */
  async whenDrained(): Promise<void> {
    await Promise.all(this.tasks);
  }

  /** Stops the retries; pending claims stay as they are and count as having an unknown outcome. */
  async stop(): Promise<void> {
    this.stopped.abort();
    await this.whenDrained();
  }

  /** Stores the outcome of a claimed call. */
  storeOutcome(claim: Claim, record: ClaimRecord): Promise<void> {
    return this.track(this.storeFinished(claim, record));
  }

  /** Removes a claim whose write succeeded. */
  remove(claim: Claim): Promise<void> {
    return this.track(this.removeStored(claim.name, claim.version));
  }

  /** Removes a claim whose write got no response and may have taken effect, or may yet do so. */
  release(name: string, attempt: string): Promise<void> {
    return this.track(this.removeIfFound(name, attempt));
  }

  private track(task: Promise<void>): Promise<void> {
    this.tasks.add(task);
    runInBackground('claims.finalize', () => task.then(() => this.tasks.delete(task)));
    return task;
  }

  /** A conflict means that the record is stored already (its response was lost) or was removed. */
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
    let readsWithoutClaim = 0;
    return this.retry(async () => {
      const found = await this.store.get(CLAIM_KIND, name);
      if (found.isErr()) return false;
      if (parseClaimRecord(found.value?.value)?.attempt !== attempt) {
        readsWithoutClaim += 1;
        return readsWithoutClaim >= RELEASE_CHECKS;
      }
      await this.removeStored(name, found.value!.version);
      return false;
    });
  }

  private async retry(attempt: () => Promise<boolean>): Promise<void> {
    const backoff = new Backoff(this.random, RETRY);
    while (!this.stopped.signal.aborted && !(await attempt())) {
      await sleep(this.clock, backoff.nextDelayMs(), this.stopped.signal);
    }
  }
}

/** Gets the record with which a claim was stored. */
export function claimedRecord(claim: Claim): ClaimRecord {
  return newClaimRecord(claim.request, claim.claimedAt);
}
