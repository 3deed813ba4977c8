import type {
  Clock,
  HostId,
  Millis,
  ModelId,
  Refusal,
  RequestId,
  WorkClass,
} from '@camphorvane/core';
import { notRun, sleep } from '@camphorvane/core';
import type {
  AdoptedReservation,
  EngineObservation,
  ReservationEnd,
  WorkItem,
} from '@camphorvane/decisions';
import type { PeerLink, PeerRequest, PeerResponse, Placement } from '@camphorvane/peer';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ChangingPlacer } from '../agreement/HostAgreement.ts';
import type { GroupGate } from '../host/ports.ts';
import type { FallbackPlacer } from './FallbackPlacer.ts';
import type { PlacedPair } from './Placer.ts';
import type { PlacingRequest, StewardDesk } from './StewardDesk.ts';
import { poolKey } from './StewardDesk.ts';
import { WAITING_ANSWER_MS } from './waitingAnswer.ts';

/** Milliseconds on top of the time in which a steward says that a request waits. */
const ASK_MARGIN_MS: Millis = 400;

/** Milliseconds between two tries while no steward answers. */
const RETRY_MS: Millis = 100;

/**
 * Milliseconds for which a steward that did not answer is passed over by urgent work. Without it
 * each lookup would first wait for the same silent host.
 */
const SILENT_LIFE_MS: Millis = 1_000;

/** Milliseconds to wait for short exchanges, such as a release. */
const SHORT_TIMEOUT_MS: Millis = 1_000;

/** Times a release is sent before the reservation is left to run out. */
const RELEASE_TRIES = 3;

/** What a placement client is made of. */
export interface PlacementClientOptions {
  readonly self: HostId;
  readonly clock: Clock;
  readonly group: GroupGate;
  readonly link: PeerLink;
  readonly desk: StewardDesk;
  readonly fallback: FallbackPlacer;
}

/** Asks the steward of a pool, on whichever host it is. */
export class PlacementClient implements ChangingPlacer {
  private readonly options: PlacementClientOptions;

  /** When a host last left a question without an answer. */
  private readonly silentSince = new Map<HostId, Millis>();

  /** @param options - What the client is made of. */
  constructor(options: PlacementClientOptions) {
    this.options = options;
  }

  /**
   * Asks for a place until there is one, a refusal, or the time is up.
   *
   * @param model - The pool's model.
   * @param item - The request; its `maxWaitMs` bounds the time.
   * @param signal - Aborted when the caller has gone.
   * @returns The place, or a refusal that says truthfully that nothing ran.
   */
  async reserve(
    model: ModelId,
    item: WorkItem,
    signal: AbortSignal,
  ): Promise<Result<PlacedPair, Refusal>> {
    const { clock } = this.options;
    const until = clock.now() + item.maxWaitMs;
    while (!signal.aborted) {
      const left = Math.max(0, until - clock.now());
      const res = await this.reserveOnce(model, { ...item, maxWaitMs: left });
      if (res?.type === 'placed') return this.accept(model, res.placement, signal);
      if (res?.type === 'refused') return err(res.refusal);
      if (clock.now() >= until) return this.giveUp(model, item.request);
      if (res?.type !== 'waiting') await sleep(clock, RETRY_MS, signal);
    }
    this.withdraw(model, item.request);
    return err(callerGone());
  }

  /** Tells the steward that a prefill is over; lost messages only delay the next prefill. */
  prefillEnded(model: ModelId, reservation: string): void {
    this.options.fallback.prefillEnded(model, reservation);
    this.tell({ type: 'prefill_ended', model, reservation });
  }

