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
  meanMemory,
  memorySteps,
  QUEUE_RECHECK_MS,
} from '@camphorvane/decisions';
import type {
  EngineKnowledge,
  EngineObservation,
  QueueDecision,
  ReservationEnd,
  WorkItem,
} from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import { reachedNobody } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import type { ChangingPlacer } from '../agreement/HostAgreement.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { stateLog } from '../observe/StateLog.ts';
import { EngineProbes } from './EngineProbes.ts';
import { HeldWork } from './HeldWork.ts';
import type { LocalPlacerOptions, LocalPool, ReserveAnswer } from './localPool.ts';
import type { PlacedPair } from './Placer.ts';

const log = stateLog('placing');

type PlaceDecision = Extract<QueueDecision, { readonly type: 'place' }>;

/** Priority given to engines where the operators gave none: the middle of the scale. */
const DEFAULT_PRIORITY = 5;

/** Places requests on this host's own knowledge of the engines, with what peers say of their use. */
export class LocalPlacer implements ChangingPlacer {
  private readonly clock: Clock;

  private readonly directory: UpstreamDirectory;

  private readonly knowledge: EngineKnowledge;

  private readonly pools = new Map<ModelId, LocalPool>();

  private readonly held: HeldWork;

  /** Next scheduling pass of a pool whose requests wait. */
  private readonly rechecks = new Map<LocalPool, CancelTimer>();

  private readonly random: RandomSource;

  /** Finds out which engines are up. */
  readonly probes: EngineProbes;

  private readonly onNews: () => void;

  /** @param options - What it is made of. */
  constructor({ clock, random, directory, knowledge, incarnation, onNews }: LocalPlacerOptions) {
    this.random = random;
    this.clock = clock;
    this.directory = directory;
    this.knowledge = knowledge;
    this.onNews = onNews;
    this.held = new HeldWork(knowledge, incarnation);
    const { health, slowStart } = knowledge;
    this.probes = new EngineProbes({
      ...{ clock, directory, health, slowStart },
      onChange: () => this.scheduleAll(),
    });
  }

  /** {@inheritDoc Placer.reserve} */
  reserve(model: ModelId, item: WorkItem, signal: AbortSignal): Promise<ReserveAnswer> {
    const pool = this.poolFor(model);
    if (item.avoid.length === 0) this.knowledge.demand.asked(model, item, this.clock.now());
    return new Promise((resolve) => {
      const gone = (): void => {
        pool.queue.withdraw(item.request);
        this.answer(pool, item.request, err(notRun('caller_gone', 'The caller has gone.')));
      };
      const answer = (result: ReserveAnswer): void => {
        signal.removeEventListener('abort', gone);
        resolve(result);
      };
      pool.waiting.set(item.request, { item, answer, since: this.clock.now() });
      signal.addEventListener('abort', gone, { once: true });
      if (signal.aborted) {
        gone();
        return;
      }
      const refusal = pool.queue.submit({
        request: item.request,
        team: item.team,
        priority: item.priority ?? DEFAULT_PRIORITY,
        lateAt: this.clock.now() + (item.onTimeMs ?? item.maxWaitMs),
        giveUpAt: this.clock.now() + item.maxWaitMs,
        promptTokens: item.promptTokens,
        memoryTokens: meanMemory(item),
        memorySteps: memorySteps(item),
        since: this.clock.now(),
        avoid: item.avoid,
        longestPauseMs: item.longestPauseMs,
      });
      if (refusal === undefined) this.schedule(pool);
      else this.answer(pool, item.request, err(refusal));
    });
  }

  /** {@inheritDoc Placer.prefillEnded} */
  prefillEnded(model: ModelId, reservation: ReservationId, tookMs?: Millis): void {
    this.held.endPrefill(reservation, tookMs);
    this.onNews();
    this.scheduleModel(model);
  }

  /** {@inheritDoc Placer.moveDecode} */
  moveDecode(reservation: ReservationId, avoid: readonly UpstreamId[]): UpstreamId | undefined {
    const held = this.held.get(reservation);
    const pool = held === undefined ? undefined : this.pools.get(held.model);
    if (held === undefined || pool === undefined) return undefined;
    const { pair, memoryTokens, promptTokens, longestPauseMs } = held;
    const wish = { promptTokens, memoryTokens, avoid, longestPauseMs };
    const decode = pool.placement.chooseDecode(wish, pair.prefill, this.clock.now());
    if (decode === undefined) return undefined;
    this.held.moveDecode(reservation, decode, this.clock.now());
    log('decode_moved', { reservation, from: pair.decode, to: decode });
    return decode;
  }

  /** Reservations of a host that places on its own can't be lost to another one. */
  async renew(): Promise<readonly ReservationId[]> {
    return [];
  }

  /** {@inheritDoc Placer.release} */
  async release(_model: ModelId, reservation: ReservationId, end: ReservationEnd): Promise<void> {
    const held = this.held.release(reservation, end);
    if (held === undefined) return;
    this.onNews();
    this.pools.get(held.model)?.queue.ended(held.team);
    this.scheduleModel(held.model);
  }

  /** {@inheritDoc Placer.attemptFailed} */
  attemptFailed(engine: UpstreamId, error: UpstreamError): void {
    switch (error.type) {
      case 'unreachable':
      case 'silent':
      case 'broken':
        if (reachedNobody(error)) this.knowledge.slowStart.unreachable(engine);
        this.knowledge.health.failed(engine, this.clock.now());
        this.probes.suspect(engine);
        break;
      case 'mismatch':
        this.knowledge.health.failed(engine, this.clock.now());
        break;
      case 'rejected':
      case 'cancelled':
        break;
      default:
        error satisfies never;
    }
  }

