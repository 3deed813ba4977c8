import type { Millis, ModelId, Refusal, ReservationId, UpstreamId } from '@camphorvane/core';
import type {
  AdoptedReservation,
  EngineObservation,
  ReservationEnd,
  WorkItem,
} from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import type { Result } from 'neverthrow';
import type { FairQueues } from '../serving/FairQueues.ts';
import type { EnginePlacement, Placer } from './Placer.ts';

/** A placer that records which requests wait for engines, for the order of the queue. */
export class WaitingPlacer implements Placer {
  private readonly placer: Placer;

  private readonly fairQueues: FairQueues;

  private readonly now: () => Millis;

  /**
   * @param placer - Places the requests.
   * @param fairQueues - Records the waiting requests.
   * @param now - Gets the present time.
   */
  constructor(placer: Placer, fairQueues: FairQueues, now: () => Millis) {
    this.placer = placer;
    this.fairQueues = fairQueues;
    this.now = now;
  }

  /** {@inheritDoc Placer.reserve} */
  async reserve(
    model: ModelId,
    item: WorkItem,
    signal: AbortSignal,
  ): Promise<Result<EnginePlacement, Refusal>> {
    const { request, team, priority } = item;
    const queue = { type: 'pool', id: model } as const;
    const lateAt = this.now() + (item.onTimeMs ?? item.maxWaitMs);
    this.fairQueues.enter({ request, queue, team, priority, lateAt });
    const result = await this.placer.reserve(model, item, signal);
    this.fairQueues.leave(queue, request, result.isErr());
    return result;
  }

  /** {@inheritDoc Placer.moveDecode} */
  moveDecode(reservation: ReservationId, avoid: readonly UpstreamId[]): UpstreamId | undefined {
    return this.placer.moveDecode(reservation, avoid);
  }

  /** {@inheritDoc Placer.prefillEnded} */
  prefillEnded(model: ModelId, reservation: ReservationId, tookMs?: Millis): void {
    this.placer.prefillEnded(model, reservation, tookMs);
  }

  /** {@inheritDoc Placer.renew} */
  renew(
    model: ModelId,
    held: readonly AdoptedReservation[],
    timeoutMs: Millis,
  ): Promise<readonly ReservationId[]> {
    return this.placer.renew(model, held, timeoutMs);
  }

  /** {@inheritDoc Placer.release} */
  release(model: ModelId, reservation: ReservationId, end: ReservationEnd): Promise<void> {
    return this.placer.release(model, reservation, end);
  }

  /** {@inheritDoc Placer.attemptFailed} */
  attemptFailed(engine: UpstreamId, error: UpstreamError): void {
    this.placer.attemptFailed(engine, error);
  }

  /** {@inheritDoc Placer.observe} */
  observe(model: ModelId, observations: readonly EngineObservation[]): Promise<void> {
    return this.placer.observe(model, observations);
  }
}
