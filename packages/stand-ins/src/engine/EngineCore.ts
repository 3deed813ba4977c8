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
import { CONNECTION_REFUSED, rejected } from './engineErrors.ts';
import type { EngineFaults } from './EngineFaults.ts';
import { NO_ENGINE_FAULTS } from './EngineFaults.ts';
import type { EngineSettings } from './EngineSettings.ts';
import { EventQueue } from './EventQueue.ts';
import type { ExecutionRecord } from './ExecutionRecord.ts';
import type { KvCache } from './KvStore.ts';
import { KvStore } from './KvStore.ts';
import { PrefixCache } from './PrefixCache.ts';
import type { CacheEventBatch } from './PrefixCache.ts';
import { SerialTaskQueue } from './SerialTaskQueue.ts';
import { waitOrAbort, sharedAbortController } from './waitOrAbort.ts';
import type { WaitResult } from './waitOrAbort.ts';

/** Fetches a KV cache from another engine; undefined if evicted or the engine is unreachable. */
export type KvFetcher = (sourceUrl: string, handle: string) => Promise<KvCache | undefined>;

type Outcome<T> = Result<T, UpstreamError>;

/**
 * An in-memory model engine for tests: follows the engine protocol, injects the faults of real
 * engines, and records everything it started.
 */
export class EngineCore implements ModelEngine {
  /** Commands that this engine started, oldest first. */
  readonly records: ExecutionRecord[] = [];

  private faultState: EngineFaults = NO_ENGINE_FAULTS;

  private role: EngineRole;

  private fence = 0;

  private readonly ordersTaken: EngineOrder[] = [];

  private crashController = sharedAbortController();

  private readonly kv: KvStore;

  private readonly batch: DecodeBatch;

  private readonly prefixCache: PrefixCache;

  private readonly prefillQueue = new SerialTaskQueue();

  private readonly linkQueue = new SerialTaskQueue();

  private readonly inflight = new Map<AttemptId, AbortController>();

  private loadReports: readonly { readonly at: Millis; readonly load: LoadReport }[] = [];

  /**
   * @param settings - Behavior of the engine without faults.
   * @param clock - Clock for all delays and timestamps.
   * @param source - Fetches KV caches from other engines.
   */
  constructor(
    private readonly settings: EngineSettings,
    private readonly clock: Clock,
    private readonly source: KvFetcher,
  ) {
    this.role = settings.role;
    this.kv = new KvStore(clock);
    this.prefixCache = new PrefixCache(settings, clock);
    this.batch = new DecodeBatch(clock, {
      stepMs: (streams) => this.stepMs(streams),
      isStalled: () => this.faultState.silent,
      onFinished: (stream) => this.kv.drop(stream.entry.handle),
    });
  }

  /** Gets the ID of the engine. */
  get id(): UpstreamId {
    return this.settings.id;
  }

  /** Gets the orders that the engine accepted, oldest first. */
  get orders(): readonly EngineOrder[] {
    return this.ordersTaken;
  }

  /** Gets the injected faults. */
  get faults(): EngineFaults {
    return this.faultState;
  }

  /** Changes the given faults and leaves the others unchanged. */
  setFaults(change: Partial<EngineFaults>): void {
    this.faultState = { ...this.faultState, ...change };
  }

  /** Fails all running commands and clears all memory; restarts after `restartMs`, if set. */
  crash(): void {
    this.crashController.abort();
    this.crashController = sharedAbortController();
    this.batch.failAll('engine crashed');
    this.kv.clear();
    this.prefixCache.clear();
    this.setFaults({ down: true, silent: false });
    const { restartMs } = this.settings;
    if (restartMs !== undefined) this.clock.after(restartMs, () => this.setFaults({ down: false }));
  }

  /** Gets the current load, without the reporting lag of {@link load}. */
  currentLoad(): LoadReport {
    return {
      role: this.role,
      usedPieces: this.kv.usedPieces(),
      memoryPieces: this.settings.memoryPieces,
      running: this.batch.size(),
      waiting: this.prefillQueue.queuedCount() + this.linkQueue.queuedCount(),
      attempts: this.kv.attempts(),
    };
  }

  /** Runs the prefill of a prompt. */
  prefill(cmd: PrefillCommand, signal: AbortSignal): ResultAsync<PrefillResult, UpstreamError> {
    return this.runCancellable(cmd.attempt, signal, (combined) =>
      this.prefillQueue.run(cmd.priority, () => this.runPrefill(cmd, combined)),
    );
  }

