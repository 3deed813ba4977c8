import type {
  Clock,
  HostId,
  Millis,
  ModelId,
  Refusal,
  RequestId,
  WorkClass,
} from '@camphorvane/core';
import { notRun, runInBackground, sleep } from '@camphorvane/core';
import type {
  AdoptedReservation,
  EngineObservation,
  ReservationEnd,
  WorkItem,
} from '@camphorvane/decisions';
import type { PeerLink, PeerRequest, PeerResponse, Placement } from '@camphorvane/peer';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ReconfigurablePlacer } from '../coordination/HostCoordination.ts';
import type { GroupGate } from '../host/ports.ts';
import type { FallbackPlacer } from './FallbackPlacer.ts';
import type { EnginePlacement } from './Placer.ts';
import type { PlacementRequest, CoordinatorRegistry } from './CoordinatorRegistry.ts';
import { poolKey } from './CoordinatorRegistry.ts';
import { LONG_POLL_MS } from './longPoll.ts';

/** Milliseconds allowed for the round trip on top of the coordinator's long-poll period. */
const ASK_MARGIN_MS: Millis = 400;

/** Milliseconds between two attempts while no coordinator answers. */
const RETRY_MS: Millis = 100;

/**
 * Milliseconds for which urgent requests bypass a coordinator that did not answer. Otherwise each lookup
 * would first wait for a timeout of the same host.
 */
const UNANSWERED_TTL_MS: Millis = 1_000;

/** Timeout of requests that are answered at once, such as a release, in milliseconds. */
const SHORT_TIMEOUT_MS: Millis = 1_000;

/** Attempts to send a release before the reservation is left to expire. */
const RELEASE_ATTEMPTS = 3;

/** Dependencies of {@link PlacementClient}. */
export interface PlacementClientOptions {
  readonly self: HostId;
  readonly clock: Clock;
  readonly group: GroupGate;
  readonly link: PeerLink;
  readonly coordinators: CoordinatorRegistry;
  readonly fallback: FallbackPlacer;
}

/** Places requests through the coordinator of their pool, on this host or on a peer. */
export class PlacementClient implements ReconfigurablePlacer {
  private readonly options: PlacementClientOptions;

  /** Time of the last failed request to each host that has not answered since. */
  private readonly unansweredAt = new Map<HostId, Millis>();

  /** @param options - Dependencies. */
  constructor(options: PlacementClientOptions) {
    this.options = options;
  }

  /**
   * Requests engines until the request is placed, refused or out of time.
   *
   * @param model - The pool's model.
   * @param item - The request; `maxWaitMs` limits the time.
   * @param signal - Aborted when the caller disconnects.
   * @returns The placement, or a refusal that guarantees that nothing was executed.
   */
  async reserve(
    model: ModelId,
    item: WorkItem,
    signal: AbortSignal,
  ): Promise<Result<EnginePlacement, Refusal>> {
    const { clock } = this.options;
    const deadline = clock.now() + item.maxWaitMs;
    while (!signal.aborted) {
      const leftMs = Math.max(0, deadline - clock.now());
      const res = await this.reserveOnce(model, { ...item, maxWaitMs: leftMs });
      if (res?.type === 'placed') return this.accept(model, res.placement, signal);
      if (res?.type === 'refused') return err(res.refusal);
      if (clock.now() >= deadline) return this.refuseAtDeadline(model, item.request);
      if (res?.type !== 'waiting') await sleep(clock, RETRY_MS, signal);
    }
    this.withdraw(model, item.request);
    return err(callerGone());
  }

  /** Tells the coordinator that a prefill has ended; a lost message only delays the next prefill. */
  prefillEnded(model: ModelId, reservation: string): void {
    this.options.fallback.prefillEnded(model, reservation);
    this.notify({ type: 'prefill_ended', model, reservation });
  }

  /**
   * Renews reservations with the coordinator and with this host's fallback.
   *
   * @param model - The pool's model.
   * @param held - Reservations that this host's requests use.
   * @param timeoutMs - Timeout in milliseconds.
   * @returns The reservations that are lost; none while no coordinator answers.
   */
  async renew(
    model: ModelId,
    held: readonly AdoptedReservation[],
    timeoutMs: Millis,
  ): Promise<readonly string[]> {
    this.options.fallback.renew(model, held);
    const res = await this.ask({ type: 'renew', model, held }, timeoutMs);
    return res?.type === 'renewed' ? res.lost : [];
  }

