import { getPromptText } from '@camphorvane/core';
import type { AttemptId, LoadReport, UpstreamId } from '@camphorvane/core';
import type { EngineCore } from '@camphorvane/stand-ins';
import {
  DEFAULT_ENGINE_TIMEOUTS,
  prefillTimeout,
  ProgressDeadline,
  readDecodeEvents,
  toUpstreamError,
} from '@camphorvane/upstream';
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
import { err } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import type { DispatchLog } from './DispatchLog.ts';
import { StreamFailure } from './StreamFailure.ts';
import type { Exchange, UpstreamLink } from './UpstreamLink.ts';

const LIMITS = DEFAULT_ENGINE_TIMEOUTS;

/** A stand-in engine as one host reaches it. */
export class LinkedEngine implements ModelEngine {
  constructor(
    private readonly core: EngineCore,
    private readonly link: UpstreamLink,
    private readonly log: DispatchLog,
  ) {}

  /** Gets the engine's name. */
  get id(): UpstreamId {
    return this.core.id;
  }

  /** Runs a prompt. */
  prefill(cmd: PrefillCommand, signal: AbortSignal): ResultAsync<PrefillResult, UpstreamError> {
    this.log.dispatched(this.id, getPromptText(cmd.prompt) ?? '');
    return this.link.exchange(signal, prefillTimeout(cmd, LIMITS), (far) =>
      this.core.prefill(cmd, far),
    );
  }

  /** Fetches a KV cache into this engine. */
  transfer(cmd: TransferCommand, signal: AbortSignal): ResultAsync<void, UpstreamError> {
    return this.link.exchange(signal, LIMITS.transferMs, (far) => this.core.transfer(cmd, far));
  }

  /** Streams output, read and checked by the very code that reads it from HTTP. */
  async *decode(
    cmd: DecodeCommand,
    signal: AbortSignal,
  ): AsyncIterable<Result<DecodeEvent, UpstreamError>> {
    const { life } = this.link.near;
    const deadline = new ProgressDeadline(life, LIMITS.decodeProgressMs, signal);
    const exchange = this.link.open(deadline.getSignal());
    try {
      yield* readDecodeEvents(this.decodeBytes(cmd, exchange, deadline), cmd, deadline);
    } catch (thrown) {
      const known = thrown instanceof StreamFailure ? thrown.error : undefined;
      yield err(known ?? toUpstreamError(thrown, deadline.getAbortReason()));
    } finally {
      deadline.close();
      exchange.close();
    }
  }

  /** Frees whatever an attempt holds. */
  cancel(attempt: AttemptId): ResultAsync<void, UpstreamError> {
    return this.link.exchange(never(), LIMITS.controlMs, () => this.core.cancel(attempt));
  }

  /** Reads the lagging load report. */
  load(): ResultAsync<LoadReport, UpstreamError> {
    return this.link.exchange(never(), LIMITS.controlMs, () => this.core.load());
  }

  /** Gives an order. */
  order(order: EngineOrder): ResultAsync<void, UpstreamError> {
    return this.link.exchange(never(), LIMITS.controlMs, () => this.core.order(order));
  }

  /** Gets the bytes of a decode stream as they come in over the link. */
  private async *decodeBytes(
    cmd: DecodeCommand,
    exchange: Exchange,
    deadline: ProgressDeadline,
  ): AsyncIterable<Uint8Array> {
    const stopped = rejectOnAbort(deadline.getSignal());
    await Promise.race([this.link.arrive(exchange), stopped]);
    const events = this.core.decode(cmd, exchange.signal)[Symbol.asyncIterator]();
    let item = await Promise.race([this.nextOver(exchange, events), stopped]);
    while (!item.done) {
      if (item.value.isErr()) throw new StreamFailure(item.value.error);
      yield Buffer.from(`${JSON.stringify(item.value.value)}\n`);
      item = await Promise.race([this.nextOver(exchange, events), stopped]);
    }
  }

  private async nextOver(
    exchange: Exchange,
    events: AsyncIterator<Result<DecodeEvent, UpstreamError>>,
  ): Promise<IteratorResult<Result<DecodeEvent, UpstreamError>>> {
    const item = await events.next();
    await this.link.arrive(exchange);
    return item;
  }
}

/** Rejects when a signal aborts, as a client's connection does. */
function rejectOnAbort(signal: AbortSignal): Promise<never> {
  const aborted = new Promise<never>((_, reject) => {
    const abort = (): void => reject(new Error('connection closed'));
    if (signal.aborted) abort();
    signal.addEventListener('abort', abort, { once: true });
  });
  // Whoever races against it sees the rejection; where the other side won, nobody is left to tell.
  aborted.catch(() => undefined);
  return aborted;
}

/** Gets a signal that is never aborted. */
function never(): AbortSignal {
  return new AbortController().signal;
}
