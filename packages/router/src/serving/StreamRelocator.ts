import type {
  CancelTimer,
  Clock,
  EngineConfig,
  Millis,
  ModelId,
  PoolConfig,
  RandomSource,
  ReservationId,
  UpstreamId,
} from '@camphorvane/core';
import type { HeldMemory, Relocation, RunningStream } from '@camphorvane/decisions';
import {
  bindingTo,
  chooseBackup,
  heldByStream,
  mayNeedRelocation,
  RelocationPlanner,
} from '@camphorvane/decisions';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { Placer } from '../placing/Placer.ts';
import type { BackupCopy, RelocationLedger } from '../placing/RelocationLedger.ts';
import { EngineDepartures } from './EngineDepartures.ts';
import { StopOrders } from './StopOrders.ts';
import { StreamRelocation } from './StreamRelocation.ts';
import type { RelocatableStream, StreamBackup, StreamRequest } from './streamRequest.ts';

const log = eventLog('relocation');

/** Milliseconds between two passes; memory runs out within 400 ms of the first forecast that shows it. */
const PASS_PERIOD_MS: Millis = 100;

/** Engines of a pool that one pass considers as targets. */
const MAX_TARGETS = 64;

/** Mean fraction of its output that a copy holds; see `meanMemoryTokens`. */
const MEAN_OUTPUT_FRACTION = 0.75;

/** Milliseconds between two tokens that are assumed until they were measured. */
const DEFAULT_TOKEN_MS: Millis = 1;

/** Options of a {@link StreamRelocator}. */
export interface StreamRelocatorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: UpstreamDirectory;
  readonly placements: Placer;
  readonly metrics: Metrics;
  /** Milliseconds for which an engine that leaves takes requests. */
  readonly drainMs?: Millis | undefined;
}

interface DescribedStream {
  readonly stream: RelocatableStream;
  readonly running: RunningStream;
}

/** Keeps the running streams of this host alive on other engines, where that is switched on. */
export class StreamRelocator {
  private readonly options: StreamRelocatorOptions;

  private readonly planner: RelocationPlanner;

  private readonly streams = new Set<RelocatableStream>();

  private readonly stops = new StopOrders();

  private readonly departures: EngineDepartures;

  private cancelPass: CancelTimer | undefined;

  /** @param options - Components of the host. */
  constructor(options: StreamRelocatorOptions) {
    this.options = options;
    this.planner = new RelocationPlanner(options.random);
    this.departures = new EngineDepartures(options);
  }

  /**
   * Opens a stream that may go on at another engine.
   *
   * @param request - The stream.
   * @returns The stream; undefined where moves and backups are off, or the pool does not support them, unless an
   *   order may still stop it.
   */
  open(request: StreamRequest): StreamRelocation | undefined {
    const ledger = this.options.placements.relocation;
    const { pool } = request;
    const hasBackups = this.hasBackups(pool);
    const isWatched = this.hasMoves(pool) || hasBackups || this.stops.isOutstanding(request.id);
    if (ledger === undefined || !isWatched) return undefined;
    const backup = hasBackups ? this.placeBackup(request, ledger) : undefined;
    const { clock, metrics, placements } = this.options;
    const onClosed = (stream: RelocatableStream): void => this.remove(stream, ledger);
    const { stops, departures } = this;
    const deps = { clock, metrics, placements, ledger, stops, departures, onClosed };
    const stream = new StreamRelocation(request, backup, deps);
    this.streams.add(stream);
    this.schedulePass(ledger);
    return stream;
  }

  private hasMoves(pool: PoolConfig): boolean {
    return (
      this.options.directory.getOverloadPolicy().streamMoves && pool.relocation?.moves === true
    );
  }

  private hasBackups(pool: PoolConfig): boolean {
    const { streamBackups } = this.options.directory.getOverloadPolicy();
    return streamBackups && pool.relocation?.backups === true;
  }

  private placeBackup(request: StreamRequest, ledger: RelocationLedger): StreamBackup | undefined {
    const { id, pool, engine, command, isResumable, expectedTokens } = request;
    const { clock, directory, metrics, random } = this.options;
    const streams = this.streamsOf(pool.model);
    const promptTokens = command.prompt.tokens;
    const outputTokens = Math.min(command.maxTokens, expectedTokens ?? command.maxTokens);
    const prompts = streams.reduce((sum, one) => sum + one.request.command.prompt.tokens, 0);
    const chosen = chooseBackup(
      {
        ...{ engine: engine.cfg.id, promptTokens, expectedTokens: outputTokens, isResumable },
        binding: bindingTo(engine.cfg.softwareVersion),
      },
      {
        streams: streams.length,
        copies: streams.filter((one) => one.getBackup() !== undefined).length,
        meanPromptTokens: prompts / Math.max(1, streams.length),
      },
      ledger.engines(pool, [], clock.now()),
      random,
    );
    const entry = chosen === undefined ? undefined : directory.getEngine(chosen);
    if (entry === undefined) return undefined;
    const memoryTokens = promptTokens + outputTokens * MEAN_OUTPUT_FRACTION;
    ledger.adjustCopy(entry.cfg.id, memoryTokens);
    metrics.count('stream.backups', { outcome: 'placed' });
    log('stream_backup_placed', { id, engine: engine.cfg.id, backup: entry.cfg.id });
    return { entry, memoryTokens };
  }

