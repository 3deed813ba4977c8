import type { Millis } from '@camphorvane/core';
import type { RelocationReason, RunningStream } from '@camphorvane/decisions';
import { bindingTo } from '@camphorvane/decisions';
import type { DecodeEvent, UpstreamError } from '@camphorvane/upstream';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EngineEntry } from '../host/UpstreamDirectory.ts';
import { eventsMissing, streamTruncated } from './attemptEnds.ts';
import { EngineRun } from './EngineRun.ts';
import { EventBuffer } from './EventBuffer.ts';
import { EventOrder } from './EventOrder.ts';
import { EventSpeed } from './EventSpeed.ts';
import { expectedRemainingTokens, MIN_REMAINING_EVENTS } from './expectedRemainingTokens.ts';
import { MoveExecution } from './MoveExecution.ts';
import type { EndedMove, KvOrigin, MovingStream } from './MoveExecution.ts';
import { RelocationRecord } from './RelocationRecord.ts';
import type { StopOutcome } from './StopOrders.ts';
import { StreamHolding } from './StreamHolding.ts';
import { StreamEnds } from './StreamEnds.ts';
import type { DoneEvent } from './StreamEnds.ts';
import type {
  RelocatableStream,
  StreamBackup,
  StreamDependencies,
  StreamRequest,
} from './streamRequest.ts';

/** Milliseconds after a move, or a failed one, in which the stream is not moved again. */
const MOVE_BACKOFF_MS: Millis = 1_000;

type PositionedEvent = Extract<DecodeEvent, { readonly position: number }>;

/**
 * A stream that can go on at another engine without its consumer noticing.
 *
 * Reads the stream of one engine at a time, and passes on each event once and in order: after a switch,
 * events are filtered by their position, since the next engine may repeat some.
 */
export class StreamRelocation implements RelocatableStream, MovingStream {
  readonly request: StreamRequest;

  private readonly deps: StreamDependencies;

  private readonly buffer = new EventBuffer<Result<DecodeEvent, UpstreamError>>();

  private run: EngineRun | undefined;

  private readonly holding: StreamHolding;

  /** The move that is under way. */
  private move: MoveExecution | undefined;

  private readonly order = new EventOrder();

  private readonly ends: StreamEnds;

  private hasHead = false;

  private isClosed = false;

  private readonly speed = new EventSpeed();

  private startedAt: Millis = 0;

  private pinnedUntil: Millis = 0;

  /** Why the engine was lost; passed on if no other engine takes the stream. */
  private error: UpstreamError = streamTruncated();

  /**
   * @param request - The stream.
   * @param backup - Engine that receives a copy of it; undefined for none.
   * @param deps - Components of the host.
   */
  constructor(request: StreamRequest, backup: StreamBackup | undefined, deps: StreamDependencies) {
    this.request = request;
    this.deps = deps;
    const { id, command, reservation } = request;
    const { clock, ledger, stops } = deps;
    this.holding = new StreamHolding(request.engine, backup, { reservation, ledger, clock });
    this.ends = new StreamEnds({ id, until: command.prompt.call.deadlineAt, clock, stops });
  }

  /** Decodes the stream; the iteration ends after `done`, a complete answer or an error. */
  async *events(): AsyncGenerator<Result<DecodeEvent, UpstreamError>> {
    const { signal, engine, command } = this.request;
    const stop = (): void => {
      this.finish(err({ type: 'cancelled', dispatched: true, message: 'cancelled' }));
    };
    signal.addEventListener('abort', stop, { once: true });
    if (signal.aborted) stop();
    else this.startRun(engine, command);
    try {
      let event = await this.buffer.take();
      while (event !== undefined) {
        yield event;
        event = await this.buffer.take();
      }
    } finally {
      signal.removeEventListener('abort', stop);
      this.close();
    }
  }

  /** {@inheritDoc RelocatableStream.getEngine} */
  getEngine(): EngineEntry {
    return this.holding.getEngine();
  }

  /** {@inheritDoc RelocatableStream.getMoveSource} */
  getMoveSource(): EngineEntry | undefined {
    return this.move?.getSource();
  }

  /** {@inheritDoc RelocatableStream.getBackup} */
  getBackup(): StreamBackup | undefined {
    return this.holding.getBackup();
  }