  /**
   * Extends reservations, with the steward and with this host's own fallback.
   *
   * @param model - The pool's model.
   * @param held - What this host's requests use.
   * @param timeoutMs - Milliseconds to wait.
   * @returns The reservations that are lost; none while no steward answers.
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

  /** Ends a reservation; tried a few times, since memory is held until it is known. */
  async release(model: ModelId, reservation: string, end: ReservationEnd): Promise<void> {
    this.options.fallback.release(model, reservation, end);
    let tries = 0;
    while (tries < RELEASE_TRIES) {
      const res = await this.ask({ type: 'release', model, reservation, end }, SHORT_TIMEOUT_MS);
      if (res?.type === 'ok') return;
      tries += 1;
      await sleep(this.options.clock, RETRY_MS);
    }
  }

  /** Takes up or gives up coordinating pools, as the group and the configuration now say. */
  refresh(): void {
    this.options.desk.refresh();
  }

  /** A steward gives both engines at once; a new pair is a new reservation. */
  moveDecode(): undefined {
    return undefined;
  }

  /** The steward learns of failures by observations and by how reservations end. */
  attemptFailed(): void {}

  /** Tells the steward what this host saw; lost observations are made up by later ones. */
  async observe(model: ModelId, observations: readonly EngineObservation[]): Promise<void> {
    await this.ask({ type: 'observe', model, observations }, SHORT_TIMEOUT_MS);
  }

  /**
   * Asks the steward of a pool once.
   *
   * @param req - What is asked.
   * @param timeoutMs - Milliseconds to wait.
   * @returns The answer, or undefined where none came or nobody coordinates the pool now.
   */
  async ask(req: PlacingRequest, timeoutMs: Millis): Promise<PeerResponse | undefined> {
    const { group, desk, link, self, clock } = this.options;
    const steward = group.stewardOf(poolKey(req.model));
    if (steward === undefined) return undefined;
    if (steward.host === self) return desk.answer(req);
    const res = await link.ask(steward, req satisfies PeerRequest, timeoutMs);
    if (res.isErr()) {
      this.silentSince.set(steward.host, clock.now());
      return undefined;
    }
    this.silentSince.delete(steward.host);
    return res.value;
  }

  /** Asks the steward, or where work is urgent and no steward answers, this host's own part. */
  private async reserveOnce(model: ModelId, item: WorkItem): Promise<PeerResponse | undefined> {
    if (isUrgent(item.class) && this.isStewardSilent(model)) {
      const placed = await this.options.fallback.reserve(model, item);
      if (placed?.type === 'placed') return placed;
      this.options.fallback.withdraw(model, item.request);
    }
    const timeoutMs = WAITING_ANSWER_MS[item.class] + ASK_MARGIN_MS;
    const res = await this.ask({ type: 'reserve', model, item }, timeoutMs);
    const isAnswered = res !== undefined && res.type !== 'not_steward';
    if (isAnswered || !isUrgent(item.class)) return res;
    return this.options.fallback.reserve(model, item);
  }

  private isStewardSilent(model: ModelId): boolean {
    const steward = this.options.group.stewardOf(poolKey(model));
    if (steward === undefined) return true;
    const since = this.silentSince.get(steward.host);
    return since !== undefined && this.options.clock.now() - since < SILENT_LIFE_MS;
  }

  private accept(
    model: ModelId,
    placement: Placement,
    signal: AbortSignal,
  ): Result<Placement, Refusal> {
    if (!signal.aborted) return ok(placement);
    void this.release(model, placement.reservation, 'caller_gone');
    return err(callerGone());
  }

  private giveUp(model: ModelId, request: RequestId): Result<Placement, Refusal> {
    this.withdraw(model, request);
    return err(notRun('no_capacity', 'No host coordinates this model at present.', 1_000));
  }

  private withdraw(model: ModelId, request: RequestId): void {
    this.options.fallback.withdraw(model, request);
    this.tell({ type: 'withdraw', model, request });
  }

  private tell(req: PlacingRequest): void {
    void this.ask(req, SHORT_TIMEOUT_MS);
  }
}

/** Summaries can wait for the next steward, which places better than each host on its own. */
function isUrgent(cls: WorkClass): boolean {
  return cls !== 'summary';
}

function callerGone(): Refusal {
  return notRun('caller_gone', 'The caller closed its connection.');
}
