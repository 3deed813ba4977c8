import { estimateTokens, piecesFor, getPromptText } from '@camphorvane/core';
import { err, ok, ResultAsync } from 'neverthrow';
import type {
  AttemptId,
  Clock,
  EngineRole,
  LoadReport,
  Millis,
  UpstreamId,
} from '@camphorvane/core';
import type {
  DecodeCommand,
  DecodeEvent,
  EngineOrder,
  ModelEngine,
  PrefillCommand,
  PrefillResult,
  TransferCommand,
  UpstreamError,
} from '@camphorvane/upstream';
import type { Result } from 'neverthrow';
import { answerToken } from './answer.ts';
import { DecodeBatch } from './DecodeBatch.ts';
import type { DecodeStream } from './DecodeBatch.ts';
import { REFUSED, rejected } from './engineErrors.ts';
import type { EngineFaults } from './EngineFaults.ts';
import { NO_ENGINE_FAULTS } from './EngineFaults.ts';
import type { EngineSettings } from './EngineSettings.ts';
import { EventQueue } from './EventQueue.ts';
import type { ExecutionRecord } from './ExecutionRecord.ts';
import type { KvCache } from './KvStore.ts';
import { KvStore } from './KvStore.ts';
import { PrefixCache } from './PrefixCache.ts';
import type { CacheEventBatch } from './PrefixCache.ts';
import { SerialLane } from './SerialLane.ts';
import { interruptible, manyListeners } from './interruptible.ts';
import type { Waited } from './interruptible.ts';

/** Reads the KV cache of another engine; undefined where it is gone or the engine is away. */
export type KvSource = (sourceUrl: string, handle: string) => Promise<KvCache | undefined>;

type Outcome<T> = Result<T, UpstreamError>;

/**
 * A stand-in engine without sockets: it keeps the promises and has the faults of the engines that
 * the system meets, and records all that it ran.
 */
export class EngineCore implements ModelEngine {
  /** Everything that this engine started to run. */
  readonly records: ExecutionRecord[] = [];

  private faultState: EngineFaults = NO_ENGINE_FAULTS;

  private role: EngineRole;

  private fence = 0;

  private readonly ordersTaken: EngineOrder[] = [];

  private life = manyListeners();

  private readonly kv: KvStore;

  private readonly batch: DecodeBatch;

  private readonly cache: PrefixCache;

  private readonly prefills = new SerialLane();

  private readonly link = new SerialLane();

  private readonly inflight = new Map<AttemptId, AbortController>();

  private reports: readonly { readonly at: Millis; readonly load: LoadReport }[] = [];

  /**
   * @param settings - How the engine behaves while healthy.
   * @param clock - The time it lives in.
   * @param source - Where it fetches KV caches from.
   */
  constructor(
    private readonly settings: EngineSettings,
    private readonly clock: Clock,
    private readonly source: KvSource,
  ) {
    this.role = settings.role;
    this.kv = new KvStore(clock);
    this.cache = new PrefixCache(settings, clock);
    this.batch = new DecodeBatch(clock, {
      stepMs: (streams) => this.stepMs(streams),
      isStopped: () => this.faultState.silent,
      finished: (stream) => this.kv.drop(stream.entry.handle),
    });
  }

  /** Gets the engine's name. */
  get id(): UpstreamId {
    return this.settings.id;
  }

  /** Gets the orders that the engine took, oldest first. */
  get orders(): readonly EngineOrder[] {
    return this.ordersTaken;
  }

  /** Gets what is wrong with the engine. */
  get faults(): EngineFaults {
    return this.faultState;
  }

  /** Changes what is wrong with the engine; what is not named stays as it is. */
  setFaults(change: Partial<EngineFaults>): void {
    this.faultState = { ...this.faultState, ...change };
  }

  /** Breaks all that runs and forgets all memory; the engine comes back after its restart time. */
  crash(): void {
    this.life.abort();
    this.life = manyListeners();
    this.batch.breakAll('engine crashed');
    this.kv.clear();
    this.cache.clear();
    this.setFaults({ down: true, silent: false });
    const { restartMs } = this.settings;
    if (restartMs !== undefined) this.clock.after(restartMs, () => this.setFaults({ down: false }));
  }

  /** Gets the true load, without the lag of {@link load}. */
  currentLoad(): LoadReport {
    return {
      role: this.role,
      usedPieces: this.kv.usedPieces(),
      memoryPieces: this.settings.memoryPieces,
      running: this.batch.size(),
      waiting: this.prefills.waiting() + this.link.waiting(),
      attempts: this.kv.attempts(),
    };
  }