  /** {@inheritDoc RelocatableStream.describe} */
  describe(now: Millis): RunningStream | undefined {
    if (!this.order.hasBegun() || this.isClosed) return undefined;
    const { reservation, command, longestPauseMs } = this.request;
    const generatedTokens = this.generatedTokens();
    return {
      id: reservation,
      engine: this.getEngine().cfg.id,
      startedAt: this.startedAt,
      longestPauseMs,
      heldTokens: command.prompt.tokens + generatedTokens,
      remainingTokens: expectedRemainingTokens(this.request, generatedTokens),
      priority: command.priority,
      eventMs: this.speed.getMeanMs(),
      binding: bindingTo(this.request.engine.cfg.softwareVersion),
      isPinned: this.move !== undefined || !this.order.isSound() || now < this.pinnedUntil,
    };
  }

  /** {@inheritDoc RelocatableStream.moveTo} */
  moveTo(target: EngineEntry, reason: RelocationReason): void {
    if (this.move !== undefined || this.run === undefined) return;
    // An order that was sent to the target before would stop the run there.
    if (this.deps.stops.isOutstanding(this.request.id, target.cfg.id)) return;
    if (!this.request.retries.tryRun(this.getEngine().cfg.id)) return;
    this.beginMove(target, reason).startCopy();
  }

  /**
   * Goes on at another engine after the present one was found unresponsive.
   *
   * @param error - How the engine failed.
   * @returns False where no other engine has the KV cache.
   */
  leaveLostEngine(error: UpstreamError): boolean {
    this.request.guard.recordFailure(this.getEngine().cfg.id, error);
    if (this.move?.getStep() !== 'resuming') return this.resumeFromBackup(error);
    this.receiveFailure(error);
    return true;
  }

  /** {@inheritDoc MovingStream.getPosition} */
  getPosition(): number {
    return this.order.getNext();
  }

  /** {@inheritDoc MovingStream.isNearEnd} */
  isNearEnd(): boolean {
    const remaining = expectedRemainingTokens(this.request, this.generatedTokens());
    return remaining <= MIN_REMAINING_EVENTS * (this.getEngine().cfg.eventTokens ?? 1);
  }

  /** {@inheritDoc MovingStream.beginStop} */
  beginStop(): (outcome: StopOutcome) => void {
    const { run } = this;
    if (run === undefined) return () => undefined;
    return this.ends.beginStop(run, (event) => {
      if (run === this.run) this.complete(event);
    });
  }

  /** {@inheritDoc MovingStream.closeRun} */
  closeRun(): void {
    this.run?.abort();
    this.run = undefined;
  }

  /** {@inheritDoc MovingStream.resumeAt} */
  resumeAt(entry: EngineEntry, origin: KvOrigin): void {
    if (entry !== this.getEngine()) this.holding.moveTo(entry);
    if (entry === this.getBackup()?.entry) this.holding.dropBackup();
    this.request.retries.recordRun();
    this.order.recordSwitch();
    this.speed.reset();
    const fromPosition = this.getPosition();
    this.startRun(entry, { ...this.request.command, ...origin, fromPosition });
  }

  /** {@inheritDoc MovingStream.endMove} */
  endMove(move: EndedMove): void {
    const source = this.move?.getSource();
    this.move = undefined;
    this.buffer.setBounded(true);
    this.pinnedUntil = this.deps.clock.now() + MOVE_BACKOFF_MS;
    if (move.step === 'moved') return;
    if (source !== undefined && source !== this.getEngine()) this.holding.moveTo(source);
    if (!move.isAlive && !this.resumeFromBackup(this.error)) this.finish(err(this.error));
  }

  private resumeFromBackup(error: UpstreamError): boolean {
    const target = this.getBackup()?.entry;
    const isComplete = this.order.hasBegun() && this.order.isSound();
    const canResume = isComplete && !this.request.guard.isBlocked();
    if (target === undefined || this.move !== undefined || !canResume || this.isClosed)
      return false;
    if (!this.deps.departures.mayGoOnAt(target.cfg.id)) return false;
    if (!this.request.retries.tryRun(this.getEngine().cfg.id)) return false;
    this.error = error;
    this.deps.placements.attemptFailed(this.getEngine().cfg.id, error);
    this.beginMove(target, 'lost').startFromBackup();
    return true;
  }

