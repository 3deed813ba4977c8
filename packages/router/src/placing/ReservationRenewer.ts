import type { Clock, Millis, ModelId, ReservationId } from '@camphorvane/core';
import { runLoop, sleep } from '@camphorvane/core';
import type { AdoptedReservation } from '@camphorvane/decisions';
import type { Placer } from './Placer.ts';

/** Milliseconds between two renewals; a reservation expires after three periods without one. */
const RENEW_PERIOD_MS: Millis = 1_000;

/** Timeout of a renewal in milliseconds. */
const RENEW_TIMEOUT_MS: Millis = 900;

/** A reservation used by a request on this host. */
export interface TrackedReservation {
  readonly model: ModelId;
  /** Called when the coordinator has lost the reservation and may assign its memory to others. */
  readonly onLost: () => void;
  readonly state: AdoptedReservation;
}

/**
 * Renews the reservations of a host with one message per pool.
 *
 * From the renewals a new coordinator also learns of the reservations made by its predecessor.
 */
export class ReservationRenewer {
  private readonly clock: Clock;

  private readonly placer: Placer;

  private readonly tracked = new Map<ReservationId, TrackedReservation>();

  /**
   * @param clock - Times the renewals.
   * @param placer - Receives the renewals.
   */
  constructor(clock: Clock, placer: Placer) {
    this.clock = clock;
    this.placer = placer;
  }

  /** Gets the number of reservations being renewed. */
  size(): number {
    return this.tracked.size;
  }

  /** Starts to renew a reservation, or updates its state. */
  track(reservation: TrackedReservation): void {
    this.tracked.set(reservation.state.reservation, reservation);
  }

  /** Stops renewing a reservation. */
  untrack(reservation: ReservationId): void {
    this.tracked.delete(reservation);
  }

  /** Renews until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    return runLoop({ place: 'reservations', clock: this.clock, signal }, async () => {
      const models = new Set([...this.tracked.values()].map((reservation) => reservation.model));
      await Promise.all([...models].map((model) => this.renew(model)));
      await sleep(this.clock, RENEW_PERIOD_MS, signal);
    });
  }

  private async renew(model: ModelId): Promise<void> {
    const held = [...this.tracked.values()].filter((reservation) => reservation.model === model);
    const states = held.map((reservation) => reservation.state);
    const lostIds = await this.placer.renew(model, states, RENEW_TIMEOUT_MS);
    lostIds.forEach((id) => {
      const lost = this.tracked.get(id);
      this.tracked.delete(id);
      lost?.onLost();
    });
  }
}
