import type {
  CancelTimer,
  Clock,
  Millis,
  RandomSource,
  Refusal,
  RequestId,
  ServiceId,
  UpstreamId,
} from '@camphorvane/core';
import { mergeOpenings, NO_QUEUE_CONTROLS, ServiceQueue } from '@camphorvane/decisions';
import type {
  QueueControls,
  QueueOrder,
  ServiceQueueCall,
  ServiceQueueDecision,
  TurnScheduler,
  UpstreamAdmission,
  UpstreamSpeeds,
} from '@camphorvane/decisions';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { admissionReport, recordWaits, toLoggedWait } from '../observe/admissionReport.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { abortRefusal } from './abortRefusal.ts';
import type { ConcurrencyShares } from './ConcurrencyShares.ts';
import { ServiceSlots } from './ServiceSlots.ts';

/** Milliseconds between two checks whether servers that take few calls may take another waiting one. */
const ADMISSION_RECHECK_MS: Millis = 50;

const log = eventLog('service');

type RefuseDecision = Extract<ServiceQueueDecision, { readonly type: 'refuse' }>;

type ServerChoice = Result<UpstreamId, Refusal>;

interface QueueEntry {
  readonly service: ServiceId;
  readonly queue: ServiceQueue;
  /** Resolvers of the waiting calls. */
  readonly resolvers: Map<RequestId, (choice: ServerChoice) => void>;
  /** Times at which the running calls got their servers. */
  readonly startedAt: Map<RequestId, Millis>;
  cancelTimer: CancelTimer;
}

/** Overload controls of the queues; they are read at each decision. */
export interface ServiceQueuesControls {
  /** Whether admission by expected wait is on. */
  readonly isAdmissionOn: () => boolean;
  /** Gets what schedules the retries of a service's refused callers; undefined while that is off. */
  readonly turns?: (service: ServiceId) => TurnScheduler | undefined;
  /** Gets the order of a service's waiting calls; undefined while that is off. */
  readonly order?: (service: ServiceId) => QueueOrder | undefined;
  /** Gets the refusal of calls while their service can't be reached; undefined while it can. */
  readonly refusalFor?: (service: ServiceId) => Refusal | undefined;
  /** How fast servers are; absent where they are chosen by their load alone. */
  readonly speeds?: UpstreamSpeeds;
  readonly metrics?: Metrics;
}

/** Queues calls to plain services on this host, and gives them servers within its share of the slots. */
export class ServiceQueues {
  private readonly clock: Clock;

  private readonly random: RandomSource;

  private readonly directory: UpstreamDirectory;

  private readonly hostCount: () => number;

  private readonly slots: ServiceSlots;

  private readonly controls: ServiceQueuesControls | undefined;

  private readonly admission: UpstreamAdmission;

  private readonly queues = new Map<ServiceId, QueueEntry>();

  /**
   * @param clock - Clock for the waits.
   * @param random - Breaks ties between equally loaded servers.
   * @param directory - The configured servers.
   * @param hostCount - Gets the number of hosts that share the servers' slots.
   * @param shares - This host's share of each service's slots.
   * @param admission - Bounds the calls to each server.
   * @param controls - Overload controls; none where absent.
   */
  constructor(
    clock: Clock,
    random: RandomSource,
    directory: UpstreamDirectory,
    hostCount: () => number,
    shares: ConcurrencyShares,
    admission: UpstreamAdmission,
    controls?: ServiceQueuesControls,
  ) {
    this.clock = clock;
    this.random = random;
    this.directory = directory;
    this.hostCount = hostCount;
    this.slots = new ServiceSlots(directory, shares, admission);
    this.admission = admission;
    this.controls = controls;
    shares.setLocalCounter(() => this.countCalls());
  }

  /**
   * Waits for a server with a free slot.
   *
   * @param service - The service.
   * @param call - The call.
   * @param signal - Aborted when the caller disconnects.
   * @returns The server, or a refusal.
   */
  acquireServer(
    service: ServiceId,
    call: ServiceQueueCall,
    signal: AbortSignal,
  ): Promise<ServerChoice> {
    const entry = this.entryFor(service);
    return new Promise((resolve) => {
      const withdraw = (): void => {
        entry.queue.withdraw(call.request);
        this.settle(entry, call.request, err(abortRefusal(signal)));
      };
      entry.resolvers.set(call.request, (choice) => {
        signal.removeEventListener('abort', withdraw);
        resolve(choice);
      });
      signal.addEventListener('abort', withdraw, { once: true });
      if (signal.aborted) {
        withdraw();
        return;
      }
      this.applyShare(entry, this.clock.now());
      const unreachable = this.controls?.refusalFor?.(service);
      const refusal = unreachable ?? entry.queue.submit(call, this.clock.now());
      if (refusal === undefined) this.schedule(entry);
      else this.settle(entry, call.request, err(refusal));
    });
  }

  /** Frees the slot of a call that has ended. */
  releaseServer(
    service: ServiceId,
    call: ServiceQueueCall,
    server: UpstreamId,
    failed: boolean,
  ): void {
    const entry = this.entryFor(service);
    const now = this.clock.now();
    const startedAt = entry.startedAt.get(call.request);
    entry.startedAt.delete(call.request);
    const heldMs = startedAt === undefined ? undefined : now - startedAt;
    if (heldMs !== undefined && !failed) this.recordCall(server, heldMs, now);
    entry.queue.callEnded(call.team, server, failed, now, heldMs);
    this.schedule(entry);
  }

  private recordCall(server: UpstreamId, tookMs: Millis, now: Millis): void {
    const { speeds, metrics } = this.controls ?? {};
    if (speeds?.isUsed() !== true) return;
    speeds.recordCall(server, tookMs, now);
    metrics?.timing('service.call', tookMs);
  }

