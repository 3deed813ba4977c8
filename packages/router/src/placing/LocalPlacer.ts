import type {
  CancelTimer,
  Clock,
  EngineConfig,
  Millis,
  ModelId,
  RandomSource,
  RequestId,
  ReservationId,
  UpstreamId,
} from '@camphorvane/core';
import { notRun, piecesFor } from '@camphorvane/core';
import {
  LocalPlacement,
  LocalQueue,
  meanMemoryTokens,
  QUEUE_RECHECK_MS,
  streamCapacity,
} from '@camphorvane/decisions';
import type {
  EngineKnowledge,
  EngineObservation,
  LocalQueueControls,
  QueueDecision,
  ReservationEnd,
  WorkItem,
} from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import type { ReconfigurablePlacer } from '../coordination/HostCoordination.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { admissionReport, recordWaits, toLoggedWait } from '../observe/admissionReport.ts';
import { eventLog } from '../observe/EventLog.ts';
import { EngineFindings } from './EngineFindings.ts';
import { EngineProbes } from './EngineProbes.ts';
import { LocalReservations } from './LocalReservations.ts';
import { RelocationLedger } from './RelocationLedger.ts';
import { DEFAULT_PRIORITY, queuedRequest } from './localPool.ts';
import type { LocalPlacerOptions, LocalPool, ReserveResult } from './localPool.ts';
import type { EnginePlacement } from './Placer.ts';

const log = eventLog('placing');

type PlaceDecision = Extract<QueueDecision, { readonly type: 'place' }>;

type RefuseDecision = Extract<QueueDecision, { readonly type: 'refuse' }>;

/** Places requests without a coordinator, by this host's observations and the load that peers report. */
export class LocalPlacer implements ReconfigurablePlacer {
  private readonly clock: Clock;

  private readonly directory: UpstreamDirectory;

  private readonly knowledge: EngineKnowledge;

  private readonly pools = new Map<ModelId, LocalPool>();

  private readonly reservations: LocalReservations;

  /** Timers of the next scheduling pass of pools with waiting requests. */
  private readonly recheckTimers = new Map<LocalPool, CancelTimer>();

  private readonly random: RandomSource;

  /** Probes of engines that may be down. */
  readonly probes: EngineProbes;

  /** {@inheritDoc Placer.relocation} */
  readonly relocation: RelocationLedger;

  private readonly onStateChange: () => void;

  private readonly findings: EngineFindings;

  private readonly options: LocalPlacerOptions;

  /** @param options - Dependencies. */
  constructor(options: LocalPlacerOptions) {
    const { clock, random, directory, knowledge, incarnation, onStateChange } = options;
    this.options = options;
    this.random = random;
    this.clock = clock;
    this.directory = directory;
    this.knowledge = knowledge;
    this.onStateChange = onStateChange;
    this.reservations = new LocalReservations(knowledge, incarnation, options.fairQueues);
    this.relocation = new RelocationLedger(knowledge, this.reservations, onStateChange);
    const { health, admission, speeds } = knowledge;
    const { slowStart } = admission;
    this.probes = new EngineProbes({
      ...{ clock, directory, health, slowStart, speeds },
      onChange: () => this.scheduleAll(),
    });
    this.findings = new EngineFindings({ clock, directory, knowledge, probes: this.probes });
  }

