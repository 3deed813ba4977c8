import {
  type Pieces,
  RandomSource,
  type Tokens,
  type UpstreamId,
  piecesFor,
} from '@camphorvane/core';
import type { SimRequest } from '../workload/SimRequest.ts';
import type { Fault, Workload } from '../workload/Workload.ts';
import type { Attempt, AttemptEvents, LossReason } from './Attempt.ts';
import { DecodeFake } from './DecodeFake.ts';
import { PrefillFake } from './PrefillFake.ts';
import { Timeline } from './Timeline.ts';

const MS_PER_SECOND = 1000;

/** A prefill's result is evicted within a second: at some point between these. */
const KV_LIFE_MS = { least: 500, most: 1_000 };

/** Seed of the engines' own randomness, apart from that of the requests. */
const WORLD_SEED = 104_729;

/** Prefill tokens of a run. */
export interface PrefillTotals {
  computed: Tokens;
  cached: Tokens;
  wasted: Tokens;
}

/** Hears of cache events as they happen; whoever delivers them adds lag and gaps. */
export type CacheListener = (
  engine: UpstreamId,
  digest: string,
  change: 'stored' | 'evicted',
) => void;

/** The engines and links of a run: what happens to work once some policy has placed it. */
export class World {
  readonly timeline = new Timeline();

  readonly prefills: readonly PrefillFake[];

  readonly decodes: readonly DecodeFake[];

  readonly totals: PrefillTotals = { computed: 0, cached: 0, wasted: 0 };

  /** Engines that are down now. */
  readonly down = new Set<UpstreamId>();

  private readonly random: RandomSource;

  private readonly listeners = new Map<Attempt, AttemptEvents>();

  private readonly faultListeners: ((engine: UpstreamId, up: boolean) => void)[] = [];

  private readonly cacheListeners: CacheListener[] = [];

  private started = 0;

  constructor(
    readonly workload: Workload,
    seed: number,
  ) {
    this.random = new RandomSource(seed + WORLD_SEED);
    this.prefills = this.makePrefills();
    this.decodes = this.makeDecodes();
    workload.faults.forEach((fault) => this.timeline.at(fault.atMs, () => this.strike(fault)));
  }

  /** Hears of engines that go down or come up. */
  onFault(listener: (engine: UpstreamId, up: boolean) => void): void {
    this.faultListeners.push(listener);
  }

  /** Hears of prefix cache events, without lag. */
  onCache(listener: CacheListener): void {
    this.cacheListeners.push(listener);
  }

  /** Gets a prefill engine; throws for names that are not in the workload. */
  getPrefillOrThrow(id: UpstreamId): PrefillFake {
    return found(
      this.prefills.find((engine) => engine.id === id),
      id,
    );
  }

  /** Gets a decode engine; throws for names that are not in the workload. */
  getDecodeOrThrow(id: UpstreamId): DecodeFake {
    return found(
      this.decodes.find((engine) => engine.id === id),
      id,
    );
  }

  /** Starts an attempt; its events go to the listener. */
  start(
    request: SimRequest,
    place: { readonly prefill: UpstreamId; readonly decode: UpstreamId; readonly pieces?: Pieces },
    priority: number,
    events: AttemptEvents,
  ): Attempt {
    this.started += 1;
    const attempt: Attempt = {
      request,
      prefill: place.prefill,
      decode: place.decode,
      priority,
      pieces: place.pieces ?? piecesFor(request.promptTokens + request.maxOutputTokens),
      order: this.started,
      startedAt: this.timeline.now,
      state: 'prefill_waiting',
      computedTokens: 0,
      cachedTokens: 0,
      remainingTokens: undefined,
      producedTokens: 0,
      firstTokenAt: undefined,
      lastTokenAt: undefined,
    };
    this.listeners.set(attempt, events);
    if (this.down.has(attempt.prefill))
      this.timeline.after(1, () => this.lose(attempt, 'engine_down'));
    else this.getPrefillOrThrow(attempt.prefill).add(attempt);
    return attempt;
  }

