import type { AttemptId, LoadReport, UpstreamId } from '@camphorvane/core';
import type {
  DecodeCommand,
  DecodeEvent,
  EngineOrder,
  ModelEngine,
  MoveCommand,
  MoveResult,
  PrefillCommand,
  PrefillResult,
  TransferCommand,
  UpstreamError,
} from '@camphorvane/upstream';
import { err, errAsync, okAsync } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import type { RestGate } from './RestGate.ts';

/** The client of an engine, which sends nothing while the engine rests. */
export class GatedEngine implements ModelEngine {
  private readonly engine: ModelEngine;

  private readonly gate: RestGate;

  /**
   * @param engine - The client.
   * @param gate - Holds back its calls.
   */
  constructor(engine: ModelEngine, gate: RestGate) {
    this.engine = engine;
    this.gate = gate;
  }

  /** {@inheritDoc ModelEngine.id} */
  get id(): UpstreamId {
    return this.engine.id;
  }

  /** {@inheritDoc ModelEngine.prefill} */
  prefill(cmd: PrefillCommand, signal: AbortSignal): ResultAsync<PrefillResult, UpstreamError> {
    const withheld = this.gate.check();
    return withheld === undefined ? this.engine.prefill(cmd, signal) : errAsync(withheld);
  }

  /** Not held back: the decode that follows is, and can go to another engine. */
  transfer(cmd: TransferCommand, signal: AbortSignal): ResultAsync<void, UpstreamError> {
    return this.engine.transfer(cmd, signal);
  }

  /** {@inheritDoc ModelEngine.decode} */
  async *decode(
    cmd: DecodeCommand,
    signal: AbortSignal,
  ): AsyncGenerator<Result<DecodeEvent, UpstreamError>> {
    const withheld = this.gate.check();
    if (withheld === undefined) yield* this.engine.decode(cmd, signal);
    else yield err(withheld);
  }

  /** {@inheritDoc ModelEngine.move} */
  move(cmd: MoveCommand): ResultAsync<MoveResult, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    if (withheld !== undefined) return errAsync(withheld);
    return this.engine.move?.(cmd) ?? okAsync({ type: 'refused' });
  }

  /** {@inheritDoc ModelEngine.dropHandle} */
  dropHandle(kvHandle: string): ResultAsync<void, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    if (withheld !== undefined) return errAsync(withheld);
    return this.engine.dropHandle?.(kvHandle) ?? okAsync(undefined);
  }

  /** {@inheritDoc ModelEngine.cancel} */
  cancel(attempt: AttemptId): ResultAsync<void, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    return withheld === undefined ? this.engine.cancel(attempt) : errAsync(withheld);
  }

  /** {@inheritDoc ModelEngine.load} */
  load(): ResultAsync<LoadReport, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    return withheld === undefined ? this.engine.load() : errAsync(withheld);
  }

  /** {@inheritDoc ModelEngine.order} */
  order(order: EngineOrder): ResultAsync<void, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    return withheld === undefined ? this.engine.order(order) : errAsync(withheld);
  }
}