  /**
   * Gets when a service takes calls of this host again.
   *
   * @param service - The service.
   * @returns Milliseconds from now; undefined while a server has asked for nothing.
   */
  getOpeningMs(service: ServiceId): Millis | undefined {
    const now = this.clock.now();
    const servers = this.directory.getService(service)?.servers ?? [];
    const openings = mergeOpenings(servers.map(({ id }) => this.admission.openings(id, now)));
    const at = openings?.[0]?.at;
    return at === undefined ? undefined : at - now;
  }

  /** Refuses the waiting calls of a service that can't be reached any more. */
  refuseUnreachable(service: ServiceId): void {
    const entry = this.queues.get(service);
    const refusal = this.controls?.refusalFor?.(service);
    if (entry === undefined || refusal === undefined) return;
    [...entry.resolvers.keys()].forEach((request) => {
      entry.queue.withdraw(request);
      this.settle(entry, request, err(refusal));
    });
  }

  /** Applies a changed configuration, or a changed number of hosts, to all services. */
  refresh(): void {
    this.queues.forEach((entry) => this.schedule(entry));
  }

  private entryFor(service: ServiceId): QueueEntry {
    const known = this.queues.get(service);
    if (known !== undefined) return known;
    const entry: QueueEntry = {
      service,
      queue: new ServiceQueue(this.random, this.controlsOf(service), (options, now) =>
        this.controls?.speeds?.chooseServer(options, now),
      ),
      resolvers: new Map(),
      startedAt: new Map(),
      cancelTimer: () => undefined,
    };
    this.queues.set(service, entry);
    return entry;
  }

  private controlsOf(service: ServiceId): QueueControls {
    const { controls } = this;
    if (controls === undefined) return NO_QUEUE_CONTROLS;
    return {
      isAdmissionOn: controls.isAdmissionOn,
      turns: () => controls.turns?.(service),
      order: () => controls.order?.(service),
      report: admissionReport(log, 'service', service, controls.metrics),
    };
  }

  /** Applies this host's share of the slots, and gets the share. */
  private applyShare({ queue, service }: QueueEntry, now: Millis): number {
    const limits = this.slots.getLimits(service, Math.max(1, this.hostCount()), now);
    queue.reconfigure(limits.servers, limits.maxInFlight, limits.share);
    return limits.share;
  }

  private countCalls(): ReadonlyMap<ServiceId, number> {
    return new Map([...this.queues].map(([id, { queue }]) => [id, queue.callCount]));
  }

  private schedule(entry: QueueEntry): void {
    entry.cancelTimer();
    const now = this.clock.now();
    const share = this.applyShare(entry, now);
    entry.queue.step(now).forEach((decision) => this.apply(entry, decision, share));
    const wake = this.nextWake(entry, now);
    if (wake === undefined) return;
    // Kept in the entry, so that the next pass cancels it.
    Object.assign(entry, {
      cancelTimer: this.clock.after(Math.max(1, wake - now), () => this.schedule(entry)),
    });
  }

  private nextWake({ queue, service }: QueueEntry, now: Millis): Millis | undefined {
    const wake = queue.nextWake();
    if (wake === undefined) return undefined;
    const servers = this.directory.getService(service)?.servers ?? [];
    const isBounded = servers.some(({ id }) => this.admission.allowance(id, now) < Infinity);
    return isBounded ? Math.min(wake, now + ADMISSION_RECHECK_MS) : wake;
  }

  private apply(entry: QueueEntry, decision: ServiceQueueDecision, share: number): void {
    switch (decision.type) {
      case 'place':
        this.admission.recordRequest(decision.server, this.clock.now());
        entry.startedAt.set(decision.request, this.clock.now());
        recordWaits('service', decision.expectedMs, decision.waitedMs, this.controls?.metrics);
        log('placed', {
          id: decision.request,
          server: decision.server,
          waitedMs: Math.round(decision.waitedMs),
          expectedMs: toLoggedWait(decision.expectedMs),
          calls: entry.queue.callCount,
          share: Math.round(share * 10) / 10,
          asked: this.admission.constraints.describe(decision.server, this.clock.now()),
          ...this.controls?.speeds?.describe(decision.server, this.clock.now()),
        });
        this.settle(entry, decision.request, ok(decision.server));
        break;
      case 'refuse':
        this.logRefusal(entry, decision);
        this.settle(entry, decision.request, err(decision.refusal));
        break;
      default:
        decision satisfies never;
    }
  }

  private logRefusal({ service }: QueueEntry, { request, refusal }: RefuseDecision): void {
    if (refusal.code !== 'no_capacity') return;
    const now = this.clock.now();
    const ids = (this.directory.getService(service)?.servers ?? []).map(({ id }) => id);
    const asked = this.admission.constraints.describeAll(ids, now);
    log('no_server_open', { id: request, retryAfterMs: refusal.retryAfterMs, asked });
  }

  private settle(entry: QueueEntry, request: RequestId, choice: ServerChoice): void {
    const resolveCall = entry.resolvers.get(request);
    entry.resolvers.delete(request);
    resolveCall?.(choice);
  }

  /** Gets the number of waiting calls by service, for the state dump. */
  dump(): Readonly<Record<ServiceId, number>> {
    return Object.fromEntries([...this.queues].map(([id, entry]) => [id, entry.queue.queuedCount]));
  }
}

/** Longest wait of a native call for a server, in milliseconds, unless the service's timeout is shorter. */
export const MAX_NATIVE_CALL_WAIT_MS: Millis = 2_000;
