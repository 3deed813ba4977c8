import type { Millis, Refusal, RequestId, TeamId, UpstreamId, WorkClass } from '@camphorvane/core';
import { notRun, RandomSource } from '@camphorvane/core';
import type { AdmittedRequest } from '../admission/QueueAdmission.ts';
import { QueueAdmission } from '../admission/QueueAdmission.ts';
import { NO_QUEUE_CONTROLS } from '../admission/QueueControls.ts';
import type { QueueControls } from '../admission/QueueControls.ts';
import { orderComparator } from '../admission/orderComparator.ts';
import { refusalWithoutOpening } from '../signals/openings.ts';
import type { ServerChooser } from './CompletionEstimator.ts';
import { ServerSlots } from './ServerSlots.ts';
import type { ServiceQueueServer } from './ServerSlots.ts';
import type { ServiceQueueCall, ServiceQueueDecision } from './ServiceQueueCall.ts';
import { TeamCalls } from './TeamCalls.ts';

interface QueueEntry extends AdmittedRequest {
  readonly call: ServiceQueueCall;
  readonly timeoutAt: Millis;
}

/**
 * Most calls queued for a service on one host. Calls take tens of milliseconds, so a longer queue
 * would only hold calls whose callers have given up.
 */
const MAX_QUEUED = 256;

/** Most queued calls of one team: a quarter of the queue, so that a burst leaves room for others. */
const MAX_QUEUED_PER_TEAM = 64;

const RETRY_AFTER_MS: Millis = 500;

const NO_SERVER_OPENS = {
  text: 'The servers of this service take no more calls in time.',
  retryAfterMs: RETRY_AFTER_MS,
};

const QUEUE_FULL = {
  code: 'queue_full',
  message: 'Too many calls are queued for this service.',
} as const;

const TIMED_OUT = { code: 'target_missed', message: 'No server became free in time.' } as const;

const ADMISSION = {
  /** Calls take tens of milliseconds, and slow servers recover within a second. */
  drainDecayMs: 1_000,
  message: 'No server is expected to become free in time.',
  unknownRetryAfterMs: RETRY_AFTER_MS,
};

const CLASSES_BY_PRIORITY: readonly WorkClass[] = ['lookup', 'certificate', 'summary'];

/**
 * Queue of a plain service's calls on one host, which dispatches each call to the least loaded server.
 *
 * Within a class the team with the fewest calls in flight goes first, so that a burst of one team on
 * servers with little concurrency delays mostly that team. A call that is late already yields to those
 * that can still be on time, and takes only capacity that none of them needs.
 */
export class ServiceQueue {
  private readonly servers: ServerSlots;

  private readonly teamCalls = new TeamCalls();

  private readonly controls: QueueControls;

  private readonly admission: QueueAdmission;

  private queue: readonly QueueEntry[] = [];

  /** Calls that this host may run at once on average; undefined where it is not known. */
  private capacity: number | undefined;

  /**
   * @param random - Breaks ties between equally loaded servers.
   * @param controls - Overload controls of this queue; none by default.
   * @param chooser - Chooses among free servers; where it does not, the least loaded one is taken.
   */
  constructor(
    random: RandomSource = new RandomSource(0),
    controls = NO_QUEUE_CONTROLS,
    chooser?: ServerChooser,
  ) {
    this.servers = new ServerSlots(random, chooser);
    this.controls = controls;
    this.admission = new QueueAdmission(ADMISSION, controls);
  }

  /**
   * Applies changed servers and limits; calls in flight stay counted.
   *
   * @param servers - All servers.
   * @param maxInFlight - Most calls in flight from this host to all of them together.
   * @param capacity - Calls that this host may run at once on average, from which waits are estimated.
   */
  reconfigure(
    servers: readonly ServiceQueueServer[],
    maxInFlight = Infinity,
    capacity: number | undefined = undefined,
  ): void {
    this.servers.reconfigure(servers, maxInFlight);
    this.capacity = capacity;
  }

  /** Gets the number of calls queued or in flight. */
  get callCount(): number {
    return this.queue.length + this.servers.inFlightCount;
  }

  /** Gets the number of queued calls. */
  get queuedCount(): number {
    return this.queue.length;
  }

