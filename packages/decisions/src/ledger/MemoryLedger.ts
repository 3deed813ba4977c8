import type { Millis, Pieces, ReservationId, UpstreamId } from '@camphorvane/core';
import { IndexedHeap } from '../structures/IndexedHeap.ts';

interface Account {
  capacity: Pieces;
  reserved: Pieces;
  holders: number;
  /** Memory that a report showed and no reservation explains. */
  foreign: Pieces;
  /** Most memory reserved since the last report, and between the two before it. */
  peak: Pieces;
  earlierPeak: Pieces;
}

interface Hold {
  readonly engine: UpstreamId;
  readonly pieces: Pieces;
}

/**
 * The exact account of decode memory: who holds how many pieces, and until when.
 *
 * Made for the peak, when a decode engine has room for about twenty requests. Reports of load lag,
 * so two requests placed by the same report would both find the last free pieces; the second one's
 * prefill is then evicted and wasted. A reservation made here before the prefill prevents that.
 */
export class MemoryLedger {
  private readonly accounts = new Map<UpstreamId, Account>();

  private readonly holds = new Map<ReservationId, Hold>();

  private readonly expiries = new IndexedHeap<ReservationId>();

  /** Gets how many reservations hold memory. */
  get size(): number {
    return this.holds.size;
  }

  /** Gets when the next reservation runs out, if there is any. */
  get nextExpiry(): Millis | undefined {
    return this.expiries.peekKey();
  }

  /**
   * Opens the account of an engine, or changes its capacity; what is held stays held.
   *
   * @param engine - The engine.
   * @param capacity - Its memory in pieces; 0 for an engine that takes no new work.
   */
  open(engine: UpstreamId, capacity: Pieces): void {
    const account = this.accounts.get(engine);
    if (account !== undefined) {
      account.capacity = capacity;
      return;
    }
    const empty = { reserved: 0, holders: 0, foreign: 0, peak: 0, earlierPeak: 0 };
    this.accounts.set(engine, { capacity, ...empty });
  }

  /** Closes an engine's account to new reservations and forgets it once nothing is held. */
  close(engine: UpstreamId): void {
    const account = this.accounts.get(engine);
    if (account === undefined) return;
    account.capacity = 0;
    if (account.holders === 0) this.accounts.delete(engine);
  }

  /** Gets the pieces that may still be reserved on an engine; 0 for unknown engines. */
  getFree(engine: UpstreamId): Pieces {
    const account = this.accounts.get(engine);
    if (account === undefined) return 0;
    return Math.max(0, account.capacity - account.reserved - account.foreign);
  }

  /** Gets the pieces held by reservations on an engine. */
  getReserved(engine: UpstreamId): Pieces {
    return this.accounts.get(engine)?.reserved ?? 0;
  }

  /** Gets how many reservations an engine carries. */
  getHolders(engine: UpstreamId): number {
    return this.accounts.get(engine)?.holders ?? 0;
  }

  /**
   * Reserves memory, if there is room.
   *
   * @param reservation - A new id.
   * @param engine - The decode engine.
   * @param pieces - Pieces for the prompt and all allowed output.
   * @param expiresAt - When the reservation runs out unless it is renewed.
   * @returns False where the pieces are not free; nothing is reserved then.
   */
  reserve(
    reservation: ReservationId,
    engine: UpstreamId,
    pieces: Pieces,
    expiresAt: Millis,
  ): boolean {
    if (this.holds.has(reservation) || this.getFree(engine) < pieces) return false;
    this.book(reservation, { engine, pieces }, expiresAt);
    return true;
  }

  /**
   * Books memory that is held on the engine already, whether or not the account has room for it:
   * a new steward learns of it from its holder, and denying it would not free it.
   *
   * @param reservation - The holder's id.
   * @param engine - The decode engine.
   * @param pieces - Pieces held.
   * @param expiresAt - When the reservation runs out unless it is renewed.
   */
  adopt(reservation: ReservationId, engine: UpstreamId, pieces: Pieces, expiresAt: Millis): void {
    if (this.holds.has(reservation)) return;
    if (!this.accounts.has(engine)) this.open(engine, 0);
    this.book(reservation, { engine, pieces }, expiresAt);
  }

  /** Moves a reservation's expiry; false where the reservation is not known. */
  extend(reservation: ReservationId, expiresAt: Millis): boolean {
    if (!this.holds.has(reservation)) return false;
    this.expiries.set(reservation, expiresAt);
    return true;
  }

  /** Frees a reservation and gets its engine; undefined where it is not known. */
  free(reservation: ReservationId): UpstreamId | undefined {
    const hold = this.holds.get(reservation);
    if (hold === undefined) return undefined;
    this.holds.delete(reservation);
    this.expiries.delete(reservation);
    const account = this.accounts.get(hold.engine);
    if (account === undefined) return hold.engine;
    account.reserved -= hold.pieces;
    account.holders -= 1;
    if (account.holders === 0 && account.capacity === 0) this.accounts.delete(hold.engine);
    return hold.engine;
  }

  /** Gets a reservation that has run out by now, if there is any; it stays booked until freed. */
  expired(now: Millis): ReservationId | undefined {
    const at = this.expiries.peekKey();
    return at !== undefined && at <= now ? this.expiries.peek() : undefined;
  }

  /**
   * Corrects an account by a load report.
   *
   * A report is late, so memory that was reserved a moment ago and is free by now still shows. Only
   * what exceeds the largest sum reserved over the last two reports can be foreign: streams of a
   * steward that is gone, or work that an engine did not drop.
   *
   * @param engine - The engine.
   * @param used - Pieces in use as the report says.
   */
  report(engine: UpstreamId, used: Pieces): void {
    const account = this.accounts.get(engine);
    if (account === undefined) return;
    account.foreign = Math.max(0, used - Math.max(account.peak, account.earlierPeak));
    account.earlierPeak = account.peak;
    account.peak = account.reserved;
  }

  private book(reservation: ReservationId, hold: Hold, expiresAt: Millis): void {
    this.holds.set(reservation, hold);
    this.expiries.set(reservation, expiresAt);
    const account = this.accounts.get(hold.engine);
    if (account === undefined) return;
    account.reserved += hold.pieces;
    account.holders += 1;
    account.peak = Math.max(account.peak, account.reserved);
  }
}
