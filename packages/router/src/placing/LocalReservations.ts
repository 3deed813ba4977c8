import type { Millis, ReservationId, UpstreamId } from '@camphorvane/core';
import type { EngineKnowledge, ReservationEnd } from '@camphorvane/decisions';
import type { HeldStream } from '../serving/queuedWork.ts';
import type { LocalReservation, StreamAccounts } from './localPool.ts';

/**
 * Tracks the engine memory, streams and queued prompts of this host's placed requests.
 *
 * Everything a request uses is released however it ends. Peers receive the totals of each engine and
 * take them into account when they place requests.
 */
export class LocalReservations {
  private readonly knowledge: EngineKnowledge;

  private readonly prefix: string;

  private readonly accounts: StreamAccounts | undefined;

  private readonly reservations = new Map<ReservationId, LocalReservation>();

  /** Reservations whose prefill has not finished. */
  private readonly prefilling = new Set<ReservationId>();

  private startedCount = 0;

  /**
   * @param knowledge - Receives the load in flight on the engines and the measured prefill speeds.
   * @param prefix - Prefix of reservation ids, unique to this incarnation of the host.
   * @param accounts - Records what the streams of each team hold.
   */
  constructor(knowledge: EngineKnowledge, prefix: string, accounts?: StreamAccounts) {
    this.knowledge = knowledge;
    this.prefix = prefix;
    this.accounts = accounts;
  }

  /** Gets the number of active reservations. */
  get size(): number {
    return this.reservations.size;
  }

  /** Gets the number of reservations made since the host started. */
  get totalCount(): number {
    return this.startedCount;
  }

  /** Gets an active reservation; undefined once it has been released. */
  get(reservation: ReservationId): LocalReservation | undefined {
    return this.reservations.get(reservation);
  }

  /** Gets all active reservations. */
  entries(): readonly (readonly [ReservationId, LocalReservation])[] {
    return [...this.reservations];
  }

  /** Reserves the engines of a request that is placed now. */
  reserve(work: Omit<LocalReservation, 'wasIdle' | 'reservedAt'>, now: Millis): ReservationId {
    const { inFlight } = this.knowledge;
    const { pair, promptTokens, memoryTokens } = work;
    const prefillAt = pair.prefill ?? pair.decode;
    const wasIdle = inFlight.getTotal(prefillAt, now).prefillTokens === 0;
    this.startedCount += 1;
    const reservation = `${this.prefix}.p${this.startedCount}`;
    inFlight.adjust(prefillAt, { prefillTokens: promptTokens });
    inFlight.adjust(pair.decode, { streams: 1, memoryTokens });
    const { admission } = this.knowledge;
    new Set([prefillAt, pair.decode]).forEach((engine) => admission.recordRequest(engine, now));
    this.prefilling.add(reservation);
    this.reservations.set(reservation, { ...work, wasIdle, reservedAt: now });
    this.accounts?.place(heldStream(work));
    return reservation;
  }

  /**
   * Frees the prefill engine of a reservation.
   *
   * @param reservation - The reservation.
   * @param tookMs - Milliseconds that the prefill took; undefined where it failed or was not timed.
   */
  endPrefill(reservation: ReservationId, tookMs?: Millis): void {
    const reserved = this.reservations.get(reservation);
    if (reserved === undefined) return;
    const { pair, promptTokens, wasIdle } = reserved;
    if (tookMs !== undefined && pair.prefill !== undefined) {
      const { health } = this.knowledge;
      if (wasIdle) health.recordPrefill(pair.prefill, promptTokens, tookMs);
      health.recordSuccess(pair.prefill);
    }
    if (!this.prefilling.delete(reservation)) return;
    this.knowledge.inFlight.adjust(pair.prefill ?? pair.decode, { prefillTokens: -promptTokens });
  }

  /** Moves the stream and memory of a reservation to another decode engine. */
  moveDecode(reservation: ReservationId, decode: UpstreamId, now: Millis): void {
    const reserved = this.reservations.get(reservation);
    if (reserved === undefined) return;
    const { pair, memoryTokens, promptTokens } = reserved;
    // A stream that is moved after its first event may not have been recorded as prefilled yet.
    const isPrefilling = pair.prefill === undefined && this.prefilling.has(reservation);
    const prefillTokens = isPrefilling ? promptTokens : 0;
    const left = { streams: -1, memoryTokens: -memoryTokens, prefillTokens: -prefillTokens };
    this.knowledge.inFlight.adjust(pair.decode, left);
    this.knowledge.inFlight.adjust(decode, { streams: 1, memoryTokens, prefillTokens });
    this.knowledge.admission.recordRequest(decode, now);
    this.reservations.set(reservation, { ...reserved, pair: { ...pair, decode } });
  }

  /** Releases a reservation and returns it; undefined where it has been released before. */
  release(reservation: ReservationId, end: ReservationEnd): LocalReservation | undefined {
    const reserved = this.reservations.get(reservation);
    if (reserved === undefined) return undefined;
    this.endPrefill(reservation);
    this.reservations.delete(reservation);
    this.accounts?.release(heldStream(reserved));
    const { pair, memoryTokens } = reserved;
    this.knowledge.inFlight.adjust(pair.decode, { streams: -1, memoryTokens: -memoryTokens });
    if (end === 'done') this.knowledge.health.recordSuccess(pair.decode);
    return reserved;
  }
}

function heldStream(work: Omit<LocalReservation, 'wasIdle' | 'reservedAt'>): HeldStream {
  const { request, model, team, priority, memoryTokens } = work;
  return { type: 'stream', request, model, team, priority, memoryTokens };
}