  /**
   * Queues a call, or refuses it if the service has no servers, the queue is full, or the call can't start
   * in time.
   *
   * @param call - The call.
   * @param now - Present time.
   * @returns The refusal, or undefined if the call was queued.
   */
  submit(call: ServiceQueueCall, now: Millis): Refusal | undefined {
    const queuedOfTeam = this.queue.filter((entry) => entry.call.team === call.team).length;
    if (this.servers.serverCount === 0) {
      return notRun('no_capacity', 'The service has no servers.', RETRY_AFTER_MS);
    }
    const entry = this.toEntry(call, now);
    this.admission.recordArrival(entry, now);
    const isAdmissionOn = this.admission.isOn();
    if (this.queue.length >= MAX_QUEUED || queuedOfTeam >= MAX_QUEUED_PER_TEAM) {
      return isAdmissionOn
        ? this.admission.refuseFor(entry, this.queue.length, QUEUE_FULL, now)
        : notRun(QUEUE_FULL.code, QUEUE_FULL.message, RETRY_AFTER_MS);
    }
    if (!isAdmissionOn) {
      this.queue = [...this.queue, entry];
      return undefined;
    }
    return this.submitByWait(entry, now);
  }

  /** Removes a queued call whose caller has gone. */
  withdraw(request: RequestId): void {
    this.queue = this.queue.filter((entry) => entry.request !== request);
  }

  /**
   * Records that a call in flight has ended.
   *
   * @param team - Its team.
   * @param server - The server that ran it.
   * @param failed - Whether it failed.
   * @param now - Present time.
   * @param heldMs - How long it held its slot, in milliseconds; absent where that is not known.
   */
  callEnded(team: TeamId, server: UpstreamId, failed: boolean, now: Millis, heldMs?: Millis): void {
    this.servers.free(server, failed, now);
    this.teamCalls.recordEnded(team);
    if (heldMs !== undefined && !failed) this.admission.holds.record(heldMs);
  }

  /**
   * Refuses queued calls that have timed out or can't start in time any more, places others on servers, and
   * gets these decisions.
   */
  step(now: Millis): readonly ServiceQueueDecision[] {
    const isAdmissionOn = this.admission.isOn();
    const timedOut = this.queue.filter((entry) => entry.timeoutAt < now);
    this.queue = this.queue.filter((entry) => entry.timeoutAt >= now);
    const refused = timedOut.map((entry): ServiceQueueDecision => ({
      type: 'refuse',
      request: entry.request,
      refusal: isAdmissionOn
        ? this.admission.refuseFor(entry, this.queue.length, TIMED_OUT, now)
        : notRun(TIMED_OUT.code, TIMED_OUT.message, RETRY_AFTER_MS),
    }));
    const placed = this.dispatchAll(now);
    const unservable = this.refuseUnservable(now);
    timedOut.forEach((entry) => this.admission.recordUnserved(entry, 0, now));
    const reviewed = isAdmissionOn ? this.review(now) : [];
    this.admission.recordState(this.queue.length, () => this.servers.hasRoom(), now);
    return [...refused, ...placed, ...unservable, ...reviewed];
  }

  /** Gets when `step` is due for the next queued call, or undefined if none is queued. */
  nextWake(): Millis | undefined {
    if (this.queue.length === 0) return undefined;
    const timeoutAt = Math.min(...this.queue.map((entry) => entry.timeoutAt)) + 1;
    return this.admission.isOn() ? Math.min(timeoutAt, this.admission.nextReviewAt) : timeoutAt;
  }

  private toEntry(call: ServiceQueueCall, now: Millis): QueueEntry {
    const { request, team, lateAt = Infinity, callerTimes } = call;
    const priority = call.priority ?? CLASSES_BY_PRIORITY.indexOf(call.class);
    const status = this.controls.turns?.()?.statusOf(callerTimes?.ageMs ?? 0, priority, now);
    const timeoutAt = now + call.maxWaitMs;
    return {
      ...{ call, request, team, priority, lateAt, callerTimes, timeoutAt },
      giveUpAt: timeoutAt,
      returnStatus: status ?? 'new',
      queuedAt: now,
      estimate: undefined,
    };
  }

  /** Queues a call that can start at once, or whose expected wait allows it; refuses others. */
  private submitByWait(entry: QueueEntry, now: Millis): Refusal | undefined {
    this.updatePrior(now);
    const ahead = this.countAhead(entry, now);
    if (ahead === 0 && this.servers.hasRoom(entry.call.avoid)) {
      this.queue = [...this.queue, entry];
      return undefined;
    }
    const decision = this.admission.decide(entry, ahead, this.queue.length, now);
    if (decision.type === 'refuse') return decision.refusal;
    this.queue = [...this.queue, { ...entry, estimate: this.admission.estimate(ahead, now) }];
    return undefined;
  }

  private countAhead(entry: QueueEntry, now: Millis): number {
    const compare = this.comparator(now);
    return this.queue.filter((other) => compare(other, entry) <= 0).length;
  }

  private updatePrior(now: Millis): void {
    const { capacity, servers, admission } = this;
    const usable = capacity === undefined ? undefined : capacity * servers.getHealthyFraction(now);
    admission.estimator.setPrior(usable, admission.holds.get());
  }