  /** {@inheritDoc Placer.reserve} */
  reserve(model: ModelId, item: WorkItem, signal: AbortSignal): Promise<ReserveResult> {
    const pool = this.poolFor(model);
    if (item.avoid.length === 0) this.knowledge.demand.recordRequest(model, item, this.clock.now());
    return new Promise((resolve) => {
      const onAbort = (): void => {
        pool.queue.withdraw(item.request);
        this.resolveRequest(
          pool,
          item.request,
          err(notRun('caller_gone', 'The caller closed its connection.')),
        );
      };
      const answer = (result: ReserveResult): void => {
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      pool.waiting.set(item.request, { item, answer, since: this.clock.now() });
      signal.addEventListener('abort', onAbort, { once: true });
      if (signal.aborted) {
        onAbort();
        return;
      }
      const unreachable = this.options.refusalFor?.(model);
      const refusal = unreachable ?? pool.queue.submit(queuedRequest(item, this.clock.now()));
      if (refusal === undefined) this.schedule(pool);
      else this.resolveRequest(pool, item.request, err(refusal));
    });
  }

  /** {@inheritDoc Placer.prefillEnded} */
  prefillEnded(model: ModelId, reservation: ReservationId, tookMs?: Millis): void {
    this.reservations.endPrefill(reservation, tookMs);
    this.onStateChange();
    this.scheduleModel(model);
  }

  /** {@inheritDoc Placer.moveDecode} */
  moveDecode(reservation: ReservationId, avoid: readonly UpstreamId[]): UpstreamId | undefined {
    const reserved = this.reservations.get(reservation);
    const pool = reserved === undefined ? undefined : this.pools.get(reserved.model);
    if (reserved === undefined || pool === undefined) return undefined;
    const { pair, memoryTokens, promptTokens, longestPauseMs, binding } = reserved;
    const request = { promptTokens, memoryTokens, avoid, longestPauseMs, binding };
    const decode = pool.placement.chooseDecode(request, pair.prefill, this.clock.now());
    if (decode === undefined) return undefined;
    this.reservations.moveDecode(reservation, decode, this.clock.now());
    log('decode_moved', { reservation, from: pair.decode, to: decode });
    return decode;
  }

  /** Does nothing: without a coordinator, no other host can take a reservation away. */
  async renew(): Promise<readonly ReservationId[]> {
    return [];
  }

  /** {@inheritDoc Placer.release} */
  async release(_model: ModelId, reservation: ReservationId, end: ReservationEnd): Promise<void> {
    const reserved = this.reservations.release(reservation, end);
    if (reserved === undefined) return;
    this.onStateChange();
    const heldMs = end === 'done' ? this.clock.now() - reserved.reservedAt : undefined;
    this.pools.get(reserved.model)?.queue.requestEnded(reserved.team, heldMs);
    this.scheduleModel(reserved.model);
  }

  /** {@inheritDoc Placer.attemptFailed} */
  attemptFailed(engine: UpstreamId, error: UpstreamError): void {
    this.findings.attemptFailed(engine, error);
  }

  /** {@inheritDoc Placer.observe} */
  async observe(_model: ModelId, observations: readonly EngineObservation[]): Promise<void> {
    observations.forEach((observation) => this.findings.observe(observation));
  }

  /** Counts this host's waiting requests for a model that can still be on time. */
  countOnTime(model: ModelId): number {
    return this.pools.get(model)?.queue.countOnTime(this.clock.now()) ?? 0;
  }

  /** {@inheritDoc ReconfigurablePlacer.refresh} */
  refresh(): void {
    const engines = this.directory.getModels().flatMap((model) => this.enginesOf(model));
    this.knowledge.roleChanges.prune(engines, this.clock.now());
    this.knowledge.health.retain(new Set(this.directory.getEngineIds()));
    this.pools.forEach((pool, model) => {
      this.updateEngines(pool, model);
      this.schedule(pool);
    });
  }

  /** Refuses the waiting requests for a model whose engines can't be reached any more. */
  refuseUnreachable(model: ModelId): void {
    const pool = this.pools.get(model);
    const refusal = this.options.refusalFor?.(model);
    if (pool === undefined || refusal === undefined) return;
    [...pool.waiting.keys()].forEach((request) => {
      pool.queue.withdraw(request);
      this.resolveRequest(pool, request, err(refusal));
    });
  }

  /** Stops probes and timers; waiting requests end when their callers abort them. */
  stop(): void {
    this.probes.stop();
    this.recheckTimers.forEach((cancel) => cancel());
  }

  /** Gets the state shown to operators. */
  dump(): object {
    const waiting = [...this.pools].map(([model, pool]) => [model, pool.queue.size] as const);
    return {
      placed: this.reservations.totalCount,
      held: this.reservations.size,
      waiting: Object.fromEntries(waiting),
      use: Object.fromEntries(this.knowledge.inFlight.getOwn()),
    };
  }

  private poolFor(model: ModelId): LocalPool {
    const known = this.pools.get(model);
    if (known !== undefined) return known;
    const placement = new LocalPlacement(this.knowledge, this.random);
    const pool: LocalPool = {
      model,
      placement,
      queue: new LocalQueue(
        placement,
        (now) => this.knowledge.peerBacklog.sum(model, now),
        this.controlsOf(model),
      ),
      waiting: new Map(),
    };
    this.pools.set(model, pool);
    this.updateEngines(pool, model);
    return pool;
  }

  private controlsOf(model: ModelId): LocalQueueControls {
    const { turns, order, metrics } = this.options;
    return {
      isAdmissionOn: () => this.directory.getOverloadPolicy().admission,
      turns: () => turns?.(model),
      order: () => order?.(model),
      report: admissionReport(log, 'streams', model, metrics),
      streamCapacity: (now) => streamCapacity(this.enginesOf(model), this.knowledge.inFlight, now),
    };
  }

  private updateEngines(pool: LocalPool, model: ModelId): void {
    pool.placement.setEngines(this.enginesOf(model));
  }

  private enginesOf(model: ModelId): readonly EngineConfig[] {
    return this.directory.getPool(model)?.engines ?? [];
  }

  private scheduleModel(model: ModelId): void {
    const pool = this.pools.get(model);
    if (pool !== undefined) this.schedule(pool);
  }

  private scheduleAll(): void {
    this.onStateChange();
    this.pools.forEach((pool) => this.schedule(pool));
  }

  private schedule(pool: LocalPool): void {
    this.recheckTimers.get(pool)?.();
    this.recheckTimers.delete(pool);
    let decision = pool.queue.next(this.clock.now());
    while (decision !== undefined) {
      this.applyDecision(pool, decision);
      decision = pool.queue.next(this.clock.now());
    }
    if (pool.queue.size === 0) return;
    this.recheckTimers.set(
      pool,
      this.clock.after(QUEUE_RECHECK_MS, () => this.schedule(pool)),
    );
  }

  private applyDecision(pool: LocalPool, decision: QueueDecision): void {
    switch (decision.type) {
      case 'place':
        this.place(pool, decision);
        break;
      case 'refuse':
        this.logRefusal(pool, decision);
        this.resolveRequest(pool, decision.request, err(decision.refusal));
        break;
      default:
        decision satisfies never;
    }
  }

  private logRefusal(pool: LocalPool, { request, refusal }: RefuseDecision): void {
    if (refusal.code !== 'no_capacity') return;
    const now = this.clock.now();
    const ids = this.enginesOf(pool.model).map(({ id }) => id);
    const asked = this.knowledge.admission.constraints.describeAll(ids, now);
    log('no_engine_open', { id: request, retryAfterMs: refusal.retryAfterMs, asked });
  }

  private place(pool: LocalPool, { request, pair, waitReason, expectedMs }: PlaceDecision): void {
    const waiting = pool.waiting.get(request);
    if (waiting === undefined) return;
    const { item } = waiting;
    const { model } = pool;
    const memoryTokens = meanMemoryTokens(item);
    const { team, promptTokens, longestPauseMs, binding, priority = DEFAULT_PRIORITY } = item;
    const reserved = { model, team, pair, promptTokens, longestPauseMs, memoryTokens, binding };
    const work = { ...reserved, request, priority };
    const reservation = this.reservations.reserve(work, this.clock.now());
    this.onStateChange();
    const placed: EnginePlacement = {
      reservation,
      prefill: pair.prefill,
      decode: pair.decode,
      pieces: piecesFor(memoryTokens),
      priority,
    };
    const waitedMs = this.clock.now() - waiting.since;
    recordWaits('streams', expectedMs, waitedMs, this.options.metrics);
    log('placed', {
      id: request,
      prefill: pair.prefill,
      decode: pair.decode,
      expectedReadMs: Math.round(pair.expectedPrefillMs),
      promptTokens: item.promptTokens,
      memoryTokens: Math.round(memoryTokens),
      waitedMs: Math.round(waitedMs),
      expectedMs: toLoggedWait(expectedMs),
      lacked: waitReason,
      ...this.knowledge.speeds.describe(pair.decode, this.clock.now()),
    });
    this.resolveRequest(pool, request, ok(placed));
  }

  private resolveRequest(pool: LocalPool, request: RequestId, result: ReserveResult): void {
    const waiting = pool.waiting.get(request);
    pool.waiting.delete(request);
    waiting?.answer(result);
  }
}