  /** Fetches a KV cache into this engine. */
  transfer(cmd: TransferCommand, signal: AbortSignal): ResultAsync<void, UpstreamError> {
    return this.runCancellable(cmd.attempt, signal, (combined) => this.runTransfer(cmd, combined));
  }

  /** Streams output from an imported KV cache. */
  decode(cmd: DecodeCommand, signal: AbortSignal): AsyncIterable<Outcome<DecodeEvent>> {
    const streamRef: { stream?: DecodeStream } = {};
    const stop = (): void => {
      if (streamRef.stream === undefined) return;
      this.batch.remove(streamRef.stream);
      this.kv.drop(streamRef.stream.entry.handle);
    };
    const queue = new EventQueue<Outcome<DecodeEvent>>(stop);
    const fail = (error: UpstreamError): AsyncIterable<Outcome<DecodeEvent>> => {
      queue.push(err(error));
      queue.end();
      return queue;
    };
    if (this.faultState.down) return fail(CONNECTION_REFUSED);
    const entry = cmd.kvHandle === undefined ? undefined : this.kv.get(cmd.kvHandle);
    if (entry === undefined) return fail(rejected(`no KV cache ${cmd.kvHandle}`));
    this.record('decode', cmd.attempt, entry.cache.prompt, 0);
    streamRef.stream = { cmd, entry, queue };
    signal.addEventListener('abort', stop, { once: true });
    this.injectForeignToken(cmd, queue);
    this.batch.add(streamRef.stream);
    this.crashIfPoisoned(entry.cache.prompt);
    return queue;
  }

  /** Aborts the commands of an attempt and frees its memory on this engine. */
  cancel(attempt: AttemptId): ResultAsync<void, UpstreamError> {
    if (this.faultState.down) return new ResultAsync(Promise.resolve(err(CONNECTION_REFUSED)));
    this.inflight.get(attempt)?.abort();
    this.batch.streamsOf(attempt).forEach((stream) => {
      this.batch.remove(stream);
      this.kv.drop(stream.entry.handle);
    });
    this.kv.dropAttempt(attempt);
    return new ResultAsync(Promise.resolve(ok(undefined)));
  }

  /** Reads the load of about `reportLagMs` ago, or one without work if there is none that old. */
  load(): ResultAsync<LoadReport, UpstreamError> {
    if (this.faultState.down) return new ResultAsync(Promise.resolve(err(CONNECTION_REFUSED)));
    const now = this.clock.now();
    this.loadReports = [...this.loadReports, { at: now, load: this.currentLoad() }];
    const due = this.loadReports.filter((report) => report.at <= now - this.settings.reportLagMs);
    this.loadReports = this.loadReports.slice(Math.max(0, due.length - 1));
    const shown = due.at(-1)?.load ?? {
      ...this.currentLoad(),
      usedPieces: 0,
      running: 0,
      waiting: 0,
      attempts: [],
    };
    return new ResultAsync(Promise.resolve(ok(shown)));
  }

  /** Applies an order; rejects a stale fencing token if this engine checks fencing. */
  order(order: EngineOrder): ResultAsync<void, UpstreamError> {
    if (this.faultState.down) return new ResultAsync(Promise.resolve(err(CONNECTION_REFUSED)));
    if (this.settings.checksFencing && order.fence < this.fence) {
      return new ResultAsync(Promise.resolve(err(rejected(`fence ${order.fence} is stale`))));
    }
    this.fence = Math.max(this.fence, order.fence);
    this.ordersTaken.push(order);
    if (order.type === 'role') this.role = order.role;
    return new ResultAsync(Promise.resolve(ok(undefined)));
  }

  /** Reads prefix cache events, which are delayed and have gaps. */
  cacheEvents(after: number): CacheEventBatch {
    return this.prefixCache.eventsAfter(after);
  }

  /** Gets a KV cache for transfer to another engine; undefined if it is not stored here. */
  exportKv(handle: string): KvCache | undefined {
    return this.faultState.down ? undefined : this.kv.get(handle)?.cache;
  }

  private async runPrefill(
    cmd: PrefillCommand,
    signal: AbortSignal,
  ): Promise<Outcome<PrefillResult>> {
    if (signal.aborted) return this.interruptionError(signal, false);
    const prompt = getPromptText(cmd.prompt);
    if (prompt === undefined) return err(rejected('this engine accepts text prompts only'));
    const promptTokens = estimateTokens(prompt + cmd.continuation);
    const cachedTokens = this.prefixCache.lookUpAndStore(prompt);
    const computed = Math.max(1, promptTokens - cachedTokens);
    this.record('prefill', cmd.attempt, prompt, computed);
    if (this.crashIfPoisoned(prompt)) return err(this.crashError());
    const computeMs = this.settings.prefillOverheadMs + computed * this.settings.prefillMsPerToken;
    const waitResult = await this.waitWithFaults(this.scaleDuration(computeMs), signal);
    if (waitResult !== 'elapsed') return this.interruptionError(signal, true);
    const kvHandle = `${this.id}/${cmd.attempt}`;
    const pieces = piecesFor(promptTokens);
    const cache = { prompt, continuation: cmd.continuation, pieces };
    this.kv.put({ handle: kvHandle, attempt: cmd.attempt, cache, pieces }, this.settings.kvTtlMs);
    return ok({ attempt: cmd.attempt, kvHandle, promptTokens, cachedTokens });
  }

