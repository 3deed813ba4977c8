import type { Clock, Incarnation, Millis } from '@camphorvane/core';
import type { ObjectVersion, StoredObject } from '../ObjectStore.ts';
import type { WatchableStore } from '../follow/WatchableStore.ts';

/** What a lease is made of. */
export interface StoreLeaseOptions {
  readonly store: Pick<WatchableStore, 'get' | 'put'>;
  readonly clock: Clock;
  /** Kind and name of the object that stands for the lease. */
  readonly kind: string;
  readonly name: string;
  /** Names the machine; another machine that takes this one's place needs another name. */
  readonly holder: string;
  readonly incarnation: Incarnation;
  /** Milliseconds from a write of the holder for which it may act. */
  readonly leaseMs: Millis;
}

/** Why this host does not hold the lease. */
export type LeaseAbsence = 'held_by_other' | 'waiting' | 'store_away';

/** Whether this host may act, and with which fencing number. */
export type LeaseState =
  | { readonly type: 'held'; readonly fence: ObjectVersion }
  | { readonly type: 'not_held'; readonly reason: LeaseAbsence };

/** Milliseconds before its end from which a lease is not acted on; an order is on its way meanwhile. */
const END_MARGIN_MS: Millis = 500;

/**
 * Milliseconds by which the wall clock and the steady clock may drift apart while a lease holds. A
 * process that is suspended does not see it on its steady clock; without this check it would act on a
 * lease that another host has long since taken.
 */
const SUSPENSION_MS: Millis = 150;

interface OwnTerm {
  readonly version: ObjectVersion;
  /** When the call of the last write was sent, on both clocks. */
  readonly sentAt: Millis;
  readonly sentWall: Millis;
  /** Time from which this host may act. */
  readonly actFrom: Millis;
}

interface SeenTerm {
  readonly version: ObjectVersion;
  readonly since: Millis;
}

/**
 * A lease in the store: at most one host acts at a time, with fencing numbers that only grow.
 *
 * The holder writes the object, conditional on the version that it knows, and may act for a while from
 * the moment at which it sent that write. Another host takes the lease only after it has seen the
 * object unchanged for longer than that, and acts only a whole lease after that, so that two holders
 * never act within one lease of each other, whatever time their calls took. The fencing number is
 * the version of the write. Clocks of hosts are never compared.
 */
export class StoreLease {
  private readonly options: StoreLeaseOptions;

  private own: OwnTerm | undefined;

  private seen: SeenTerm | undefined;

  /** @param options - What it is made of. */
  constructor(options: StoreLeaseOptions) {
    this.options = options;
  }

  /** Gets the fencing number while this host may act; undefined otherwise. Asked before each action. */
  getFence(): ObjectVersion | undefined {
    const { own } = this;
    if (own === undefined || !this.isFresh(own, END_MARGIN_MS)) return undefined;
    return this.options.clock.now() < own.actFrom ? undefined : own.version;
  }

  /**
   * Takes or renews the lease, as far as that can be done with one call.
   *
   * @returns Whether this host may act now; if not, to be asked again later.
   */
  async hold(): Promise<LeaseState> {
    const { own, seen } = this;
    if (own !== undefined && this.isFresh(own, this.options.leaseMs / 2)) return this.state();
    if (own !== undefined) return this.write(own.version, own.actFrom);
    if (seen === undefined) return this.look();
    const { leaseMs, clock } = this.options;
    const waited = clock.now() - seen.since;
    if (waited <= leaseMs + END_MARGIN_MS) return { type: 'not_held', reason: 'held_by_other' };
    return this.write(seen.version, clock.now() + leaseMs);
  }

  private async look(): Promise<LeaseState> {
    const { store, kind, name, clock, holder } = this.options;
    const read = await store.get(kind, name);
    if (read.isErr()) return { type: 'not_held', reason: 'store_away' };
    const object = read.value;
    const now = clock.now();
    if (object === undefined) return this.write('absent', now);
    // What an earlier start of this host held is its own.
    if (isOf(object, holder)) return this.write(object.version, now);
    this.seen = { version: object.version, since: now };
    return { type: 'not_held', reason: 'held_by_other' };
  }

  private async write(expected: ObjectVersion | 'absent', actFrom: Millis): Promise<LeaseState> {
    const { store, kind, name, clock, holder, incarnation } = this.options;
    const sentAt = clock.now();
    const sentWall = clock.wall();
    // The time makes each write a change: one that changes nothing would keep its version.
    const value = { holder, incarnation, at: Math.round(sentWall), beat: Math.round(sentAt) };
    const written = await store.put(kind, name, value, expected);
    if (written.isOk()) {
      this.own = { version: written.value.version, sentAt, sentWall, actFrom };
      this.seen = undefined;
      return this.state();
    }
    if (written.error.type === 'conflict') return this.lost(written.error.current, actFrom);
    // The write may have been done all the same: the next one then fails on its condition.
    return { type: 'not_held', reason: 'store_away' };
  }

  /** Another write came first: one of this host's own whose answer was lost, or another host's. */
  private lost(
    current: StoredObject | undefined,
    actFrom: Millis,
  ): Promise<LeaseState> | LeaseState {
    const { holder, incarnation, clock } = this.options;
    this.own = undefined;
    if (current !== undefined && isOf(current, holder, incarnation)) {
      return this.write(current.version, actFrom);
    }
    this.seen = current && { version: current.version, since: clock.now() };
    return { type: 'not_held', reason: 'held_by_other' };
  }

  private state(): LeaseState {
    const fence = this.getFence();
    return fence === undefined ? { type: 'not_held', reason: 'waiting' } : { type: 'held', fence };
  }

  private isFresh({ sentAt, sentWall }: OwnTerm, marginMs: Millis): boolean {
    const { clock, leaseMs } = this.options;
    const passed = clock.now() - sentAt;
    const suspended = Math.abs(clock.wall() - sentWall - passed);
    return passed < leaseMs - marginMs && suspended < SUSPENSION_MS;
  }
}

/** Tells whether a host wrote the object; where a start is named, whether that start of it did. */
function isOf({ value }: StoredObject, holder: string, incarnation?: Incarnation): boolean {
  const written = value as { readonly holder?: unknown; readonly incarnation?: unknown } | null;
  if (written?.holder !== holder) return false;
  return incarnation === undefined || written.incarnation === incarnation;
}
