import type { Millis, Refusal, RequestId, TeamId } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { orderComparator } from '../admission/orderComparator.ts';
import { QueueAdmission } from '../admission/QueueAdmission.ts';
import { NO_QUEUE_CONTROLS } from '../admission/QueueControls.ts';
import { refusalWithoutOpening } from '../signals/openings.ts';
import { FootprintRanks } from './FootprintRanks.ts';
import type { LocalQueueControls } from './LocalQueueControls.ts';
import type { LocalPlacement } from './LocalPlacement.ts';
import type { EnginePair } from './pairChoice.ts';
import { footprintKey, waitedFraction, YIELD_FRACTION } from './queuedRequests.ts';
import {
  ADMISSION,
  isBound,
  NO_ENGINE_OPENS,
  noEngineKnown,
  QUEUE_FULL,
  RETRY_AFTER_MS,
  TIMED_OUT,
  versionGone,
} from './queueRefusals.ts';
import type { QueueDecision, QueuedRequest, RankedRequest } from './queuedRequests.ts';
import { WaitReasons } from './WaitReasons.ts';

/**
 * Longest expected prefill time of a request that is dispatched, in milliseconds. Others stay queued
 * here: on an engine, urgent requests could not overtake them, and prompts whose callers have left would
 * still be prefilled.
 */
const MAX_PREFILL_MS: Millis = 350;

/** Milliseconds by which the prefill of a late request may take longer than on an idle engine. */
const LATE_PREFILL_MARGIN_MS: Millis = 60;

