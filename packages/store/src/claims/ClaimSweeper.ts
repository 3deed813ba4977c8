import { sleep, type Clock, type Millis, type RandomSource } from '@camphorvane/core';
import type { ObjectStore, StoredObject } from '../ObjectStore.ts';
import { CLAIM_KIND, readRecord } from './claimRecord.ts';

/** Settings of {@link ClaimSweeper}. */
export interface ClaimSweeperOptions {
  /** The platform, counted against the host's budget as `status`. */
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** How long a finished call is remembered, in milliseconds. */
  readonly retentionMs: Millis;
}

/** Mean time between two sweeps of a host, in milliseconds; each takes one read and its removals. */
const SWEEP_MS: Millis = 60_000;

/** Digits of the prefix that one sweep looks at, so that a list stays small however many there are. */
const MIN_DIGITS = 1;
const MAX_DIGITS = 6;

/** Claims in one list below which the next sweep looks at more of them. */
const FEW = 16;

/** Claims in one list above which the next sweep looks at fewer of them. */
const MANY = 256;

const HEX = 16;

/** Removes finished calls that need not be remembered any more, a random few at a time. */
export class ClaimSweeper {
  private readonly options: ClaimSweeperOptions;

  private readonly stopped = new AbortController();

  private task: Promise<void> = Promise.resolve();

  private digits = MAX_DIGITS;

  /** @param options - The platform, the time and the retention. */
  constructor(options: ClaimSweeperOptions) {
    this.options = options;
  }

  /** Starts the task; it runs until {@link stop}. */
  start(): void {
    this.task = this.run();
  }

  /** Stops the task and waits for its end. */
  async stop(): Promise<void> {
    this.stopped.abort();
    await this.task;
  }

  /**
   * Looks at the claims of one random prefix.
   *
   * @returns How many it removed.
   */
  async sweep(): Promise<number> {
    const found = await this.options.store.list(CLAIM_KIND, this.prefix());
    if (found.isErr()) return 0;
    this.adapt(found.value.length);
    return this.removeAll(found.value.filter((object) => this.isExpired(object)));
  }

  private async run(): Promise<void> {
    const { clock, random } = this.options;
    while (!this.stopped.signal.aborted) {
      await sleep(clock, random.exponential(SWEEP_MS), this.stopped.signal);
      if (!this.stopped.signal.aborted) await this.sweep();
    }
  }

  private prefix(): string {
    const number = this.options.random.int(0, HEX ** this.digits - 1);
    return number.toString(HEX).padStart(this.digits, '0');
  }

  private adapt(found: number): void {
    if (found < FEW) this.digits = Math.max(MIN_DIGITS, this.digits - 1);
    if (found > MANY) this.digits = Math.min(MAX_DIGITS, this.digits + 1);
  }

  /** Stops at the first failure: what is left is found again by a later sweep. */
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

  /** A call that may be running, or whose outcome is unknown, is never forgotten. */
  private isExpired(object: StoredObject): boolean {
    const record = readRecord(object.value);
    if (record?.state !== 'finished') return false;
    return this.options.clock.wall() - record.claimedAt > this.options.retentionMs;
  }
}