  /** Runs a prompt. */
  prefill(cmd: PrefillCommand, signal: AbortSignal): ResultAsync<PrefillResult, UpstreamError> {
    return this.tracked(cmd.attempt, signal, (both) =>
      this.prefills.run(cmd.priority, () => this.runPrefill(cmd, both)),
    );
  }

  /** Fetches a KV cache into this engine. */
  transfer(cmd: TransferCommand, signal: AbortSignal): ResultAsync<void, UpstreamError> {
    return this.tracked(cmd.attempt, signal, (both) => this.runTransfer(cmd, both));
  }

  /** Streams output from an imported KV cache. */
  decode(cmd: DecodeCommand, signal: AbortSignal): AsyncIterable<Outcome<DecodeEvent>> {
    const cell: { stream?: DecodeStream } = {};
    const stop = (): void => {
      if (cell.stream === undefined) return;
      this.batch.remove(cell.stream);
      this.kv.drop(cell.stream.entry.handle);
    };
    const queue = new EventQueue<Outcome<DecodeEvent>>(stop);
    const fail = (error: UpstreamError): AsyncIterable<Outcome<DecodeEvent>> => {
      queue.push(err(error));
      queue.end();
      return queue;
    };
    if (this.faultState.down) return fail(REFUSED);
    const entry = cmd.kvHandle === undefined ? undefined : this.kv.get(cmd.kvHandle);
    if (entry === undefined) return fail(rejected(`no KV cache ${cmd.kvHandle}`));
    this.record('decode', cmd.attempt, entry.cache.prompt, 0);
    cell.stream = { cmd, entry, queue };
    signal.addEventListener('abort', stop, { once: true });
    this.cross(cmd, queue);
    this.batch.add(cell.stream);
    this.crashOnPoison(entry.cache.prompt);
    return queue;
  }

  /** Frees whatever an attempt holds on this engine. */
  cancel(attempt: AttemptId): ResultAsync<void, UpstreamError> {
    if (this.faultState.down) return new ResultAsync(Promise.resolve(err(REFUSED)));
    this.inflight.get(attempt)?.abort();
    this.batch.find(attempt).forEach((stream) => {
      this.batch.remove(stream);
      this.kv.drop(stream.entry.handle);
    });
    this.kv.dropAttempt(attempt);
    return new ResultAsync(Promise.resolve(ok(undefined)));
  }

  /** Reads the load as it was about `reportLagMs` ago. */
  load(): ResultAsync<LoadReport, UpstreamError> {
    if (this.faultState.down) return new ResultAsync(Promise.resolve(err(REFUSED)));
    const now = this.clock.now();
    this.reports = [...this.reports, { at: now, load: this.currentLoad() }];
    const due = this.reports.filter((report) => report.at <= now - this.settings.reportLagMs);
    this.reports = this.reports.slice(Math.max(0, due.length - 1));
    const shown = due.at(-1)?.load ?? {
      ...this.currentLoad(),
      usedPieces: 0,
      running: 0,
      waiting: 0,
      attempts: [],
    };
    return new ResultAsync(Promise.resolve(ok(shown)));
  }

  /** Takes an order, unless its fencing number is old and this engine checks that. */
  order(order: EngineOrder): ResultAsync<void, UpstreamError> {
    if (this.faultState.down) return new ResultAsync(Promise.resolve(err(REFUSED)));
    if (this.settings.checksFencing && order.fence < this.fence) {
      return new ResultAsync(Promise.resolve(err(rejected(`fence ${order.fence} is old`))));
    }
    this.fence = Math.max(this.fence, order.fence);
    this.ordersTaken.push(order);
    if (order.type === 'role') this.role = order.role;
    return new ResultAsync(Promise.resolve(ok(undefined)));
  }

  /** Reads cache events, which come late and with gaps. */
  cacheEvents(after: number): CacheEventBatch {
    return this.cache.read(after);
  }

  /** Gets a KV cache for another engine. */
  exportKv(handle: string): KvCache | undefined {
    return this.faultState.down ? undefined : this.kv.get(handle)?.cache;
  }

  private async runPrefill(
    cmd: PrefillCommand,
    signal: AbortSignal,
  ): Promise<Outcome<PrefillResult>> {
    if (signal.aborted) return this.interrupted(signal, false);
    const prompt = getPromptText(cmd.prompt);
    if (prompt === undefined) return err(rejected('this engine takes text'));
    const promptTokens = estimateTokens(prompt + cmd.continuation);
    const cachedTokens = this.cache.use(prompt);
    const computed = Math.max(1, promptTokens - cachedTokens);
    this.record('prefill', cmd.attempt, prompt, computed);
    if (this.crashOnPoison(prompt)) return err(this.broken());
    const work = this.settings.prefillOverheadMs + computed * this.settings.prefillMsPerToken;
    const took = await this.pause(this.heated(work), signal);
    if (took !== 'elapsed') return this.interrupted(signal, true);
    const kvHandle = `${this.id}/${cmd.attempt}`;
    const pieces = piecesFor(promptTokens);
    const cache = { prompt, continuation: cmd.continuation, pieces };
    this.kv.put({ handle: kvHandle, attempt: cmd.attempt, cache, pieces }, this.settings.kvLifeMs);
    return ok({ attempt: cmd.attempt, kvHandle, promptTokens, cachedTokens });
  }

