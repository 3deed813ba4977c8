import type { Clock, RequestId, RoutingConfig, TeamId } from '@camphorvane/core';
import { TOKENS_PER_PIECE } from '@camphorvane/core';
import type {
  OrderedPlacement,
  PriorityLevels,
  QueueOrder,
  ResourceCapacity,
  UsageRow,
} from '@camphorvane/decisions';
import {
  callsOf,
  FairOrder,
  memoryOf,
  priorityLevels,
  streamsOf,
  TeamUsage,
} from '@camphorvane/decisions';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { DEFAULT_PRIORITY } from '../placing/localPool.ts';
import { fairQueueView } from './fairQueueView.ts';
import { Holdings } from './Holdings.ts';
import type { EnteredWork, HeldWork, SharedQueue } from './queuedWork.ts';
import { amountsOf, queueName, queueOf } from './queuedWork.ts';

/** Weight of a team that the configuration does not know. */
const DEFAULT_WEIGHT = 1;

const log = eventLog('shares');

interface QueueEntry {
  readonly queue: SharedQueue;
  readonly order: FairOrder;
}

/** What the queues are built on; the upstreams give the capacity. */
export type CapacityDirectory = Pick<
  UpstreamDirectory,
  'getService' | 'getPool' | 'getOverloadPolicy'
>;

/**
 * Orders this host's queues of plain services and pools by what teams hold on all hosts.
 *
 * Usage and waiting requests are recorded also while the switch is off, so that the order is right from the
 * moment on at which it is switched on. While it is off, no queue gets an order, nothing is reported to
 * peers, and nothing is logged.
 */
export class FairQueues {
  /** What teams hold here and on the peers. */
  readonly usage = new TeamUsage();

  private readonly clock: Clock;

  private readonly directory: CapacityDirectory;

  private readonly metrics: Metrics;

  private readonly holdings = new Holdings();

  private readonly queues = new Map<string, QueueEntry>();

  private weights: ReadonlyMap<TeamId, number> = new Map();

  private levels: PriorityLevels = new Map();

  /**
   * @param clock - The clock of the host.
   * @param directory - The upstreams and the controls in force.
   * @param metrics - Receives reasons and waits of placements.
   */
  constructor(clock: Clock, directory: CapacityDirectory, metrics: Metrics) {
    this.clock = clock;
    this.directory = directory;
    this.metrics = metrics;
  }

  /** Applies the weights and priorities of a configuration. */
  reconfigure(config: RoutingConfig): void {
    this.weights = new Map(config.teams.map(({ id, weight }) => [id, weight]));
    this.levels = priorityLevels(config, DEFAULT_PRIORITY);
  }

  /** Gets the order of a queue; undefined while fair shares are switched off. */
  orderOf(queue: SharedQueue): QueueOrder | undefined {
    return this.isOn() ? this.entryFor(queue).order : undefined;
  }

  /** Records a request that begins to wait; {@link leave} must be called once it waits no more. */
  enter({
    request,
    queue,
    team,
    priority = DEFAULT_PRIORITY,
    lateAt = Infinity,
  }: EnteredWork): void {
    const submittedAt = this.clock.now();
    this.entryFor(queue).order.enter(request, { team, priority, submittedAt, lateAt });
  }

  /**
   * Records that a request does not wait any more. After {@link place} this does nothing.
   *
   * @param queue - The queue.
   * @param request - The request.
   * @param isRefused - Whether it got no upstream; otherwise another host has placed it.
   */
  leave(queue: SharedQueue, request: RequestId, isRefused: boolean): void {
    const wasWaiting = this.entryFor(queue).order.leave(request);
    if (wasWaiting && isRefused && this.isOn()) this.metrics.count('shares.unplaced');
  }

  /** Records a placed request, and what its team holds by it. */
  place(work: HeldWork): void {
    const queue = queueOf(work);
    const placement = this.entryFor(queue).order.recordPlaced(work.request, this.clock.now());
    if (placement !== undefined && this.isOn()) this.report(work, placement);
    this.adjust(work, 1);
  }

  /** Records that a placed request has ended. */
  release(work: HeldWork): void {
    this.adjust(work, -1);
  }

  /** Gets what teams hold on this host, to be reported to peers; undefined while switched off. */
  getReport(): readonly UsageRow[] | undefined {
    return this.isOn() ? this.usage.getRows(this.clock.now()) : undefined;
  }

  /** Gets who waits and who holds what in each queue, for the state dump. */
  dump(): object {
    const now = this.clock.now();
    const views = [...this.queues].map(([name, { queue, order }]) => [
      name,
      fairQueueView(order, this.usage, this.resourcesOf(queue), this.holdings.of(name), now),
    ]);
    return {
      on: this.isOn(),
      peersAgeMs: this.usage.getReportAgeMs(now),
      queues: Object.fromEntries(views) as object,
    };
  }

  private isOn(): boolean {
    return this.directory.getOverloadPolicy().fairShares;
  }

  private entryFor(queue: SharedQueue): QueueEntry {
    const name = queueName(queue);
    const known = this.queues.get(name);
    if (known !== undefined) return known;
    const order = new FairOrder({
      usage: this.usage,
      resources: () => this.resourcesOf(queue),
      weightOf: (team) => this.weights.get(team) ?? DEFAULT_WEIGHT,
      levels: () => this.levels,
    });
    const entry = { queue, order };
    this.queues.set(name, entry);
    return entry;
  }

  private resourcesOf({ type, id }: SharedQueue): readonly ResourceCapacity[] {
    switch (type) {
      case 'service': {
        const servers = this.directory.getService(id)?.servers ?? [];
        const slots = servers.reduce((sum, { maxConcurrent }) => sum + maxConcurrent, 0);
        return [{ queue: callsOf(id), capacity: slots }];
      }
      case 'pool': {
        const engines = this.directory.getPool(id)?.engines ?? [];
        const decode = engines.filter(({ role }) => role === 'decode');
        const pieces = decode.reduce((sum, { memoryPieces }) => sum + memoryPieces, 0);
        const slots = decode.reduce((sum, engine) => sum + (engine.slots ?? Infinity), 0);
        return [
          { queue: memoryOf(id), capacity: pieces * TOKENS_PER_PIECE },
          { queue: streamsOf(id), capacity: slots },
        ];
      }
      default:
        return type satisfies never;
    }
  }

  private adjust(work: HeldWork, sign: 1 | -1): void {
    const now = this.clock.now();
    amountsOf(work).forEach(([queue, amount]) =>
      this.usage.adjust(queue, work.team, sign * amount, now),
    );
    this.holdings.adjust(work, work.priority ?? DEFAULT_PRIORITY, sign);
  }

  private report(work: HeldWork, { reason, waitedMs, share, waiting }: OrderedPlacement): void {
    const priority = work.priority ?? DEFAULT_PRIORITY;
    this.metrics.count('shares.placed', { reason });
    this.metrics.timing('shares.waited', waitedMs, { priority: String(priority) });
    // Where nothing else waits, the order decided nothing.
    if (waiting === 0) return;
    log('placed', {
      id: work.request,
      queue: queueName(queueOf(work)),
      ...{ team: work.team, priority, reason, waiting },
      share: Math.round(share * 1_000) / 1_000,
      waitedMs: Math.round(waitedMs),
      peersAgeMs: this.usage.getReportAgeMs(this.clock.now()),
    });
  }
}
