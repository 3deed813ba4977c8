import { runLoop, sleep, type Clock, type Millis, type RandomSource } from '@camphorvane/core';
import type { ObjectStore, StoredObject } from '../ObjectStore.ts';
import { CLAIM_KIND, parseClaimRecord } from './claimRecord.ts';

/** Settings of {@link ClaimSweeper}. */
export interface ClaimSweeperOptions {
  /** The platform; its calls count against the host's budget with priority `status`. */
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** How long a finished claim is kept, in milliseconds. */
  readonly retentionMs: Millis;
}

/** Mean interval between two sweeps of a host, in milliseconds; each makes one read and its removals. */
const SWEEP_MS: Millis = 60_000;

/** Minimum length of the name prefix that one sweep lists, in hexadecimal digits. */
const MIN_PREFIX_LENGTH = 1;

/** Maximum length of that prefix; it adapts so that a list stays small however many claims exist. */
const MAX_PREFIX_LENGTH = 6;

/** Claims in one list below which the next sweep uses a shorter prefix. */
const FEW_CLAIMS = 16;

/** Claims in one list above which the next sweep uses a longer prefix. */
const MANY_CLAIMS = 256;

const HEX = 16;

/** Removes expired claims of finished calls, one random name prefix at a time. */
export class ClaimSweeper {
  private readonly options: ClaimSweeperOptions;

  private readonly stopped = new AbortController();

  private task: Promise<void> = Promise.resolve();

  private prefixLength = MAX_PREFIX_LENGTH;

  /** @param options - The platform, the clock and the retention. */
  constructor(options: ClaimSweeperOptions) {
    this.options = options;
  }

  /** Starts periodic sweeps until {@link stop}. */
  start(): void {
    this.task = this.run();
  }

  /** Stops the sweeps and waits for the current one to end. */
  async stop(): Promise<void> {
    this.stopped.abort();
    await this.task;
  }

  /**
   * Removes the expired claims of one random prefix.
   *
   * @returns The number of claims removed.
   */
  async sweep(): Promise<number> {
    const found = await this.options.store.list(CLAIM_KIND, this.prefix());
    if (found.isErr()) return 0;
    this.adaptPrefixLength(found.value.length);
    return this.removeAll(found.value.filter((object) => this.isExpired(object)));
  }

  private run(): Promise<void> {
    const { clock, random } = this.options;
    return runLoop({ place: 'claims.sweep', clock, signal: this.stopped.signal }, async () => {
      await sleep(clock, random.exponential(SWEEP_MS), this.stopped.signal);
      if (!this.stopped.signal.aborted) await this.sweep();
    });
  }

  private prefix(): string {
    const number = this.options.random.int(0, HEX ** this.prefixLength - 1);
    return number.toString(HEX).padStart(this.prefixLength, '0');
  }

  private adaptPrefixLength(found: number): void {
    if (found < FEW_CLAIMS) this.prefixLength = Math.max(MIN_PREFIX_LENGTH, this.prefixLength - 1);
    if (found > MANY_CLAIMS) this.prefixLength = Math.min(MAX_PREFIX_LENGTH, this.prefixLength + 1);
  }

  /** Stops at the first failure; a later sweep finds the remaining claims again. */
  private async removeAll(objects: readonly StoredObject[]): Promise<number> {
    let removed = 0;
    while (removed < objects.length) {
      const { kind, name, version } = objects[removed]!;
      const result = await this.options.store.remove(kind, name, version);
      if (result.isErr() && result.error.type !== 'conflict') return removed;
      removed += 1;
    }
    return removed;
  }

  /** Claims of calls that may be running, or whose outcome is unknown, never expire. */
  private isExpired(object: StoredObject): boolean {
    const record = parseClaimRecord(object.value);
    if (record?.state !== 'finished') return false;
    return this.options.clock.wall() - record.claimedAt > this.options.retentionMs;
  }
}
