import type { Millis, ModelId, Refusal, ReservationId, UpstreamId } from '@camphorvane/core';
import type {
  AdoptedReservation,
  EngineObservation,
  ReservationEnd,
  WorkItem,
} from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import type { Result } from 'neverthrow';

/** Engines that a request may use until its reservation ends. */
export interface PlacedPair {
  readonly reservation: ReservationId;
  /** Undefined where the decode engine is to run the prompt itself. */
  readonly prefill?: UpstreamId;
  readonly decode: UpstreamId;
  readonly pieces: number;
  /** Priority given to engines; lower goes first. */
  readonly priority: number;
}

/** Finds engines for requests: through the coordinator of a pool, or on this host's own. */
export interface Placer {
  /**
   * Waits for engines until there are some, a refusal, or the item's time is up.
   *
   * @param model - The pool's model.
   * @param item - The request.
   * @param signal - Aborted when the caller has gone.
   * @returns The engines, or a refusal that says truthfully that nothing ran.
   */
  reserve(
    model: ModelId,
    item: WorkItem,
    signal: AbortSignal,
  ): Promise<Result<PlacedPair, Refusal>>;

  /**
   * Gets another decode engine for a prompt that is read already, because the one that was chosen did
   * not take the request.
   *
   * @param reservation - The reservation, which holds for the new engine from now on.
   * @param avoid - Engines that did not take it.
   * @returns The engine; undefined where there is none now, or the placer can't move a reservation.
   */
  moveDecode(reservation: ReservationId, avoid: readonly UpstreamId[]): UpstreamId | undefined;

  /**
   * Notes that a prefill is over.
   *
   * @param model - The pool's model.
   * @param reservation - The reservation.
   * @param tookMs - Milliseconds that the engine took to read the prompt; undefined where it did not.
   */
  prefillEnded(model: ModelId, reservation: ReservationId, tookMs?: Millis): void;

  /** Extends reservations; gets those that are lost. */
  renew(
    model: ModelId,
    held: readonly AdoptedReservation[],
    timeoutMs: Millis,
  ): Promise<readonly ReservationId[]>;

  /** Ends a reservation. */
  release(model: ModelId, reservation: ReservationId, end: ReservationEnd): Promise<void>;

  /** Notes at once that an attempt failed on an engine. */
  attemptFailed(engine: UpstreamId, error: UpstreamError): void;

  /** Takes in what this host saw of the engines. */
  observe(model: ModelId, observations: readonly EngineObservation[]): Promise<void>;
}
