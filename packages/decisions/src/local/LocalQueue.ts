import type { Millis, Refusal, RequestId, TeamId } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { refusalWithoutOpening } from '../signals/openings.ts';
import { FootprintRanks } from './FootprintRanks.ts';
import type { EnginePair, LocalPlacement, PlacementRequest } from './LocalPlacement.ts';

/** A request that waits for engines. */
export interface QueuedRequest extends PlacementRequest {
  readonly request: RequestId;
  readonly team: TeamId;
  /** Lower goes first. */
  readonly priority: number;
  /** Memory footprint: memory times the output tokens for which it is held. */
  readonly memorySteps: number;
  /** Time at which the request was submitted. */
  readonly submittedAt: Millis;
  /** Time after which the first token can't meet its target any more. */
  readonly lateAt: Millis;
  /** Time at which the request is refused unless it was placed before. */
  readonly giveUpAt: Millis;
}

/** A waiting request with the rank of its memory footprint. */
interface RankedRequest extends QueuedRequest {
  /** Fraction of the recent requests with a smaller footprint. */
  readonly rank: number;
}

/** What a request waits for: memory (`room`), a free prefill engine (`reading`) or earlier requests. */
export type WaitReason = 'room' | 'reading' | 'turn';

/** A decision of the queue on one request. */
export type QueueDecision =
  | {
      readonly type: 'place';
      readonly request: RequestId;
      readonly pair: EnginePair;
      /** What the request waited for last; undefined where it did not wait. */
      readonly waitReason: WaitReason | undefined;
    }
  | { readonly type: 'refuse'; readonly request: RequestId; readonly refusal: Refusal };

/**
 * Longest expected prefill time of a request that is dispatched, in milliseconds. Others stay queued
 * here: on an engine, urgent requests could not overtake them, and prompts whose callers have left would
 * still be prefilled.
 */
const MAX_PREFILL_MS: Millis = 350;

/** Milliseconds by which the prefill of a late request may take longer than on an idle engine. */
const LATE_PREFILL_MARGIN_MS: Millis = 60;

/**
 * Fraction of its time to the target for which the request with the largest footprint yields to others.
 * In the remaining time it yields no more, so that under overload large requests are served less often,
 * but are not starved.
 */
const YIELD_FRACTION = 0.8;

/** Longest queue, in requests; more could not be served before their callers leave. */
const MAX_QUEUE_LENGTH = 512;

/** Milliseconds after which a refused caller may retry: the time to work off a short burst. */
const RETRY_AFTER_MS: Millis = 1_000;

const NO_ENGINE_OPENS = {
  text: 'The engines of this model take no more requests in time.',
  retryAfterMs: RETRY_AFTER_MS,
};

/** Milliseconds between two scheduling passes while requests wait; a tenth of a prefill. */
export const QUEUE_RECHECK_MS: Millis = 10;

/**
 * The requests of one pool that wait on this host for engines.
 *
 * The most urgent request of the team with the fewest running requests goes first, so that the burst of
 * one team delays mostly that team. A request that is already late yields to all that can still meet their
 * target, also to those on other hosts; in order of arrival, one burst would make every request late for
 * as long as it lasts. Late requests get only capacity that no other request needs, until their callers
 * give up.
 *
 * Among requests on time, those with a small memory footprint go first: the memory of one long answer
 * serves several short ones in the same time. How long a request yields depends on how many of the waiting
 * ones are likely to have a smaller footprint.
 */
export class LocalQueue {
  private readonly placement: LocalPlacement;

  private readonly runningByTeam = new Map<TeamId, number>();

  private waiting: readonly RankedRequest[] = [];

  /** What each waiting request has waited for last. */
  private readonly waitReasons = new Map<RequestId, WaitReason>();

  private readonly ranks = new FootprintRanks();

  private readonly peersOnTime: (now: Millis) => number;

  /**
   * @param placement - Chooses engines.
   * @param peersOnTime - Counts the requests that wait on other hosts and can still meet their target.
   */
  constructor(placement: LocalPlacement, peersOnTime: (now: Millis) => number = () => 0) {
    this.placement = placement;
    this.peersOnTime = peersOnTime;
  }

  /** Gets the number of waiting requests. */
  get size(): number {
    return this.waiting.length;
  }

  /** Counts the waiting requests that can still meet their target, as reported to peers. */
  countOnTime(now: Millis): number {
    return this.waiting.filter((req) => req.lateAt > now).length;
  }

  /**
   * Enqueues a request.
   *
   * @param req - The request.
   * @returns The refusal, where there is no engine or the queue is full; undefined otherwise.
   */
  submit(req: QueuedRequest): Refusal | undefined {
    if (!this.placement.hasDecodeEngine()) {
      return notRun('no_capacity', 'No engine of this model is known.', RETRY_AFTER_MS);
    }
    if (this.waiting.length >= MAX_QUEUE_LENGTH) {
      return notRun('queue_full', 'Too many requests wait for this model.', RETRY_AFTER_MS);
    }
    this.waiting = [...this.waiting, { ...req, rank: this.ranks.rankOf(req.memorySteps) }];
    this.ranks.record(req.memorySteps);
    return undefined;
  }

