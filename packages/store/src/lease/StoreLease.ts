import type { Clock, Incarnation, Millis } from '@camphorvane/core';
import type { ObjectVersion, StoredObject } from '../ObjectStore.ts';
import type { WatchableStore } from '../follow/WatchableStore.ts';

/** Settings of {@link StoreLease}. */
export interface StoreLeaseOptions {
  readonly store: Pick<WatchableStore, 'get' | 'put'>;
  readonly clock: Clock;
  /** Kind of the object that holds the lease. */
  readonly kind: string;
  /** Name of the object that holds the lease. */
  readonly name: string;
  /** Identifies the machine; a machine that replaces it needs another identifier. */
  readonly holder: string;
  readonly incarnation: Incarnation;
  /** Milliseconds for which the holder may act, counted from when it sent its last write. */
  readonly leaseMs: Millis;
}

/** Why this host does not hold the lease. */
export type LeaseNotHeldReason = 'held_by_other' | 'waiting' | 'store_away';

/** Whether this host may act, and with which fencing token. */
export type LeaseState =
  | { readonly type: 'held'; readonly fence: ObjectVersion }
  | { readonly type: 'not_held'; readonly reason: LeaseNotHeldReason };

/** Milliseconds before its expiry at which a lease stops being used; covers the transit time of an order. */
const EXPIRY_MARGIN_MS: Millis = 500;

/**
 * Milliseconds by which the wall clock and the monotonic clock may diverge during a lease. The
 * monotonic clock may not advance while the process is suspended; without this check a resumed
 * process would act on a lease that another host holds by now.
 */
const MAX_CLOCK_DIVERGENCE_MS: Millis = 150;

interface HeldTerm {
  readonly version: ObjectVersion;
  /** When the last write was sent, on the monotonic clock. */
  readonly sentAt: Millis;
  /** When the last write was sent, on the wall clock. */
  readonly sentWall: Millis;
  /** Monotonic time from which this host may act. */
  readonly actFrom: Millis;
}

interface ObservedTerm {
  readonly version: ObjectVersion;
  readonly since: Millis;
}

/**
 * A lease in the object store: at most one host acts at a time, with increasing fencing tokens.
 *
 * The holder renews the lease with a conditional write and may act for `leaseMs` from when it sent the
 * write. Another host takes the lease only after it has seen the object unchanged for longer than
 * that, and then waits `leaseMs` before it acts, so that two holders never act within one lease
 * duration of each other, however long their calls took. The fencing token is the version of the
 * write. Clocks of different hosts are never compared.
 */
export class StoreLease {
  private readonly options: StoreLeaseOptions;

  private own: HeldTerm | undefined;

  private seen: ObservedTerm | undefined;

  /** @param options - The store, the clock and the object of the lease. */
  constructor(options: StoreLeaseOptions) {
    this.options = options;
  }

  /** Gets the fencing token while this host may act, undefined otherwise; check it before each action. */
  getFencingToken(): ObjectVersion | undefined {
    const { own } = this;
    if (own === undefined || !this.isFresh(own, EXPIRY_MARGIN_MS)) return undefined;
    return this.options.clock.now() < own.actFrom ? undefined : own.version;
  }

  /**
   * Acquires or renews the lease where one step suffices; to be called periodically.
   *
   * @returns Whether this host may act now.
   */
  async acquireOrRenew(): Promise<LeaseState> {
    const { own, seen } = this;
    if (own !== undefined && this.isFresh(own, this.options.leaseMs / 2)) return this.state();
    if (own !== undefined) return this.write(own.version, own.actFrom);
    if (seen === undefined) return this.readLease();
    const { leaseMs, clock } = this.options;
    const waited = clock.now() - seen.since;
    if (waited <= leaseMs + EXPIRY_MARGIN_MS) return { type: 'not_held', reason: 'held_by_other' };
    return this.write(seen.version, clock.now() + leaseMs);
  }

  private async readLease(): Promise<LeaseState> {
    const { store, kind, name, clock, holder } = this.options;
    const read = await store.get(kind, name);
    if (read.isErr()) return { type: 'not_held', reason: 'store_away' };
    const object = read.value;
    const now = clock.now();
    if (object === undefined) return this.write('absent', now);
    // A lease that an earlier incarnation of this host held can be renewed at once.
    if (isWrittenBy(object, holder)) return this.write(object.version, now);
    this.seen = { version: object.version, since: now };
    return { type: 'not_held', reason: 'held_by_other' };
  }

  private async write(expected: ObjectVersion | 'absent', actFrom: Millis): Promise<LeaseState> {
    const { store, kind, name, clock, holder, incarnation } = this.options;
    const sentAt = clock.now();
    const sentWall = clock.wall();
    // The times make each value differ: a write that changes nothing would keep the object's version.
    const value = { holder, incarnation, at: Math.round(sentWall), beat: Math.round(sentAt) };
    const written = await store.put(kind, name, value, expected);
    if (written.isOk()) {
      this.own = { version: written.value.version, sentAt, sentWall, actFrom };
      this.seen = undefined;
      return this.state();
    }
    if (written.error.type === 'conflict')
      return this.handleConflict(written.error.current, actFrom);
    // The write may have taken effect all the same; the next one then fails with a conflict.
    return { type: 'not_held', reason: 'store_away' };
  }

  /** Handles a conflict with another host's write, or with an own write whose response was lost. */
  private handleConflict(
    current: StoredObject | undefined,
    actFrom: Millis,
  ): Promise<LeaseState> | LeaseState {
    const { holder, incarnation, clock } = this.options;
    this.own = undefined;
    if (current !== undefined && isWrittenBy(current, holder, incarnation)) {
      return this.write(current.version, actFrom);
    }
    this.seen = current && { version: current.version, since: clock.now() };
    return { type: 'not_held', reason: 'held_by_other' };
  }

  private state(): LeaseState {
    const fence = this.getFencingToken();
    return fence === undefined ? { type: 'not_held', reason: 'waiting' } : { type: 'held', fence };
  }

  private isFresh({ sentAt, sentWall }: HeldTerm, marginMs: Millis): boolean {
    const { clock, leaseMs } = this.options;
    const elapsed = clock.now() - sentAt;
    const divergence = Math.abs(clock.wall() - sentWall - elapsed);
    return elapsed < leaseMs - marginMs && divergence < MAX_CLOCK_DIVERGENCE_MS;
  }
}

/** Tells whether a host wrote the object, and, where an incarnation is given, that incarnation. */
function isWrittenBy({ value }: StoredObject, holder: string, incarnation?: Incarnation): boolean {
  const written = value as { readonly holder?: unknown; readonly incarnation?: unknown } | null;
  if (written?.holder !== holder) return false;
  return incarnation === undefined || written.incarnation === incarnation;
}
