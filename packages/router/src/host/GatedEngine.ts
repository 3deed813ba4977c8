import type { AttemptId, LoadReport, Prompt, UpstreamId } from '@camphorvane/core';
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
import type { BodyGate } from '../buffers/BodyGate.ts';
import type { RestGate } from './RestGate.ts';

/** The client of an engine, which sends nothing while the engine rests, and no request while it holds too much. */
export class GatedEngine implements ModelEngine {
  private readonly engine: ModelEngine;

  private readonly gate: RestGate;

  private readonly bodies: BodyGate;

  /**
   * @param engine - The client.
   * @param gate - Holds back its calls.
   * @param bodies - Bounds the bodies that the engine holds.
   */
  constructor(engine: ModelEngine, gate: RestGate, bodies: BodyGate) {
    this.engine = engine;
    this.gate = gate;
    this.bodies = bodies;
  }

  /** {@inheritDoc ModelEngine.id} */
  get id(): UpstreamId {
    return this.engine.id;
  }

  /** {@inheritDoc ModelEngine.prefill} */
  prefill(cmd: PrefillCommand, signal: AbortSignal): ResultAsync<PrefillResult, UpstreamError> {
    const withheld = this.gate.check();
    if (withheld !== undefined) return errAsync(withheld);
    const sent = this.bodies.enter(cmd.attempt, bodyBytes(cmd.prompt));
    if ('type' in sent) return errAsync(sent);
    const release = (): void => sent.release();
    const recordFailure = this.gate.onFailure('prefill');
    return this.engine.prefill(cmd, signal).andTee(release).orTee(release).orTee(recordFailure);
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
    const sent = withheld ?? this.bodies.enter(cmd.attempt, bodyBytes(cmd.prompt));
    if ('type' in sent) {
      yield err(sent);
      return;
    }
    try {
      for await (const event of this.engine.decode(cmd, signal)) {
        if (event.isErr()) this.gate.onFailure('decode')(event.error);
        yield event;
      }
    } finally {
      sent.release();
    }
  }

  /** {@inheritDoc ModelEngine.move} */
  move(cmd: MoveCommand): ResultAsync<MoveResult, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    if (withheld !== undefined) return errAsync(withheld);
    const moved = this.engine.move?.(cmd).orTee(this.gate.onFailure('move'));
    return moved ?? okAsync({ type: 'refused' });
  }

  /** {@inheritDoc ModelEngine.dropHandle} */
  dropHandle(kvHandle: string): ResultAsync<void, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    if (withheld !== undefined) return errAsync(withheld);
    const dropped = this.engine.dropHandle?.(kvHandle).orTee(this.gate.onFailure('release'));
    return dropped ?? okAsync(undefined);
  }

  /** {@inheritDoc ModelEngine.cancel} */
  cancel(attempt: AttemptId): ResultAsync<void, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    if (withheld !== undefined) return errAsync(withheld);
    return this.engine.cancel(attempt).orTee(this.gate.onFailure('release'));
  }

  /** {@inheritDoc ModelEngine.load} */
  load(): ResultAsync<LoadReport, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    if (withheld !== undefined) return errAsync(withheld);
    return this.engine.load().orTee(this.gate.onFailure('report'));
  }

  /** {@inheritDoc ModelEngine.order} */
  order(order: EngineOrder): ResultAsync<void, UpstreamError> {
    const withheld = this.gate.checkControlCall();
    if (withheld !== undefined) return errAsync(withheld);
    return this.engine.order(order).orTee(this.gate.onFailure('order'));
  }
}

function bodyBytes(prompt: Prompt | undefined): number {
  return prompt === undefined || typeof prompt === 'string' ? 0 : prompt.call.body.length;
}