  /** Ends a reservation; retried, since its memory stays reserved until the coordinator knows of it. */
  async release(model: ModelId, reservation: string, end: ReservationEnd): Promise<void> {
    this.options.fallback.release(model, reservation, end);
    let attempts = 0;
    while (attempts < RELEASE_ATTEMPTS) {
      const res = await this.ask({ type: 'release', model, reservation, end }, SHORT_TIMEOUT_MS);
      if (res?.type === 'ok') return;
      attempts += 1;
      await sleep(this.options.clock, RETRY_MS);
    }
  }

  /** Starts and stops coordinating pools according to the current group and configuration. */
  refresh(): void {
    this.options.coordinators.refresh();
  }

  /** Not supported: a coordinator assigns both engines together; a new pair is a new reservation. */
  moveDecode(): undefined {
    return undefined;
  }

  /** Does nothing: the coordinator learns of failures from observations and the ends of reservations. */
  attemptFailed(): void {}

  /** Sends observations to the coordinator; lost ones are made up for by later ones. */
  async observe(model: ModelId, observations: readonly EngineObservation[]): Promise<void> {
    await this.ask({ type: 'observe', model, observations }, SHORT_TIMEOUT_MS);
  }

  /**
   * Sends one request to the coordinator of a pool.
   *
   * @param req - The request.
   * @param timeoutMs - Timeout in milliseconds.
   * @returns The response; undefined where none came or the pool has no known coordinator.
   */
  async ask(req: PlacementRequest, timeoutMs: Millis): Promise<PeerResponse | undefined> {
    const { group, coordinators, link, self, clock } = this.options;
    const coordinator = group.coordinatorOf(poolKey(req.model));
    if (coordinator === undefined) return undefined;
    if (coordinator.host === self) return coordinators.answer(req);
    const res = await link.ask(coordinator, req satisfies PeerRequest, timeoutMs);
    if (res.isErr()) {
      this.unansweredAt.set(coordinator.host, clock.now());
      return undefined;
    }
    this.unansweredAt.delete(coordinator.host);
    return res.value;
  }

  /** Asks the coordinator or, for urgent requests while none answers, this host's fallback. */
  private async reserveOnce(model: ModelId, item: WorkItem): Promise<PeerResponse | undefined> {
    if (isUrgent(item.class) && this.isCoordinatorUnreachable(model)) {
      const placed = await this.options.fallback.reserve(model, item);
      if (placed?.type === 'placed') return placed;
      this.options.fallback.withdraw(model, item.request);
    }
    const timeoutMs = LONG_POLL_MS[item.class] + ASK_MARGIN_MS;
    const res = await this.ask({ type: 'reserve', model, item }, timeoutMs);
    const isAnswered = res !== undefined && res.type !== 'not_steward';
    if (isAnswered || !isUrgent(item.class)) return res;
    return this.options.fallback.reserve(model, item);
  }

  private isCoordinatorUnreachable(model: ModelId): boolean {
    const coordinator = this.options.group.coordinatorOf(poolKey(model));
    if (coordinator === undefined) return true;
    const failedAt = this.unansweredAt.get(coordinator.host);
    return failedAt !== undefined && this.options.clock.now() - failedAt < UNANSWERED_TTL_MS;
  }

  private accept(
    model: ModelId,
    placement: Placement,
    signal: AbortSignal,
  ): Result<Placement, Refusal> {
    if (!signal.aborted) return ok(placement);
    runInBackground('placement.notify', () =>
      this.release(model, placement.reservation, 'caller_gone'),
    );
    return err(callerGone());
  }

  private refuseAtDeadline(model: ModelId, request: RequestId): Result<Placement, Refusal> {
    this.withdraw(model, request);
    return err(
      notRun('no_capacity', 'No host currently coordinates the pool of this model.', 1_000),
    );
  }

  private withdraw(model: ModelId, request: RequestId): void {
    this.options.fallback.withdraw(model, request);
    this.notify({ type: 'withdraw', model, request });
  }

  private notify(req: PlacementRequest): void {
    runInBackground('placement.notify', () => this.ask(req, SHORT_TIMEOUT_MS));
  }
}

/** Summaries can wait for the next coordinator, which places better than each host on its own. */
function isUrgent(cls: WorkClass): boolean {
  return cls !== 'summary';
}

function callerGone(): Refusal {
  return notRun('caller_gone', 'The caller closed its connection.');
}
