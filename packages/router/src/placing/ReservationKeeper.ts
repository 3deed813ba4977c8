import type { Clock, Millis, ModelId, ReservationId } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { AdoptedReservation } from '@camphorvane/decisions';
import type { Placer } from './Placer.ts';

/** Milliseconds between two renewals; a reservation lives three of them. */
const RENEW_PERIOD_MS: Millis = 1_000;

/** Milliseconds to wait for the answer to a renewal. */
const RENEW_TIMEOUT_MS: Millis = 900;

/** A reservation that a request on this host uses. */
export interface KeptReservation {
  readonly model: ModelId;
  /** Called when the steward no longer knows the reservation: its memory may be given away. */
  readonly onLost: () => void;
  readonly state: AdoptedReservation;
}

/**
 * Renews the reservations of a host, one message for each pool.
 *
 * The renewals also show a new steward what its predecessor had given away.
 */
export class ReservationKeeper {
  private readonly clock: Clock;

  private readonly placer: Placer;

  private readonly kept = new Map<ReservationId, KeptReservation>();

  /**
   * @param clock - Times the renewals.
   * @param placer - Takes the renewals.
   */
  constructor(clock: Clock, placer: Placer) {
    this.clock = clock;
    this.placer = placer;
  }

  /** Gets how many reservations are kept. */
  size(): number {
    return this.kept.size;
  }

  /** Starts to keep a reservation, or replaces what is known of it. */
  keep(reservation: KeptReservation): void {
    this.kept.set(reservation.state.reservation, reservation);
  }

  /** Ends keeping a reservation. */
  drop(reservation: ReservationId): void {
    this.kept.delete(reservation);
  }

  /** Renews until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const models = new Set([...this.kept.values()].map((one) => one.model));
      await Promise.all([...models].map((model) => this.renew(model)));
      await sleep(this.clock, RENEW_PERIOD_MS, signal);
    }
  }

  private async renew(model: ModelId): Promise<void> {
    const held = [...this.kept.values()].filter((one) => one.model === model);
    const states = held.map((one) => one.state);
    const lostIds = await this.placer.renew(model, states, RENEW_TIMEOUT_MS);
    lostIds.forEach((id) => {
      const lost = this.kept.get(id);
      this.kept.delete(id);
      lost?.onLost();
    });
  }
}
