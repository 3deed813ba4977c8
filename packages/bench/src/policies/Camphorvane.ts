import {
  type EngineConfig,
  type Millis,
  RandomSource,
  type RequestId,
  type ReservationId,
  type UpstreamId,
} from '@camphorvane/core';
import {
  FairPoolScheduler,
  type PoolSchedulerConfig,
  type SchedulerDecision,
} from '@camphorvane/decisions';
import type { Attempt, LossReason } from '../physics/Attempt.ts';
import type { World } from '../physics/World.ts';
import type { SimRequest } from '../workload/SimRequest.ts';
import type { Policy, PolicyContext } from './Policy.ts';

/** How often hosts tell the steward of the time between tokens that they saw. */
const INTERVAL_REPORT_MS = 200;

/** How often a holder renews its reservations; a third of their life. */
const RENEW_MS = 1_000;

const SEED_OFFSET = 15_485_863;

type Place = Extract<SchedulerDecision, { type: 'place' }>;

/**
 * The scheduler that runs in the product, with what lies between it and the engines: a hop from
 * host to steward and back, late load reports, and cache events that are late or lost.
 */
export class Camphorvane implements Policy {
  private readonly scheduler: FairPoolScheduler;

  private readonly requests = new Map<RequestId, SimRequest>();

  private readonly live = new Map<ReservationId, Attempt>();

  private readonly random: RandomSource;

  private wakeAt: Millis = Infinity;

  constructor(private readonly ctx: PolicyContext) {
    const { world, seed } = ctx;
    this.random = new RandomSource(seed + SEED_OFFSET);
    this.scheduler = new FairPoolScheduler(shapeOf(world), { random: this.random });
    world.onFault((engine, up) =>
      this.tell(() =>
        this.scheduler.observe(
          up ? { type: 'recovered', engine } : { type: 'failed', engine, reason: 'down' },
          world.timeline.now,
        ),
      ),
    );
    world.onCache((engine, digest, change) => this.cacheEvent(engine, digest, change));
    this.reportIntervals();
    this.reportLoad();
    this.renew();
  }

  arrive(request: SimRequest): void {
    if (!request.withinRate) {
      this.ctx.book.refused(request, 'over_rate', this.ctx.world.timeline.now);
      return;
    }
    this.submit(request, []);
  }

  /** Gets the scheduler's live reservations, for checks at the end of a run. */
  get reservationCount(): number {
    return this.scheduler.reservationCount;
  }

  private submit(request: SimRequest, avoid: readonly UpstreamId[]): void {
    this.requests.set(request.id, request);
    this.tell((now) =>
      this.scheduler.submit(
        {
          request: request.id,
          holder: request.host,
          team: request.team,
          weight: request.weight,
          class: request.class,
          promptTokens: request.promptTokens,
          maxOutputTokens: request.maxOutputTokens,
          prefixes: request.prefixes,
          maxWaitMs: Math.max(1, request.arrivesAt + request.maxWaitMs - now),
          avoid,
        },
        now,
      ),
    );
  }

  /** Sends a message to the steward, which then takes its decisions. */
  private tell(message: (now: Millis) => void): void {
    const { timeline, workload } = this.ctx.world;
    timeline.after(workload.hopMs, () => {
      message(timeline.now);
      this.step();
    });
  }

  private step(): void {
    const { timeline, workload } = this.ctx.world;
    const decisions = this.scheduler.step(timeline.now);
    if (decisions.length > 0) {
      timeline.after(workload.hopMs, () =>
        decisions.forEach((decision) => this.carryOut(decision)),
      );
    }
    const next = this.scheduler.nextWake(timeline.now) ?? Infinity;
    if (next >= this.wakeAt && this.wakeAt > timeline.now) return;
    this.wakeAt = next;
    if (next === Infinity) return;
    timeline.at(next, () => {
      if (this.wakeAt <= timeline.now) this.step();
    });
  }

  private carryOut(decision: SchedulerDecision): void {
    const { book, world } = this.ctx;
    switch (decision.type) {
      case 'place':
        this.start(decision);
        break;
      case 'refuse': {
        const request = this.requests.get(decision.request);
        if (request !== undefined) book.refused(request, decision.refusal.code, world.timeline.now);
        break;
      }
      case 'reclaim': {
        const attempt = this.live.get(decision.reservation);
        if (attempt !== undefined) world.cancel(attempt);
        break;
      }
      default:
        decision satisfies never;
    }
  }