  /** Cancels an attempt on whichever engine has it; ended attempts are ignored. */
  cancel(attempt: Attempt): void {
    this.lose(attempt, 'cancelled');
  }

  private makePrefills(): readonly PrefillFake[] {
    const events = {
      ended: (attempt: Attempt) => this.prefillEnded(attempt),
      cache: (id: UpstreamId, digest: string, change: 'stored' | 'evicted') =>
        this.cacheListeners.forEach((listener) => listener(id, digest, change)),
    };
    return this.workload.engines
      .flatMap((cfg) => (cfg.role === 'prefill' ? Array<typeof cfg>(cfg.count).fill(cfg) : []))
      .map((cfg, index) => new PrefillFake(`prefill-${index}`, cfg, this.timeline, events));
  }

  private makeDecodes(): readonly DecodeFake[] {
    const events = {
      firstToken: (attempt: Attempt) => this.listeners.get(attempt)?.firstToken(attempt),
      whole: (attempt: Attempt) => this.end(attempt, 'whole'),
    };
    const transferMsPerPiece = MS_PER_SECOND / this.workload.linkPiecesPerSecond;
    return this.workload.engines
      .flatMap((cfg) => (cfg.role === 'decode' ? Array<typeof cfg>(cfg.count).fill(cfg) : []))
      .map(
        (cfg, index) =>
          new DecodeFake(`decode-${index}`, { ...cfg, transferMsPerPiece }, this.timeline, events),
      );
  }

  private prefillEnded(attempt: Attempt): void {
    const ended = attempt;
    ended.state = 'transfer_waiting';
    this.listeners.get(ended)?.prefillEnded(ended);
    if (ended.state !== 'transfer_waiting') return;
    if (this.down.has(ended.decode)) {
      this.lose(ended, 'engine_down');
      return;
    }
    const life = KV_LIFE_MS.least + this.random.next() * (KV_LIFE_MS.most - KV_LIFE_MS.least);
    this.timeline.after(life, () => {
      if (ended.state === 'transfer_waiting') this.lose(ended, 'evicted');
    });
    this.getDecodeOrThrow(ended.decode).add(ended);
  }

  private lose(attempt: Attempt, reason: LossReason): void {
    if (!this.listeners.has(attempt)) return;
    this.getPrefillOrThrow(attempt.prefill).remove(attempt);
    this.getDecodeOrThrow(attempt.decode).remove(attempt);
    this.end(attempt, reason);
  }

  private end(attempt: Attempt, how: 'whole' | LossReason): void {
    const ended = attempt;
    const events = this.listeners.get(ended);
    this.listeners.delete(ended);
    ended.state = how === 'whole' ? 'whole' : 'lost';
    this.totals.computed += ended.computedTokens;
    this.totals.cached += ended.cachedTokens;
    if (how === 'whole') {
      events?.whole(ended);
      return;
    }
    this.totals.wasted += ended.computedTokens;
    events?.lost(ended, how);
  }

  private strike(fault: Fault): void {
    fault.engines.forEach((id) => {
      const engine = id.startsWith('prefill')
        ? this.getPrefillOrThrow(id)
        : this.getDecodeOrThrow(id);
      switch (fault.type) {
        case 'slow':
          engine.setFactor(fault.factor);
          break;
        case 'up':
          engine.setFactor(1);
          this.down.delete(id);
          this.faultListeners.forEach((listener) => listener(id, true));
          break;
        case 'down':
          this.down.add(id);
          engine.clear().forEach((attempt) => this.lose(attempt, 'engine_down'));
          this.faultListeners.forEach((listener) => listener(id, false));
          break;
        default:
          fault.type satisfies never;
      }
    });
  }
}

function found<T>(engine: T | undefined, id: UpstreamId): T {
  if (engine === undefined) throw new Error(`The workload has no engine ${id}.`);
  return engine;
}
