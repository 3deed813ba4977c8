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

/** The scheduler decision that places a request. */
export type PlaceDecision = Extract<SchedulerDecision, { type: 'place' }>;

/** The scheduler decision that reclaims a reservation. */
export type ReclaimDecision = Extract<SchedulerDecision, { type: 'reclaim' }>;

interface ReservationEntry {
  readonly request: RequestId;
  readonly holder: HostId;
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  readonly prefillTokens: Tokens;
  readonly isLookup: boolean;
  /** The decision that placed the request; undefined for adopted reservations. */
  readonly decision: PlaceDecision | undefined;
  /** When the request was placed; undefined for adopted reservations. */
  readonly reservedAt: Millis | undefined;
  prefillRunning: boolean;
  reclaimed: boolean;
}

/** Tracks the live reservations, and frees what each of them holds exactly once. */
export class ReservationTable {
  private readonly entries = new Map<ReservationId, ReservationEntry>();

  private readonly byRequest = new Map<RequestId, ReservationId>();

  private lastNumber = 0;

  constructor(
    private readonly memory: MemoryLedger,
    private readonly table: EngineTable,
    private readonly prefix: string,
  ) {}

  /** Gets the decision that placed a request, or undefined if it has no live reservation. */
  getPlacement(request: RequestId): PlaceDecision | undefined {
    const reservation = this.byRequest.get(request);
    return reservation === undefined ? undefined : this.entries.get(reservation)?.decision;
  }

  /** Gets when the request of a live reservation was placed; undefined for unknown and adopted ones. */
  getReservedAt(reservation: ReservationId): Millis | undefined {
    return this.entries.get(reservation)?.reservedAt;
  }

  /** Gets the number of reservations that use an engine for prefill or decode. */
  countReservations(engine: UpstreamId): number {
    return this.memory.countReservations(engine) + this.table.getInFlightPrefills(engine);
  }

  /**
   * Reserves engines for a placement; the caller has made sure that the memory is free.
   *
   * @param work - The request.
   * @param placement - The engines chosen for it.
   * @param priority - Priority passed to the engines.
   * @param now - Present time.
   * @param expiresAt - When the reservation expires unless it is renewed.
   * @returns The decision.
   */
  reserve(
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
      throw new Error(`Engine ${decode} does not have ${pieces} free pieces for its placement.`);
    }
    const { expectedCachedTokens } = placement;
    const prefillTokens = Math.max(0, item.promptTokens - expectedCachedTokens);
    const isLookup = item.class === 'lookup';
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
    this.table.prefillStarted(prefill, prefillTokens, isLookup, now);
    this.insert(reservation, {
      request: item.request,
      holder: item.holder,
      prefill,
      decode,
      prefillTokens,
      isLookup,
      decision,
      reservedAt: now,
      prefillRunning: true,
      reclaimed: false,
    });
    return decision;
  }

  /** Adopts a reservation that its holder has from an earlier coordinator; a known one stays as it is. */
  adopt(adopted: AdoptedReservation, expiresAt: Millis): void {
    if (this.entries.has(adopted.reservation)) return;
    const { request, holder, prefill, decode, prefillRunning } = adopted;
    this.memory.adopt(adopted.reservation, decode, adopted.pieces, expiresAt);
    if (prefillRunning) this.table.prefillStarted(prefill, 0, true, 0);
    this.insert(adopted.reservation, {
      request,
      holder,
      prefill,
      decode,
      prefillTokens: 0,
      isLookup: true,
      decision: undefined,
      reservedAt: undefined,
      prefillRunning,
      reclaimed: false,
    });
  }

  /** Extends a reservation; false if it is unknown or being reclaimed. */
  renew(reservation: ReservationId, expiresAt: Millis): boolean {
    const entry = this.entries.get(reservation);
    if (entry === undefined || entry.reclaimed) return false;
    return this.memory.extend(reservation, expiresAt);
  }

  /** Frees the prefill engine of a reservation; idempotent. */
  prefillEnded(reservation: ReservationId): void {
    const entry = this.entries.get(reservation);
    if (entry === undefined || !entry.prefillRunning) return;
    entry.prefillRunning = false;
    this.table.prefillEnded(entry.prefill, entry.prefillTokens, entry.isLookup);
  }

  /** Frees everything that a reservation holds; unknown ones are ignored. */
  release(reservation: ReservationId): void {
    const entry = this.entries.get(reservation);
    if (entry === undefined) return;
    this.prefillEnded(reservation);
    this.entries.delete(reservation);
    if (this.byRequest.get(entry.request) === reservation) this.byRequest.delete(entry.request);
    this.memory.free(reservation);
    this.table.refresh(entry.decode);
  }

  /**
   * Reclaims an expired reservation. Its holder has failed or is partitioned, while the engines may
   * still run the request: the first call cancels the request and keeps the memory reserved until the
   * engines have dropped it, the second frees the memory.
   *
   * @param reservation - A reservation that has expired.
   * @param freeAt - When the memory may be reserved again.
   * @returns The decision that cancels the request, on the first call only.
   */
  reclaim(reservation: ReservationId, freeAt: Millis): ReclaimDecision | undefined {
    const entry = this.entries.get(reservation);
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

  private insert(reservation: ReservationId, entry: ReservationEntry): void {
    this.entries.set(reservation, entry);
    this.byRequest.set(entry.request, reservation);
    this.table.refresh(entry.decode);
  }

  private nextId(): ReservationId {
    this.lastNumber += 1;
    return `${this.prefix}-${this.lastNumber}`;
  }
}
