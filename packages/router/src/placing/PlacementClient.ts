import type { Clock, HostId, Millis, ModelId, Refusal, RequestId } from '@camphorvane/core';
import { notRun, sleep } from '@camphorvane/core';
import type { ReservationEnd, WorkItem } from '@camphorvane/decisions';
import type { PeerLink, PeerRequest, PeerResponse, Placement } from '@camphorvane/peer';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { GroupGate } from '../host/ports.ts';
import type { PlacingRequest, StewardDesk } from './StewardDesk.ts';
import { poolKey } from './StewardDesk.ts';

/** Milliseconds to wait for a steward's answer; it says within two seconds that a request waits. */
const ASK_TIMEOUT_MS: Millis = 4_000;

/** Milliseconds between two tries while no steward answers. */
const RETRY_MS: Millis = 100;

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
}

/** Asks the steward of a pool, on whichever host it is. */
export class PlacementClient {
  private readonly options: PlacementClientOptions;

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
  ): Promise<Result<Placement, Refusal>> {
    const { clock } = this.options;
    const until = clock.now() + item.maxWaitMs;
    while (!signal.aborted) {
      const left = until - clock.now();
      const res = await this.ask(
        { type: 'reserve', model, item: { ...item, maxWaitMs: Math.max(0, left) } },
        ASK_TIMEOUT_MS,
      );
      if (res?.type === 'placed') return this.accept(model, res.placement, signal);
      if (res?.type === 'refused') return err(res.refusal);
      if (clock.now() >= until) return this.giveUp(model, item.request);
      if (res?.type !== 'waiting') await sleep(clock, RETRY_MS, signal);
    }
    this.tell({ type: 'withdraw', model, request: item.request });
    return err(callerGone());
  }

  /** Tells the steward that a prefill is over; lost messages only delay the next prefill. */
  prefillEnded(model: ModelId, reservation: string): void {
    this.tell({ type: 'prefill_ended', model, reservation });
  }

  /** Ends a reservation; tried a few times, since memory is held until it is known. */
  async release(model: ModelId, reservation: string, end: ReservationEnd): Promise<void> {
    let tries = 0;
    while (tries < RELEASE_TRIES) {
      const res = await this.ask({ type: 'release', model, reservation, end }, SHORT_TIMEOUT_MS);
      if (res?.type === 'ok') return;
      tries += 1;
      await sleep(this.options.clock, RETRY_MS);
    }
  }

  /**
   * Asks the steward of a pool once.
   *
   * @param req - What is asked.
   * @param timeoutMs - Milliseconds to wait.
   * @returns The answer, or undefined where none came or nobody coordinates the pool now.
   */
  async ask(req: PlacingRequest, timeoutMs: Millis): Promise<PeerResponse | undefined> {
    const { group, desk, link, self } = this.options;
    const steward = group.stewardOf(poolKey(req.model));
    if (steward === undefined) return undefined;
    if (steward.host === self) return desk.answer(req);
    const res = await link.ask(steward, req satisfies PeerRequest, timeoutMs);
    return res.unwrapOr(undefined);
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
    this.tell({ type: 'withdraw', model, request });
    return err(notRun('no_capacity', 'No host coordinates this model at present.', 1_000));
  }

  private tell(req: PlacingRequest): void {
    void this.ask(req, SHORT_TIMEOUT_MS);
  }
}

function callerGone(): Refusal {
  return notRun('caller_gone', 'The caller closed its connection.');
}