  private async runTransfer(cmd: TransferCommand, signal: AbortSignal): Promise<Outcome<void>> {
    if (this.kv.usedPieces() + cmd.pieces > this.settings.memoryPieces) {
      return err(rejected('not enough memory for the KV cache'));
    }
    const cache = await this.source(cmd.sourceUrl, cmd.kvHandle);
    if (cache === undefined) return err(rejected(`KV cache ${cmd.kvHandle} is unavailable`));
    const { attempt, pieces, kvHandle } = cmd;
    this.kv.put({ handle: kvHandle, attempt, cache, pieces });
    this.record('transfer', attempt, cache.prompt, 0);
    const waitResult = await this.linkQueue.run(0, () => this.fetchOverLink(cache, signal));
    if (waitResult === 'elapsed') return ok(undefined);
    this.kv.drop(kvHandle);
    return this.interruptionError(signal, true);
  }

  private fetchOverLink(cache: KvCache, signal: AbortSignal): Promise<WaitResult> {
    const { stalledTransfers } = this.faultState;
    if (stalledTransfers > 0) {
      this.setFaults({ stalledTransfers: stalledTransfers - 1 });
      return waitOrAbort(this.clock, undefined, signal);
    }
    const millis = (cache.pieces / this.settings.linkPiecesPerSecond) * 1000;
    return this.waitWithFaults(millis * this.faultState.slowFactor, signal);
  }

  /** Injects a token of another attempt at the start of a stream, as a late answer would. */
  private injectForeignToken(cmd: DecodeCommand, queue: EventQueue<Outcome<DecodeEvent>>): void {
    const { crossedStreams } = this.faultState;
    if (crossedStreams === 0) return;
    this.setFaults({ crossedStreams: crossedStreams - 1 });
    const foreignRecord = this.records.find((record) => record.attempt !== cmd.attempt);
    const attempt = foreignRecord?.attempt ?? 'attempt-of-a-stranger';
    const text = answerToken(foreignRecord?.text ?? 'prompt of a stranger', cmd.fromPosition);
    queue.push(ok({ type: 'token', attempt, position: cmd.fromPosition, text }));
  }

  private crashIfPoisoned(prompt: string): boolean {
    const { poison } = this.faultState;
    if (poison === undefined || !prompt.includes(poison)) return false;
    this.crash();
    return true;
  }

  private runCancellable<T>(
    attempt: AttemptId,
    signal: AbortSignal,
    run: (combined: AbortSignal) => Promise<Outcome<T>>,
  ): ResultAsync<T, UpstreamError> {
    if (this.faultState.down) return new ResultAsync(Promise.resolve(err(CONNECTION_REFUSED)));
    const controller = new AbortController();
    this.inflight.set(attempt, controller);
    const combined = AbortSignal.any([signal, controller.signal, this.crashController.signal]);
    const done = run(combined).finally(() => {
      if (this.inflight.get(attempt) === controller) this.inflight.delete(attempt);
    });
    return new ResultAsync(done);
  }

  private async waitWithFaults(millis: Millis, signal: AbortSignal): Promise<WaitResult> {
    const waited = await waitOrAbort(this.clock, millis + this.faultState.delayMs, signal);
    if (waited === 'elapsed' && this.faultState.silent) {
      return waitOrAbort(this.clock, undefined, signal);
    }
    return waited;
  }

  private interruptionError(signal: AbortSignal, dispatched: boolean): Outcome<never> {
    if (this.faultState.down) return err(this.crashError());
    return err({ type: 'cancelled', dispatched, message: String(signal.reason ?? 'cancelled') });
  }

  private crashError(): UpstreamError {
    return { type: 'broken', dispatched: true, message: `${this.id} crashed` };
  }

  private stepMs(streams: number): Millis {
    const { decodeBaseMs, decodePerStreamMs } = this.settings;
    return this.scaleDuration(decodeBaseMs + decodePerStreamMs * streams);
  }

  private scaleDuration(millis: Millis): Millis {
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
