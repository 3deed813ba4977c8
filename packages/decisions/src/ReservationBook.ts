import type {
  HostId,
  Millis,
  RequestId,
  ReservationId,
  Tokens,
  UpstreamId,
} from '@camphorvane/core';
import type { MemoryLedger } from './ledger/MemoryLedger.ts';
import type { Placement } from './place/EngineChooser.ts';
import type { EngineTable } from './place/EngineTable.ts';
import type { AdoptedReservation, SchedulerDecision } from './PoolScheduler.ts';
import type { QueuedWork } from './queue/QueuedWork.ts';

/** A placement as a decision. */
export type PlaceDecision = Extract<SchedulerDecision, { type: 'place' }>;

/** A reclaimed reservation as a decision. */
export type ReclaimDecision = Extract<SchedulerDecision, { type: 'reclaim' }>;

interface Booked {
  readonly request: RequestId;
  readonly holder: HostId;
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  readonly prefillTokens: Tokens;
  readonly lookup: boolean;
  /** The decision that gave the place; absent for reservations of an earlier steward. */
  readonly decision: PlaceDecision | undefined;
  prefillRunning: boolean;
  reclaimed: boolean;
}

/** The live reservations: what each holds, and how each is freed, exactly once. */
export class ReservationBook {
  private readonly booked = new Map<ReservationId, Booked>();

  private readonly byRequest = new Map<RequestId, ReservationId>();

  private placed = 0;

  constructor(
    private readonly memory: MemoryLedger,
    private readonly table: EngineTable,
    private readonly prefix: string,
  ) {}

  /** Gets the decision that placed a request, while its reservation is live. */
  getPlaced(request: RequestId): PlaceDecision | undefined {
    const reservation = this.byRequest.get(request);
    return reservation === undefined ? undefined : this.booked.get(reservation)?.decision;
  }

  /** Gets how many reservations use an engine, for prefill or for decode. */
  getHolders(engine: UpstreamId): number {
    return this.memory.getHolders(engine) + this.table.getPrefills(engine);
  }

  /** Books a placement; the chooser has made sure that the memory is free. */
  place(
    work: QueuedWork,
    placement: Placement,
    priority: number,
    now: Millis,
    expiresAt: Millis,
  ): PlaceDecision {
    const { item, pieces } = work;
    const reservation = this.nextId();
    const prefill = placement.prefill.cfg.id;
    const decode = placement.decode.cfg.id;
    if (!this.memory.reserve(reservation, decode, pieces, expiresAt)) {
      throw new Error(`Engine ${decode} was chosen without ${pieces} free pieces.`);
    }
    const { expectedCachedTokens } = placement;
    const prefillTokens = Math.max(0, item.promptTokens - expectedCachedTokens);
    const lookup = item.class === 'lookup';
    const decision: PlaceDecision = {
      type: 'place',
      request: item.request,
      holder: item.holder,
      reservation,
      prefill,
      decode,
      pieces,
      priority,
      expiresAt,
      expectedCachedTokens,
    };
    this.table.prefillStarted(prefill, prefillTokens, lookup, now);
    this.put(reservation, {
      request: item.request,
      holder: item.holder,
      prefill,
      decode,
      prefillTokens,
      lookup,
      decision,
      prefillRunning: true,
      reclaimed: false,
    });
    return decision;
  }

  /** Books a reservation that its holder has from an earlier steward. */
  adopt(held: AdoptedReservation, expiresAt: Millis): void {
    if (this.booked.has(held.reservation)) return;
    const { request, holder, prefill, decode, prefillRunning } = held;
    this.memory.adopt(held.reservation, decode, held.pieces, expiresAt);
    if (prefillRunning) this.table.prefillStarted(prefill, 0, true, 0);
    this.put(held.reservation, {
      request,
      holder,
      prefill,
      decode,
      prefillTokens: 0,
      lookup: true,
      decision: undefined,
      prefillRunning,
      reclaimed: false,
    });
  }

  /** Extends a reservation; false where it is not known, or already being reclaimed. */
  renew(reservation: ReservationId, expiresAt: Millis): boolean {
    const entry = this.booked.get(reservation);
    if (entry === undefined || entry.reclaimed) return false;
    return this.memory.extend(reservation, expiresAt);
  }

  /** Frees the prefill engine of a reservation; a repeated call does nothing. */
  prefillEnded(reservation: ReservationId): void {
    const entry = this.booked.get(reservation);
    if (entry === undefined || !entry.prefillRunning) return;
    entry.prefillRunning = false;
    this.table.prefillEnded(entry.prefill, entry.prefillTokens, entry.lookup);
  }

  /** Frees everything that a reservation holds; unknown ones are ignored. */
  release(reservation: ReservationId): void {
    const entry = this.booked.get(reservation);
    if (entry === undefined) return;
    this.prefillEnded(reservation);
    this.booked.delete(reservation);
    if (this.byRequest.get(entry.request) === reservation) this.byRequest.delete(entry.request);
    this.memory.free(reservation);
    this.table.refresh(entry.decode);
  }

  /**
   * Takes back a reservation that has run out. What goes wrong: its holder died or was cut off, and
   * the engine may still run the request. The first call asks for the request to be cancelled and
   * keeps the memory booked for a moment; the second frees it.
   *
   * @param reservation - A reservation whose expiry has passed.
   * @param freeAt - When the memory may be given to another.
   * @returns What is to be cancelled, on the first call only.
   */
  reclaim(reservation: ReservationId, freeAt: Millis): ReclaimDecision | undefined {
    const entry = this.booked.get(reservation);
    if (entry === undefined || entry.reclaimed) {
      this.memory.free(reservation);
      this.release(reservation);
      return undefined;
    }
    entry.reclaimed = true;
    this.byRequest.delete(entry.request);
    this.memory.extend(reservation, freeAt);
    const { request, prefill, decode } = entry;
    return { type: 'reclaim', request, reservation, prefill, decode };
  }

  private put(reservation: ReservationId, entry: Booked): void {
    this.booked.set(reservation, entry);
    this.byRequest.set(entry.request, reservation);
    this.table.refresh(entry.decode);
  }

  private nextId(): ReservationId {
    this.placed += 1;
    return `${this.prefix}-${this.placed}`;
  }
}