/** Longest queue, in requests; more could not be served before their callers leave. */
const MAX_QUEUE_LENGTH = 512;

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
  private readonly waitReasons = new WaitReasons();

  private readonly ranks = new FootprintRanks();

  private readonly peersOnTime: (now: Millis) => number;

  private readonly controls: LocalQueueControls;

  private readonly admission: QueueAdmission;

  /** Refusals of the last review that `next` has not returned yet. */
  private reviewed: QueueDecision[] = [];

  /** The request that admission refused last; tells whether capacity is free for such requests. */
  private lastRefused: RankedRequest | undefined;

  /**
   * @param placement - Chooses engines.
   * @param peersOnTime - Counts the requests that wait on other hosts and can still meet their target.
   * @param controls - Overload controls of this queue; none by default.
   */
  constructor(
    placement: LocalPlacement,
    peersOnTime: (now: Millis) => number = () => 0,
    controls: LocalQueueControls = NO_QUEUE_CONTROLS,
  ) {
    this.placement = placement;
    this.peersOnTime = peersOnTime;
    this.controls = controls;
    this.admission = new QueueAdmission(ADMISSION, controls);
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
   * @returns The refusal, where there is no engine, the queue is full, or the request can't start in time;
   *   undefined otherwise.
   */
  submit(req: QueuedRequest): Refusal | undefined {
    if (!this.placement.hasDecodeEngine()) return noEngineKnown();
    if (isBound(req) && !this.placement.hasEngineFor(req)) return versionGone();
    const now = req.submittedAt;
    const entry = this.toRanked(req, now);
    this.admission.recordArrival(entry, now);
    const isAdmissionOn = this.admission.isOn();
    if (this.waiting.length >= MAX_QUEUE_LENGTH) {
      return isAdmissionOn
        ? this.admission.refuseFor(entry, this.waiting.length, QUEUE_FULL, now)
        : notRun(QUEUE_FULL.code, QUEUE_FULL.message, RETRY_AFTER_MS);
    }
    const isDecidedByWait = isAdmissionOn && !isBound(entry);
    const refusal = isDecidedByWait ? this.submitByWait(entry, now) : this.enqueue(entry);
    if (refusal === undefined) this.ranks.record(req.memorySteps);
    return refusal;
  }

  /** Removes a waiting request; unknown ones are ignored. */
  withdraw(request: RequestId): void {
    this.waiting = this.waiting.filter((req) => req.request !== request);
    this.waitReasons.delete(request);
  }

  /**
   * Records that a placed request of a team has ended.
   *
   * @param team - The team.
   * @param heldMs - How long it held its engines, in milliseconds; absent where it did not run to its end.
   */
  requestEnded(team: TeamId, heldMs?: Millis): void {
    const remaining = (this.runningByTeam.get(team) ?? 1) - 1;
    if (remaining > 0) this.runningByTeam.set(team, remaining);
    else this.runningByTeam.delete(team);
    if (heldMs !== undefined) this.admission.holds.record(heldMs);
  }

  /**
   * Gets the next decision that is due. The caller applies it to the load of the engines before the next
   * call.
   *
   * @param now - Present time.
   * @returns The decision; undefined while all requests go on waiting.
   */
  next(now: Millis): QueueDecision | undefined {
    const decision =
      this.reviewed.shift() ??
      this.refuseTimedOut(now) ??
      this.refuseStranded() ??
      this.placeBound(now) ??
      this.placeFirst(now);
    if (decision !== undefined) return decision;
    if (this.admission.isOn()) this.review(now);
    const refused = this.reviewed.shift();
    if (refused !== undefined) return refused;
    this.admission.recordState(this.waiting.length, () => this.hasFreeCapacity(now), now);
    return undefined;
  }

  private toRanked(req: QueuedRequest, now: Millis): RankedRequest {
    const ageMs = req.callerTimes?.ageMs ?? 0;
    const status = this.controls.turns?.()?.statusOf(ageMs, req.priority, now);
    const rank = this.ranks.rankOf(req.memorySteps);
    return { ...req, rank, queuedAt: now, returnStatus: status ?? 'new', estimate: undefined };
  }

  private enqueue(entry: RankedRequest): undefined {
    this.waiting = [...this.waiting, entry];
  }

  /** Queues a request that can start at once, or whose expected wait allows it; refuses others. */
  private submitByWait(entry: RankedRequest, now: Millis): Refusal | undefined {
    this.updatePrior(now);
    const compare = this.comparator(now);
    const ahead = this.waiting.filter((other) => compare(other, entry) <= 0).length;
    if (ahead === 0 && this.canStart(entry, now)) return this.enqueue(entry);
    const decision = this.admission.decide(entry, ahead, this.waiting.length, now);
    if (decision.type === 'refuse') {
      this.lastRefused = entry;
      return decision.refusal;
    }
    return this.enqueue({ ...entry, estimate: this.admission.estimate(ahead, now) });
  }

  private canStart(req: RankedRequest, now: Millis): boolean {
    if (this.yieldsToPeers(req, now)) return false;
    const pair = this.placement.choose(req, now);
    return pair !== undefined && pair.expectedPrefillMs <= this.maxPrefillMs(req, pair, now);
  }

  private hasFreeCapacity(now: Millis): boolean {
    const { lastRefused } = this;
    if (lastRefused === undefined || this.peersOnTime(now) > 0) return false;
    return this.canStart(lastRefused, now);
  }

  /**
   * The drain rate to expect: what full engines free, by this host's part of the waiting requests. The streams
   * that run now free less in a burst after a quiet time, and requests would be refused beside free engines.
   */
  private updatePrior(now: Millis): void {
    const own = Math.max(1, this.countOnTime(now));
    const part = own / (own + this.peersOnTime(now));
    const streams = this.controls.streamCapacity?.(now);
    const capacity = streams === undefined || streams === 0 ? undefined : streams * part;
    this.admission.estimator.setPrior(capacity, this.admission.holds.get());
  }

  /** Refuses queued requests that can no longer start in time; see {@link QueueAdmission.review}. */
  private review(now: Millis): void {
    if (this.waiting.length === 0 || now < this.admission.nextReviewAt) return;
    this.updatePrior(now);
    const refused = this.admission.review(this.waiting, this.comparator(now), now);
    const gone = new Set(refused.map(({ request }) => request));
    gone.forEach((request) => this.waitReasons.delete(request));
    this.waiting = this.waiting.filter(({ request }) => !gone.has(request));
    this.reviewed.push(...refused.map((one): QueueDecision => ({ type: 'refuse', ...one })));
  }

  private refuseTimedOut(now: Millis): QueueDecision | undefined {
    const expired = this.waiting.find((req) => req.giveUpAt <= now);
    if (expired === undefined) return undefined;
    this.withdraw(expired.request);
    const { request } = expired;
    if (!this.admission.isOn()) {
      const refusal = notRun(TIMED_OUT.code, TIMED_OUT.message, RETRY_AFTER_MS);
      return { type: 'refuse', request, refusal };
    }
    this.admission.recordUnserved(expired, 0, now);
    const refusal = this.admission.refuseFor(expired, this.waiting.length, TIMED_OUT, now);
    return { type: 'refuse', request, refusal };
  }

  /** Refuses a stream that no engine can go on with any more. */
  private refuseStranded(): QueueDecision | undefined {
    const stranded = this.waiting.find((req) => isBound(req) && !this.placement.hasEngineFor(req));
    if (stranded === undefined) return undefined;
    this.withdraw(stranded.request);
    return { type: 'refuse', request: stranded.request, refusal: versionGone() };
  }

  /**
   * Places the first stream that goes on, if an engine of its version has room. It goes before new streams, which
   * would otherwise fill the engines of a rare version, and it does not hold up those that other engines can take.
   */
  private placeBound(now: Millis): QueueDecision | undefined {
    const bound = this.waiting.filter(isBound).sort(this.comparator(now));
    const choices = bound.map((req) => ({ req, pair: this.placement.choose(req, now) }));
    const first = choices.find(
      ({ req, pair }) =>
        pair !== undefined && pair.expectedPrefillMs <= this.maxPrefillMs(req, pair, now),
    );
    choices.forEach(({ req, pair }) =>
      this.waitReasons.set(req.request, pair === undefined ? 'room' : 'reading'),
    );
    return first?.pair === undefined ? undefined : this.place(first.req, first.pair, now);
  }

  /** Places the first request, or refuses one for which no engine opens in time. */
  private placeFirst(now: Millis): QueueDecision | undefined {
    if (this.waiting.length === 0) return undefined;
    const unservable = this.refuseUnservable(now);
    if (unservable !== undefined) return unservable;
    const compare = this.comparator(now);
    const [head, ...others] = this.waiting.filter((req) => !isBound(req));
    if (head === undefined) return undefined;
    const first = others.reduce((best, req) => (compare(req, best) < 0 ? req : best), head);
    if (this.yieldsToPeers(first, now)) {
      this.waitReasons.record(first, 'turn', this.waiting);
      return undefined;
    }
    const pair = this.placement.choose(first, now);
    if (pair === undefined || pair.expectedPrefillMs > this.maxPrefillMs(first, pair, now)) {
      this.waitReasons.record(first, pair === undefined ? 'room' : 'reading', this.waiting);
      return undefined;
    }
    return this.place(first, pair, now);
  }

  private place(req: RankedRequest, pair: EnginePair, now: Millis): QueueDecision {
    const waitReason = this.waitReasons.get(req.request);
    this.withdraw(req.request);
    this.runningByTeam.set(req.team, (this.runningByTeam.get(req.team) ?? 0) + 1);
    this.admission.recordStarted(req, now);
    const { request, estimate } = req;
    return { type: 'place', request, pair, waitReason, expectedMs: estimate?.waitMs };
  }

  /** Refuses the first request for which no engine opens before its callers give up. */
  private refuseUnservable(now: Millis): QueueDecision | undefined {
    const openings = this.placement.decodeOpenings(now);
    if (openings === undefined) return undefined;
    const sorted = [...this.waiting].sort(this.comparator(now));
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

  /**
   * Gets the longest expected prefill time with which a request is dispatched. For a late request or a
   * long prompt, it is the time on an idle engine plus a margin.
   */
  private maxPrefillMs(req: QueuedRequest, pair: EnginePair, now: Millis): Millis {
    const idleMs = this.placement.idlePrefillMs(req, pair) + LATE_PREFILL_MARGIN_MS;
    return now >= req.lateAt ? idleMs : Math.max(MAX_PREFILL_MS, idleMs);
  }

  /** Gets the comparator of the order that is switched on, or else of the order of this queue. */
  private comparator(now: Millis): (a: RankedRequest, b: RankedRequest) => number {
    const order = this.controls.order?.();
    if (order === undefined) return (a, b) => this.compare(a, b, now);
    return orderComparator(order, (req) => footprintKey(req, now), now);
  }

  /** Orders requests by lateness, priority, return in turn, running requests of the team, and footprint. */
  private compare(a: RankedRequest, b: RankedRequest, now: Millis): number {
    const byLateness = Number(a.lateAt <= now) - Number(b.lateAt <= now);
    if (byLateness !== 0) return byLateness;
    if (a.priority !== b.priority) return a.priority - b.priority;
    const byTurn = Number(b.returnStatus === 'in_turn') - Number(a.returnStatus === 'in_turn');
    if (byTurn !== 0) return byTurn;
    const running = (req: RankedRequest): number => this.runningByTeam.get(req.team) ?? 0;
    return running(a) - running(b) || footprintKey(a, now) - footprintKey(b, now);
  }
}