  /** Removes a waiting request; unknown ones are ignored. */
  withdraw(request: RequestId): void {
    this.waiting = this.waiting.filter((req) => req.request !== request);
    this.waitReasons.delete(request);
  }

  /** Records that a placed request of a team has ended. */
  requestEnded(team: TeamId): void {
    const remaining = (this.runningByTeam.get(team) ?? 1) - 1;
    if (remaining > 0) this.runningByTeam.set(team, remaining);
    else this.runningByTeam.delete(team);
  }

  /**
   * Gets the next decision that is due. The caller applies it to the load of the engines before the next
   * call.
   *
   * @param now - Present time.
   * @returns The decision; undefined while all requests go on waiting.
   */
  next(now: Millis): QueueDecision | undefined {
    const expired = this.waiting.find((req) => req.giveUpAt <= now);
    if (expired !== undefined) {
      this.withdraw(expired.request);
      const refusal = notRun('target_missed', 'No engine became free in time.', RETRY_AFTER_MS);
      return { type: 'refuse', request: expired.request, refusal };
    }
    const sorted = [...this.waiting].sort((a, b) => this.compare(a, b, now));
    const [first] = sorted;
    if (first === undefined) return undefined;
    const unservable = this.refuseUnservable(sorted, now);
    if (unservable !== undefined) return unservable;
    if (this.yieldsToPeers(first, now)) {
      this.recordWaitReasons(first, 'turn');
      return undefined;
    }
    const pair = this.placement.choose(first, now);
    if (pair === undefined || pair.expectedPrefillMs > this.maxPrefillMs(first, pair, now)) {
      this.recordWaitReasons(first, pair === undefined ? 'room' : 'reading');
      return undefined;
    }
    const waitReason = this.waitReasons.get(first.request);
    this.withdraw(first.request);
    this.runningByTeam.set(first.team, (this.runningByTeam.get(first.team) ?? 0) + 1);
    return { type: 'place', request: first.request, pair, waitReason };
  }

  /** Refuses the first request for which no engine opens before its callers give up. */
  private refuseUnservable(
    sorted: readonly RankedRequest[],
    now: Millis,
  ): QueueDecision | undefined {
    const openings = this.placement.decodeOpenings(now);
    if (openings === undefined) return undefined;
    const refusals = sorted.map(({ giveUpAt }, position) =>
      refusalWithoutOpening({ openings, position }, giveUpAt, now, NO_ENGINE_OPENS),
    );
    const index = refusals.findIndex((refusal) => refusal !== undefined);
    const [req, refusal] = [sorted[index], refusals[index]];
    if (req === undefined || refusal === undefined) return undefined;
    this.withdraw(req.request);
    return { type: 'refuse', request: req.request, refusal };
  }

  /** Gets whether a request leaves free capacity to the requests that wait on other hosts. */
  private yieldsToPeers(req: RankedRequest, now: Millis): boolean {
    const peersOnTime = this.peersOnTime(now);
    if (req.lateAt <= now) return peersOnTime > 0;
    const smallerOnPeers = req.rank * peersOnTime;
    return smallerOnPeers >= 1 && waitedFraction(req, now) < req.rank * YIELD_FRACTION;
  }

  private recordWaitReasons(first: QueuedRequest, reason: WaitReason): void {
    this.waiting.forEach(({ request }) => {
      if (request === first.request) this.waitReasons.set(request, reason);
      else if (!this.waitReasons.has(request)) this.waitReasons.set(request, 'turn');
    });
  }

  /**
   * Gets the longest expected prefill time with which a request is dispatched. For a late request or a
   * long prompt, it is the time on an idle engine plus a margin.
   */
  private maxPrefillMs(req: QueuedRequest, pair: EnginePair, now: Millis): Millis {
    const idleMs = this.placement.idlePrefillMs(req, pair) + LATE_PREFILL_MARGIN_MS;
    return now >= req.lateAt ? idleMs : Math.max(MAX_PREFILL_MS, idleMs);
  }

  /** Orders requests by lateness, priority, running requests of the team, and footprint. */
  private compare(a: RankedRequest, b: RankedRequest, now: Millis): number {
    const byLateness = Number(a.lateAt <= now) - Number(b.lateAt <= now);
    if (byLateness !== 0) return byLateness;
    if (a.priority !== b.priority) return a.priority - b.priority;
    const running = (req: RankedRequest): number => this.runningByTeam.get(req.team) ?? 0;
    return running(a) - running(b) || footprintKey(a, now) - footprintKey(b, now);
  }
}

/** Sort key by footprint, lower first; it falls with the time waited, so that no request is starved. */
function footprintKey(req: RankedRequest, now: Millis): number {
  return req.rank * YIELD_FRACTION - waitedFraction(req, now);
}

/** Gets which fraction of the time from submission to the target has passed. */
function waitedFraction({ submittedAt, lateAt }: QueuedRequest, now: Millis): number {
  return (now - submittedAt) / Math.max(1, lateAt - submittedAt);
}