  /** Refuses queued calls that can no longer start in time; see {@link QueueAdmission.review}. */
  private review(now: Millis): readonly ServiceQueueDecision[] {
    if (this.queue.length === 0 || now < this.admission.nextReviewAt) return [];
    this.updatePrior(now);
    return this.removeRefused(this.admission.review(this.queue, this.comparator(now), now));
  }

  private removeRefused(
    refused: readonly { readonly request: RequestId; readonly refusal: Refusal }[],
  ): readonly ServiceQueueDecision[] {
    if (refused.length === 0) return [];
    const gone = new Set(refused.map(({ request }) => request));
    this.queue = this.queue.filter(({ request }) => !gone.has(request));
    return refused.map((one): ServiceQueueDecision => ({ type: 'refuse', ...one }));
  }

  private dispatchAll(now: Millis): readonly ServiceQueueDecision[] {
    const decisions: ServiceQueueDecision[] = [];
    let next = this.dispatchNext(now);
    while (next !== undefined) {
      decisions.push(next);
      next = this.dispatchNext(now);
    }
    return decisions;
  }

  /** Refuses the calls for which no server opens before they time out. */
  private refuseUnservable(now: Millis): readonly ServiceQueueDecision[] {
    if (this.queue.length === 0) return [];
    const hasFreeServer = this.servers.hasUnrestrictedServer;
    if (hasFreeServer && this.queue.every(({ call }) => call.avoid.length === 0)) return [];
    const refused = this.inOrder(this.queue, now).flatMap(({ call, timeoutAt }, position) => {
      if (hasFreeServer && call.avoid.length === 0) return [];
      const openings = this.servers.openingsFor(call.avoid);
      const refusal =
        openings && refusalWithoutOpening({ openings, position }, timeoutAt, now, NO_SERVER_OPENS);
      return refusal === undefined ? [] : [{ request: call.request, refusal }];
    });
    return this.removeRefused(refused);
  }

  private dispatchNext(now: Millis): ServiceQueueDecision | undefined {
    if (this.queue.length === 0 || this.servers.isFull) return undefined;
    const choice = this.dispatchCandidates(now)
      .map((entry) => ({ entry, server: this.servers.choose(entry.call.avoid, now) }))
      .find((pair) => pair.server !== undefined);
    if (choice?.server === undefined) return undefined;
    const { entry, server } = choice;
    const { request, team } = entry;
    this.withdraw(request);
    entry.call.onPlaced?.();
    this.teamCalls.recordStarted(team, this.servers.take(server), now);
    this.admission.recordStarted(entry, now);
    const waitedMs = now - entry.queuedAt;
    return { type: 'place', request, server, waitedMs, expectedMs: entry.estimate?.waitMs };
  }

  /**
   * Gets the calls to find a server for, in order. With admission on, these are only the first one for which
   * there is room: a choice for each call of a full queue costs more than all other work of a step.
   */
  private dispatchCandidates(now: Millis): readonly QueueEntry[] {
    const ordered = this.inOrder(this.queue, now);
    if (!this.admission.isOn()) return ordered;
    const first = ordered.find(({ call }) => this.servers.hasRoom(call.avoid));
    return first === undefined ? [] : [first];
  }

  private inOrder(entries: readonly QueueEntry[], now: Millis): readonly QueueEntry[] {
    return [...entries].sort(this.comparator(now));
  }

  /** Gets the comparator of the order that is switched on, or else of the order of this queue. */
  private comparator(now: Millis): (a: QueueEntry, b: QueueEntry) => number {
    const order = this.controls.order?.();
    if (order === undefined) return (a, b) => this.compare(a, b, now);
    return orderComparator(order, ({ team }) => this.teamCalls.countScarce(team, now), now);
  }

  private compare(a: QueueEntry, b: QueueEntry, now: Millis): number {
    const byLateness = Number(a.lateAt <= now) - Number(b.lateAt <= now);
    if (byLateness !== 0) return byLateness;
    const byClass =
      CLASSES_BY_PRIORITY.indexOf(a.call.class) - CLASSES_BY_PRIORITY.indexOf(b.call.class);
    if (byClass !== 0) return byClass;
    const byTurn = Number(b.returnStatus === 'in_turn') - Number(a.returnStatus === 'in_turn');
    if (byTurn !== 0) return byTurn;
    const { teamCalls } = this;
    return (
      teamCalls.countInFlight(a.team) - teamCalls.countInFlight(b.team) ||
      teamCalls.countScarce(a.team, now) - teamCalls.countScarce(b.team, now)
    );
  }
}
