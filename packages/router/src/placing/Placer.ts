import type { Millis, ModelId, Refusal, ReservationId, UpstreamId } from '@camphorvane/core';
import { runInBackground } from '@camphorvane/core';
import type {
  AdoptedReservation,
  EngineObservation,
  ReservationEnd,
  WorkItem,
} from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import type { Result } from 'neverthrow';
import type { RelocationLedger } from './RelocationLedger.ts';

/** Engines reserved for a request. */
export interface EnginePlacement {
  readonly reservation: ReservationId;
  /** Undefined where the decode engine runs the prefill itself. */
  readonly prefill?: UpstreamId;
  readonly decode: UpstreamId;
  readonly pieces: number;
  /** Priority passed to the engines; lower runs first. */
  readonly priority: number;
}

/** Reserves engines for requests, either through the coordinator of a pool or by this host alone. */
export interface Placer {
  /** What moves of running streams are based on; absent where a coordinator places requests. */
  readonly relocation?: RelocationLedger;

  /**
   * Requests engines until the request is placed, refused or out of time.
   *
   * @param model - The pool's model.
   * @param item - The request; `maxWaitMs` limits the time.
   * @param signal - Aborted when the caller disconnects.
   * @returns The placement, or a refusal that guarantees that nothing was executed.
   */
  reserve(
    model: ModelId,
    item: WorkItem,
    signal: AbortSignal,
  ): Promise<Result<EnginePlacement, Refusal>>;

  /**
   * Moves a reservation whose prefill is complete to another decode engine, after the reserved one did
   * not accept the request.
   *
   * @param reservation - The reservation.
   * @param avoid - Engines that did not accept the request.
   * @returns The new engine; undefined where none has room, or the placer can't move reservations.
   */
  moveDecode(reservation: ReservationId, avoid: readonly UpstreamId[]): UpstreamId | undefined;

  /**
   * Frees the prefill engine of a reservation.
   *
   * @param model - The pool's model.
   * @param reservation - The reservation.
   * @param tookMs - Milliseconds that the prefill took; undefined where it failed or was not timed.
   */
  prefillEnded(model: ModelId, reservation: ReservationId, tookMs?: Millis): void;

  /**
   * Renews reservations.
   *
   * @param model - The pool's model.
   * @param held - Reservations that this host's requests use.
   * @param timeoutMs - Timeout in milliseconds.
   * @returns The reservations that are lost.
   */
  renew(
    model: ModelId,
    held: readonly AdoptedReservation[],
    timeoutMs: Millis,
  ): Promise<readonly ReservationId[]>;

  /** Ends a reservation. */
  release(model: ModelId, reservation: ReservationId, end: ReservationEnd): Promise<void>;

  /** Reports a failed attempt, so that the engine is avoided at once. */
  attemptFailed(engine: UpstreamId, error: UpstreamError): void;

  /** Reports this host's observations of the engines. */
  observe(model: ModelId, observations: readonly EngineObservation[]): Promise<void>;
}

/**
 * Releases a reservation without waiting for it; see {@link Placer.release}.
 *
 * @param placer - The placer.
 * @param args - The model, the reservation and how it ended.
 */
export function releaseInBackground(
  placer: Pick<Placer, 'release'>,
  ...args: Parameters<Placer['release']>
): void {
  runInBackground('placement.release', () => placer.release(...args));
}