  /** {@inheritDoc Placer.observe} */
  async observe(_model: ModelId, observations: readonly EngineObservation[]): Promise<void> {
    observations.forEach((seen) => this.take(seen));
  }

  /** Counts the requests of a pool that wait on this host and can still be on time. */
  countOnTime(model: ModelId): number {
    return this.pools.get(model)?.queue.countOnTime(this.clock.now()) ?? 0;
  }

  /** {@inheritDoc ChangingPlacer.refresh} */
  refresh(): void {
    const engines = this.directory.getModels().flatMap((model) => this.enginesOf(model));
    this.knowledge.moves.settle(engines, this.clock.now());
    this.knowledge.health.keepOnly(new Set(this.directory.getEngineIds()));
    this.pools.forEach((pool, model) => {
      this.reshape(pool, model);
      this.schedule(pool);
    });
  }

  /** Ends what runs by itself; requests that wait are left to their callers. */
  stop(): void {
    this.probes.stop();
    this.rechecks.forEach((cancel) => cancel());
  }

  /** Gets the state to be shown to operators. */
  dump(): object {
    const waiting = [...this.pools].map(([model, pool]) => [model, pool.queue.size] as const);
    return {
      placed: this.held.count,
      held: this.held.size,
      waiting: Object.fromEntries(waiting),
      use: Object.fromEntries(this.knowledge.use.getOwn()),
    };
  }

  private take(seen: EngineObservation): void {
    const now = this.clock.now();
    switch (seen.type) {
      case 'failed':
        this.knowledge.health.failed(seen.engine, now);
        break;
      case 'recovered':
        this.knowledge.health.succeeded(seen.engine);
        break;
      case 'token_interval':
        this.takeInterval(seen.engine, seen.meanMs);
        break;
      case 'load':
      case 'prefill_done':
      case 'cache':
        break;
      default:
        seen satisfies never;
    }
  }

  private takeInterval(id: UpstreamId, meanMs: Millis): void {
    const tokens = this.directory.getEngine(id)?.cfg.eventTokens ?? 1;
    this.knowledge.health.tokensTook(id, meanMs / tokens);
  }

  private poolFor(model: ModelId): LocalPool {
    const known = this.pools.get(model);
    if (known !== undefined) return known;
    const placement = new LocalPlacement(this.knowledge, this.random);
    const pool: LocalPool = {
      model,
      placement,
      queue: new LocalQueue(placement, (now) => this.knowledge.waiting.sum(model, now)),
      waiting: new Map(),
    };
    this.pools.set(model, pool);
    this.reshape(pool, model);
    return pool;
  }

  private reshape(pool: LocalPool, model: ModelId): void {
    pool.placement.reshape(this.enginesOf(model));
  }

  private enginesOf(model: ModelId): readonly EngineConfig[] {
    return this.directory.getPool(model)?.engines ?? [];
  }

  private scheduleModel(model: ModelId): void {
    const pool = this.pools.get(model);
    if (pool !== undefined) this.schedule(pool);
  }

  private scheduleAll(): void {
    this.onNews();
    this.pools.forEach((pool) => this.schedule(pool));
  }

  private schedule(pool: LocalPool): void {
    this.rechecks.get(pool)?.();
    this.rechecks.delete(pool);
    let decision = pool.queue.next(this.clock.now());
    while (decision !== undefined) {
      this.carryOut(pool, decision);
      decision = pool.queue.next(this.clock.now());
    }
    if (pool.queue.size === 0) return;
    this.rechecks.set(
      pool,
      this.clock.after(QUEUE_RECHECK_MS, () => this.schedule(pool)),
    );
  }

  private carryOut(pool: LocalPool, decision: QueueDecision): void {
    switch (decision.type) {
      case 'place':
        this.place(pool, decision);
        break;
      case 'refuse':
        this.answer(pool, decision.request, err(decision.refusal));
        break;
      default:
        decision satisfies never;
    }
  }

  private place(pool: LocalPool, { request, pair, lacked }: PlaceDecision): void {
    const waiting = pool.waiting.get(request);
    if (waiting === undefined) return;
    const { item } = waiting;
    const { model } = pool;
    const memoryTokens = meanMemory(item);
    const { team, promptTokens, longestPauseMs } = item;
    const work = { model, team, pair, promptTokens, longestPauseMs, memoryTokens };
    const reservation = this.held.begin(work, this.clock.now());
    this.onNews();
    const placed: PlacedPair = {
      reservation,
      prefill: pair.prefill,
      decode: pair.decode,
      pieces: piecesFor(memoryTokens),
      priority: item.priority ?? DEFAULT_PRIORITY,
    };
    log('placed', {
      id: request,
      prefill: pair.prefill,
      decode: pair.decode,
      expectedReadMs: Math.round(pair.readMs),
      promptTokens: item.promptTokens,
      memoryTokens: Math.round(memoryTokens),
      waitedMs: Math.round(this.clock.now() - waiting.since),
      lacked,
    });
    this.answer(pool, request, ok(placed));
  }

  private answer(pool: LocalPool, request: RequestId, answer: ReserveAnswer): void {
    const waiting = pool.waiting.get(request);
    pool.waiting.delete(request);
    waiting?.answer(answer);
  }
}