  private start(place: Place): void {
    const request = this.requests.get(place.request);
    if (request === undefined) throw new Error(`Placed ${place.request}, which nobody sent.`);
    const { world, book } = this.ctx;
    const attempt = world.start(request, place, place.priority, {
      prefillEnded: (ended) => this.prefillEnded(place, ended),
      firstToken: () => book.firstToken(request, world.timeline.now),
      whole: (ended) => {
        this.live.delete(place.reservation);
        book.whole(request, ended, world.timeline.now);
        this.tell((now) => this.scheduler.release(place.reservation, 'done', now));
      },
      lost: (ended, reason) => this.lost(place, ended, reason),
    });
    this.live.set(place.reservation, attempt);
  }

  private prefillEnded(place: Place, attempt: Attempt): void {
    const { request } = attempt;
    const tookMs = this.ctx.world.timeline.now - attempt.startedAt;
    this.tell((now) => {
      this.scheduler.observe(
        {
          type: 'prefill_done',
          engine: place.prefill,
          tokens: request.promptTokens,
          cachedTokens: attempt.cachedTokens,
          tookMs,
          prefixes: request.prefixes,
        },
        now,
      );
      this.scheduler.prefillEnded(place.reservation, now);
    });
  }

  private lost(place: Place, attempt: Attempt, reason: LossReason): void {
    const { request } = attempt;
    this.live.delete(place.reservation);
    const inDecode = attempt.producedTokens > 0;
    const end = inDecode ? 'failed_in_decode' : 'failed_before_decode';
    this.tell((now) => this.scheduler.release(place.reservation, end, now));
    const failed = this.ctx.world.down.has(place.decode) ? place.decode : place.prefill;
    const avoid = reason === 'engine_down' ? [failed] : [];
    // A broken stream goes on where it stopped: its tokens so far are part of the next prompt.
    const rest: SimRequest = {
      ...request,
      promptTokens: request.promptTokens + attempt.producedTokens,
      maxOutputTokens: request.maxOutputTokens - attempt.producedTokens,
      outputTokens: request.outputTokens - attempt.producedTokens,
    };
    this.submit(rest, avoid);
  }

  private cacheEvent(engine: UpstreamId, digest: string, change: 'stored' | 'evicted'): void {
    const { timeline, workload } = this.ctx.world;
    if (this.random.next() < workload.reports.cacheLoss) return;
    timeline.after(workload.reports.cacheLagMs, () =>
      this.scheduler.observe({ type: 'cache', engine, digest, change }, timeline.now),
    );
  }

  private reportIntervals(): void {
    const { timeline, decodes } = this.ctx.world;
    decodes.forEach((engine) => {
      const sample = engine.takeSample();
      if (sample === undefined) return;
      this.tell((now) =>
        this.scheduler.observe({ type: 'token_interval', engine: engine.id, ...sample }, now),
      );
    });
    timeline.after(INTERVAL_REPORT_MS, () => this.reportIntervals());
  }

  private reportLoad(): void {
    const { timeline, decodes, workload } = this.ctx.world;
    const seen = decodes.map((engine) => ({
      engine: engine.id,
      load: {
        role: 'decode' as const,
        usedPieces: engine.usedPieces,
        memoryPieces: engine.cfg.memoryPieces,
        running: engine.running,
        waiting: engine.waiting,
        attempts: [],
      },
    }));
    timeline.after(workload.reports.lagMs, () =>
      seen.forEach((report) => this.scheduler.observe({ type: 'load', ...report }, timeline.now)),
    );
    timeline.after(workload.reports.everyMs, () => this.reportLoad());
  }

  private renew(): void {
    const { timeline } = this.ctx.world;
    this.live.forEach((_attempt, reservation) => this.scheduler.renew(reservation, timeline.now));
    timeline.after(RENEW_MS, () => this.renew());
  }
}

function shapeOf(world: World): PoolSchedulerConfig {
  const common = { url: 'http://127.0.0.1:1', zone: 'a', checksFencing: true };
  const prefills: readonly EngineConfig[] = world.prefills.map((engine) => ({
    ...common,
    id: engine.id,
    role: 'prefill',
    memoryPieces: 1,
  }));
  const decodes: readonly EngineConfig[] = world.decodes.map((engine) => ({
    ...common,
    id: engine.id,
    role: 'decode',
    memoryPieces: engine.cfg.memoryPieces,
  }));
  return {
    engines: [...prefills, ...decodes],
    ttftTargetMs: world.workload.ttftTargetMs,
    itlTargetMs: world.workload.itlTargetMs,
    linkPiecesPerSecond: world.workload.linkPiecesPerSecond,
  };
}