  private remove(stream: RelocatableStream, ledger: RelocationLedger): void {
    this.streams.delete(stream);
    if (this.streams.size > 0) return;
    this.cancelPass?.();
    this.cancelPass = undefined;
    ledger.clear();
  }

  private schedulePass(ledger: RelocationLedger): void {
    this.cancelPass ??= this.options.clock.after(PASS_PERIOD_MS, () => {
      this.cancelPass = undefined;
      this.pass(ledger);
    });
  }

  /** Publishes what the streams hold, and starts the moves that are due. */
  private pass(ledger: RelocationLedger): void {
    const { streamMoves, streamBackups } = this.options.directory.getOverloadPolicy();
    this.departures.observe([...this.streams].flatMap(enginesOf));
    if (!streamMoves && !streamBackups) {
      ledger.clear();
      return;
    }
    const described = this.describeStreams();
    this.publish(described, ledger);
    new Set(described.map(({ stream }) => stream.request.pool.model)).forEach((model) =>
      this.planMoves(model, described, ledger),
    );
    this.schedulePass(ledger);
  }

  private describeStreams(): readonly DescribedStream[] {
    const now = this.options.clock.now();
    return [...this.streams].flatMap((stream) => {
      const running = stream.describe(now);
      return running === undefined ? [] : [{ stream, running }];
    });
  }

  private publish(streams: readonly DescribedStream[], ledger: RelocationLedger): void {
    const intervals = new Map(
      [...new Set(streams.map(({ stream }) => stream.request.pool))].map((pool) => [
        pool.model,
        ledger.tokenIntervals(pool),
      ]),
    );
    const described = streams.map(({ stream, running }) => {
      const { engine, heldTokens, remainingTokens } = running;
      const tokenMs = intervals.get(stream.request.pool.model)?.(engine) ?? DEFAULT_TOKEN_MS;
      return { stream, held: heldByStream(heldTokens, remainingTokens, tokenMs) };
    });
    const held = new Map<ReservationId, HeldMemory>(
      described.map(({ stream, held: memory }) => [stream.request.reservation, memory]),
    );
    const copies = described.flatMap(({ stream, held: memory }): readonly BackupCopy[] => {
      const backup = stream.getBackup();
      return backup === undefined ? [] : [{ engine: backup.entry.cfg.id, held: memory }];
    });
    ledger.publish(held, copies);
  }

  private planMoves(
    model: ModelId,
    described: readonly DescribedStream[],
    ledger: RelocationLedger,
  ): void {
    const pool = this.options.directory.getPool(model);
    if (pool === undefined || !this.hasMoves(pool)) return;
    const now = this.options.clock.now();
    const own = described.filter(({ stream }) => stream.request.pool.model === model);
    const streams = own.map(({ stream }) => stream);
    const running = own.map((one) => one.running);
    const unlisted = unlistedEngines(pool, streams);
    const used = new Set(running.map(({ engine }) => engine));
    const sources = ledger.engines(pool, unlisted, now, used);
    if (!sources.some((engine) => mayNeedRelocation(engine, running))) return;
    const view = {
      engines: ledger.engines(pool, unlisted, now, new Set([...used, ...this.sampleTargets(pool)])),
      streams: running,
      busySources: new Set(streams.flatMap((stream) => stream.getMoveSource()?.cfg.id ?? [])),
    };
    this.planner.plan(view, now).forEach((relocation) => this.start(relocation, streams));
  }

  /** Draws the engines that are considered as targets, so that a pass costs the same in a large pool. */
  private sampleTargets(pool: PoolConfig): readonly UpstreamId[] {
    const ids = pool.engines.map(({ id }) => id);
    if (ids.length <= MAX_TARGETS) return ids;
    const { random } = this.options;
    return Array.from({ length: MAX_TARGETS }, () => ids[random.int(0, ids.length - 1)] ?? '');
  }

  private start(relocation: Relocation, streams: readonly RelocatableStream[]): void {
    const target = this.options.directory.getEngine(relocation.to);
    const stream = streams.find(({ request }) => request.reservation === relocation.stream);
    if (target !== undefined) stream?.moveTo(target, relocation.reason);
  }

  private streamsOf(model: ModelId): readonly RelocatableStream[] {
    return [...this.streams].filter(({ request }) => request.pool.model === model);
  }
}

/** Gets the engines at which a stream may go on. */
function enginesOf(stream: RelocatableStream): readonly UpstreamId[] {
  const entries = [stream.getEngine(), stream.getMoveSource(), stream.getBackup()?.entry];
  return entries.flatMap((entry) => entry?.cfg.id ?? []);
}

/** Gets the engines of streams that are not, or no longer, decode engines of the pool. */
function unlistedEngines(
  pool: PoolConfig,
  streams: readonly RelocatableStream[],
): readonly EngineConfig[] {
  const listed = new Set(pool.engines.filter(({ role }) => role === 'decode').map(({ id }) => id));
  const unlisted = streams
    .map((stream) => stream.getEngine().cfg)
    .filter(({ id }) => !listed.has(id));
  return [...new Map(unlisted.map((cfg) => [cfg.id, cfg])).values()];
}
