import type { Millis, ReservationId, UpstreamId } from '@camphorvane/core';
import type { EngineKnowledge, ReservationEnd } from '@camphorvane/decisions';
import type { HeldReservation } from './localPool.ts';

/**
 * Keeps what the placed requests of this host have on the engines, from their placing to their end.
 *
 * All that is taken is given back whichever way a request ends; peers are told the sums, and place by
 * them.
 */
export class HeldWork {
  private readonly knowledge: EngineKnowledge;

  private readonly prefix: string;

  private readonly held = new Map<ReservationId, HeldReservation>();

  /** Reservations whose prompt is not read yet. */
  private readonly prefilling = new Set<ReservationId>();

  private begun = 0;

  /**
   * @param knowledge - Takes in what is held, and how fast prompts were read.
   * @param prefix - Names this start of the host; reservations begin with it.
   */
  constructor(knowledge: EngineKnowledge, prefix: string) {
    this.knowledge = knowledge;
    this.prefix = prefix;
  }

  /** Gets how many requests hold something. */
  get size(): number {
    return this.held.size;
  }

  /** Gets how many requests were placed since the start. */
  get count(): number {
    return this.begun;
  }

  /** Gets what a request holds; undefined once it has ended. */
  get(reservation: ReservationId): HeldReservation | undefined {
    return this.held.get(reservation);
  }

  /** Takes room on the engines of a request that is placed now. */
  begin(work: Omit<HeldReservation, 'wasIdle'>, now: Millis): ReservationId {
    const { use } = this.knowledge;
    const { pair, promptTokens, memoryTokens } = work;
    const prefillAt = pair.prefill ?? pair.decode;
    const wasIdle = use.getTotal(prefillAt, now).prefillTokens === 0;
    this.begun += 1;
    const reservation = `${this.prefix}.p${this.begun}`;
    use.change(prefillAt, { prefillTokens: promptTokens });
    use.change(pair.decode, { streams: 1, memoryTokens });
    const { slowStart } = this.knowledge;
    new Set([prefillAt, pair.decode]).forEach((engine) => slowStart.used(engine, now));
    this.prefilling.add(reservation);
    this.held.set(reservation, { ...work, wasIdle });
    return reservation;
  }

  /** Notes that a prompt is read, or is not going to be; without a time it was not read. */
  endPrefill(reservation: ReservationId, tookMs?: Millis): void {
    const held = this.held.get(reservation);
    if (held === undefined) return;
    const { pair, promptTokens, wasIdle } = held;
    if (tookMs !== undefined && pair.prefill !== undefined) {
      const { health } = this.knowledge;
      if (wasIdle) health.prefillTook(pair.prefill, promptTokens, tookMs);
      health.succeeded(pair.prefill);
    }
    if (!this.prefilling.delete(reservation)) return;
    this.knowledge.use.change(pair.prefill ?? pair.decode, { prefillTokens: -promptTokens });
  }

  /** Moves a request's room from its decode engine to another one. */
  moveDecode(reservation: ReservationId, decode: UpstreamId, now: Millis): void {
    const held = this.held.get(reservation);
    if (held === undefined) return;
    const { pair, memoryTokens } = held;
    this.knowledge.use.change(pair.decode, { streams: -1, memoryTokens: -memoryTokens });
    this.knowledge.use.change(decode, { streams: 1, memoryTokens });
    this.knowledge.slowStart.used(decode, now);
    this.held.set(reservation, { ...held, pair: { ...pair, decode } });
  }

  /** Gives back all that a request holds; gets what that was, or undefined if it had ended. */
  release(reservation: ReservationId, end: ReservationEnd): HeldReservation | undefined {
    const held = this.held.get(reservation);
    if (held === undefined) return undefined;
    this.endPrefill(reservation);
    this.held.delete(reservation);
    const { pair, memoryTokens } = held;
    this.knowledge.use.change(pair.decode, { streams: -1, memoryTokens: -memoryTokens });
    if (end === 'done') this.knowledge.health.succeeded(pair.decode);
    return held;
  }
}