  /** Begins a move; the reservation follows at once, since the target's memory is used from now on. */
  private beginMove(target: EngineEntry, reason: RelocationReason | 'lost'): MoveExecution {
    const { id, command } = this.request;
    const source = this.getEngine();
    const subject = { id, from: source.cfg.id, to: target.cfg.id, reason };
    const record = new RelocationRecord(this.deps, { ...subject, position: this.getPosition() });
    const plan = { deps: this.deps, prompt: command.prompt, source, target, record, stream: this };
    this.move = new MoveExecution(plan);
    this.holding.moveTo(target);
    this.buffer.setBounded(false);
    return this.move;
  }

  private startRun(entry: EngineEntry, command: StreamRequest['command']): void {
    const backupUrl = this.getBackup()?.entry.cfg.url;
    const run = new EngineRun(entry, backupUrl === undefined ? command : { ...command, backupUrl });
    this.run = run;
    run.start(
      (event) => this.receive(run, event),
      () => this.waitForRoom(),
    );
  }

  private async waitForRoom(): Promise<void> {
    const from = this.deps.clock.now();
    await this.buffer.waitForRoom();
    this.speed.recordWait(this.deps.clock.now() - from);
  }

  private receive(run: EngineRun, event: Result<DecodeEvent, UpstreamError>): void {
    if (event.isErr()) {
      run.logEnd(event.error.type, this.request.id, this.move?.getStep());
      this.receiveFailure(this.ends.explain(run, event.error));
      return;
    }
    const { value } = event;
    const step = this.move?.getStep();
    if (value.type === 'answer' || value.type === 'done')
      run.logEnd(value.type, this.request.id, step);
    switch (value.type) {
      case 'head':
        this.move?.recordHead();
        if (!this.hasHead) this.buffer.push(event);
        this.hasHead = true;
        break;
      case 'answer':
        if (step === 'resuming') this.move?.advance({ type: 'rejected' });
        else this.finish(event);
        break;
      case 'done':
        this.receiveEnd(run, value);
        break;
      case 'token':
      case 'piece':
        this.receivePiece(run, value);
        break;
      default:
        value satisfies never;
    }
  }

  private receiveEnd(run: EngineRun, event: DoneEvent): void {
    const hasAllOutput = this.generatedTokens() >= this.request.command.maxTokens;
    const error = this.ends.check(run, event, {
      hasAllOutput: hasAllOutput && this.order.isSound(),
      isResumed: this.order.isResumed(),
    });
    if (error === undefined) this.complete(event);
    else this.receiveFailure(error);
  }

  private complete(event: DoneEvent): void {
    this.move?.advance({ type: 'ended' });
    this.finish(ok(event));
  }

  private receivePiece(run: EngineRun, event: PositionedEvent): void {
    if (!this.order.hasBegun()) this.startedAt = this.deps.clock.now();
    const place = this.order.place(event.position);
    if (place === 'repeated') return;
    if (place === 'missing') {
      this.receiveFailure(eventsMissing());
      return;
    }
    run.recordEvent();
    this.speed.record(this.deps.clock.now());
    this.buffer.push(ok(event));
    const isResumed = this.move?.getStep() === 'resuming';
    this.move?.advance({ type: isResumed ? 'accepted' : 'event' });
  }

  private receiveFailure(error: UpstreamError): void {
    const step = this.move?.getStep();
    // The run that a move stops ends without a mark, too, and that is no crash.
    if (this.move === undefined || step === 'resuming') {
      this.request.guard.recordFailure(this.getEngine().cfg.id, error);
    }
    if (step === 'resuming') {
      this.deps.placements.attemptFailed(this.getEngine().cfg.id, error);
      this.move?.advance({ type: 'rejected' });
    } else if (this.move !== undefined) {
      this.error = error;
      this.move.advance({ type: 'closed' });
    } else if (!this.resumeFromBackup(error)) {
      this.finish(err(error));
    }
  }

  private generatedTokens(): number {
    return this.getPosition() * (this.getEngine().cfg.eventTokens ?? 1);
  }

  private finish(event: Result<DecodeEvent, UpstreamError>): void {
    this.buffer.push(event);
    this.buffer.end();
    this.close();
  }

  /** Ends the stream at its engine, and frees copies that are not used any more; idempotent. */
  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.closeRun();
    this.move?.abandon();
    this.holding.dropBackup();
    this.deps.onClosed(this);
  }
}
