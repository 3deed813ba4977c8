import type { Millis, Pieces, ReservationId, UpstreamId } from '@camphorvane/core';
import { IndexedHeap } from '../structures/IndexedHeap.ts';

interface Account {
  capacity: Pieces;
  reserved: Pieces;
  reservationCount: number;
  /** Memory in use according to the last load report that no reservation accounts for. */
  unaccounted: Pieces;
  /** Maximum of reserved memory since the last load report. */
  peak: Pieces;
  /** Maximum of reserved memory between the last two load reports. */
  previousPeak: Pieces;
}

interface Reservation {
  readonly engine: UpstreamId;
  readonly pieces: Pieces;
}

/**
 * Exact record of reserved decode memory: which reservation holds how many pieces, until when.
 *
 * At peak load a decode engine has room for about twenty requests, and load reports lag: two requests
 * placed by the same report could both claim the last free pieces, and the prefill result of the
 * second would be evicted and wasted. Reserving memory before the prefill prevents that.
 */
export class MemoryLedger {
  private readonly accounts = new Map<UpstreamId, Account>();

  private readonly reservations = new Map<ReservationId, Reservation>();

  private readonly expiries = new IndexedHeap<ReservationId>();

  /** Gets the number of reservations. */
  get size(): number {
    return this.reservations.size;
  }

  /** Gets when the next reservation expires; undefined if there is none. */
  get nextExpiry(): Millis | undefined {
    return this.expiries.peekKey();
  }

  /**
   * Opens the account of an engine, or changes its capacity; existing reservations stay.
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
    const empty = { reserved: 0, reservationCount: 0, unaccounted: 0, peak: 0, previousPeak: 0 };
    this.accounts.set(engine, { capacity, ...empty });
  }

  /** Closes an engine's account to new reservations; it is removed with its last reservation. */
  close(engine: UpstreamId): void {
    const account = this.accounts.get(engine);
    if (account === undefined) return;
    account.capacity = 0;
    if (account.reservationCount === 0) this.accounts.delete(engine);
  }

  /** Gets the pieces that can still be reserved on an engine; 0 for unknown engines. */
  getFree(engine: UpstreamId): Pieces {
    const account = this.accounts.get(engine);
    if (account === undefined) return 0;
    return Math.max(0, account.capacity - account.reserved - account.unaccounted);
  }

  /** Gets the pieces reserved on an engine. */
  getReserved(engine: UpstreamId): Pieces {
    return this.accounts.get(engine)?.reserved ?? 0;
  }

  /** Gets the number of reservations on an engine. */
  countReservations(engine: UpstreamId): number {
    return this.accounts.get(engine)?.reservationCount ?? 0;
  }

  /**
   * Reserves memory on an engine if enough is free.
   *
   * @param id - Id of the new reservation.
   * @param engine - The decode engine.
   * @param pieces - Pieces for the prompt and all allowed output.
   * @param expiresAt - Expiry of the reservation unless it is extended.
   * @returns False if the pieces are not free or the id exists; nothing is reserved then.
   */
  reserve(id: ReservationId, engine: UpstreamId, pieces: Pieces, expiresAt: Millis): boolean {
    if (this.reservations.has(id) || this.getFree(engine) < pieces) return false;
    this.add(id, { engine, pieces }, expiresAt);
    return true;
  }

  /**
   * Records a reservation made by an earlier scheduler of the pool, as reported by its holder. It is
   * recorded even beyond the capacity, because rejecting it would not free the memory.
   *
   * @param id - Id of the reservation.
   * @param engine - The decode engine.
   * @param pieces - Pieces held.
   * @param expiresAt - Expiry of the reservation unless it is extended.
   */
  adopt(id: ReservationId, engine: UpstreamId, pieces: Pieces, expiresAt: Millis): void {
    if (this.reservations.has(id)) return;
    if (!this.accounts.has(engine)) this.open(engine, 0);
    this.add(id, { engine, pieces }, expiresAt);
  }

  /** Changes the expiry of a reservation; false if it is not known. */
  extend(id: ReservationId, expiresAt: Millis): boolean {
    if (!this.reservations.has(id)) return false;
    this.expiries.set(id, expiresAt);
    return true;
  }

  /** Frees a reservation and gets its engine; undefined if the reservation is not known. */
  free(id: ReservationId): UpstreamId | undefined {
    const reservation = this.reservations.get(id);
    if (reservation === undefined) return undefined;
    this.reservations.delete(id);
    this.expiries.delete(id);
    const account = this.accounts.get(reservation.engine);
    if (account === undefined) return reservation.engine;
    account.reserved -= reservation.pieces;
    account.reservationCount -= 1;
    if (account.reservationCount === 0 && account.capacity === 0)
      this.accounts.delete(reservation.engine);
    return reservation.engine;
  }

  /** Gets an expired reservation, if there is any; it holds its memory until it is freed. */
  getExpired(now: Millis): ReservationId | undefined {
    const expiresAt = this.expiries.peekKey();
    return expiresAt !== undefined && expiresAt <= now ? this.expiries.peek() : undefined;
  }

  /**
   * Corrects an account by a load report.
   *
   * Reports lag, so one may still include memory that has been freed since. Only usage above the
   * maximum reserved over the last two report intervals is unaccounted for: streams placed by an
   * earlier scheduler of the pool, or requests that an engine failed to drop.
   *
   * @param engine - The engine.
   * @param usedPieces - Pieces in use according to the report.
   */
  applyLoadReport(engine: UpstreamId, usedPieces: Pieces): void {
    const account = this.accounts.get(engine);
    if (account === undefined) return;
    account.unaccounted = Math.max(0, usedPieces - Math.max(account.peak, account.previousPeak));
    account.previousPeak = account.peak;
    account.peak = account.reserved;
  }

  private add(id: ReservationId, reservation: Reservation, expiresAt: Millis): void {
    this.reservations.set(id, reservation);
    this.expiries.set(id, expiresAt);
    const account = this.accounts.get(reservation.engine);
    if (account === undefined) return;
    account.reserved += reservation.pieces;
    account.reservationCount += 1;
    account.peak = Math.max(account.peak, account.reserved);
  }
}