  private async runTransfer(cmd: TransferCommand, signal: AbortSignal): Promise<Outcome<void>> {
    if (this.kv.usedPieces() + cmd.pieces > this.settings.memoryPieces) {
      return err(rejected('no memory for the KV cache'));
    }
    const cache = await this.source(cmd.sourceUrl, cmd.kvHandle);
    if (cache === undefined) return err(rejected(`KV cache ${cmd.kvHandle} is gone`));
    const { attempt, pieces, kvHandle } = cmd;
    this.kv.put({ handle: kvHandle, attempt, cache, pieces });
    this.record('transfer', attempt, cache.prompt, 0);
    const took = await this.link.run(0, () => this.fetchOverLink(cache, signal));
    if (took === 'elapsed') return ok(undefined);
    this.kv.drop(kvHandle);
    return this.interrupted(signal, true);
  }

  private fetchOverLink(cache: KvCache, signal: AbortSignal): Promise<Waited> {
    const { stalledTransfers } = this.faultState;
    if (stalledTransfers > 0) {
      this.setFaults({ stalledTransfers: stalledTransfers - 1 });
      return interruptible(this.clock, undefined, signal);
    }
    const millis = (cache.pieces / this.settings.linkPiecesPerSecond) * 1000;
    return this.pause(millis * this.faultState.slowFactor, signal);
  }

  /** Starts the stream with a token of an earlier attempt, as an answer that comes late does. */
  private cross(cmd: DecodeCommand, queue: EventQueue<Outcome<DecodeEvent>>): void {
    const { crossedStreams } = this.faultState;
    if (crossedStreams === 0) return;
    this.setFaults({ crossedStreams: crossedStreams - 1 });
    const stranger = this.records.find((record) => record.attempt !== cmd.attempt);
    const attempt = stranger?.attempt ?? 'attempt-of-a-stranger';
    const text = answerToken(stranger?.text ?? 'prompt of a stranger', cmd.fromPosition);
    queue.push(ok({ type: 'token', attempt, position: cmd.fromPosition, text }));
  }

  private crashOnPoison(prompt: string): boolean {
    const { poison } = this.faultState;
    if (poison === undefined || !prompt.includes(poison)) return false;
    this.crash();
    return true;
  }

  private tracked<T>(
    attempt: AttemptId,
    signal: AbortSignal,
    run: (both: AbortSignal) => Promise<Outcome<T>>,
  ): ResultAsync<T, UpstreamError> {
    if (this.faultState.down) return new ResultAsync(Promise.resolve(err(REFUSED)));
    const own = new AbortController();
    this.inflight.set(attempt, own);
    const both = AbortSignal.any([signal, own.signal, this.life.signal]);
    const done = run(both).finally(() => {
      if (this.inflight.get(attempt) === own) this.inflight.delete(attempt);
    });
    return new ResultAsync(done);
  }

  private async pause(millis: Millis, signal: AbortSignal): Promise<Waited> {
    const waited = await interruptible(this.clock, millis + this.faultState.delayMs, signal);
    if (waited === 'elapsed' && this.faultState.silent) {
      return interruptible(this.clock, undefined, signal);
    }
    return waited;
  }

  private interrupted(signal: AbortSignal, dispatched: boolean): Outcome<never> {
    if (this.faultState.down) return err(this.broken());
    return err({ type: 'cancelled', dispatched, message: String(signal.reason ?? 'cancelled') });
  }

  private broken(): UpstreamError {
    return { type: 'broken', dispatched: true, message: `${this.id} crashed` };
  }

  private stepMs(streams: number): Millis {
    const { decodeBaseMs, decodePerStreamMs } = this.settings;
    return this.heated(decodeBaseMs + decodePerStreamMs * streams);
  }

  private heated(millis: Millis): Millis {
    return (millis * this.faultState.slowFactor) / this.faultState.capacity;
  }

  private record(
    kind: ExecutionRecord['kind'],
    attempt: AttemptId,
    text: string,
    computedTokens: number,
  ): void {
    const at = this.clock.now();
    this.records.push({ upstream: this.id, kind, attempt, text, at, headers: {}, computedTokens });
  }
}
