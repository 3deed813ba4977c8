import type { AttemptId, LoadSnapshot, UpstreamId } from '@camphorvane/core';
import type { EngineCore } from '@camphorvane/stand-ins';
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
import type { Result, ResultAsync } from 'neverthrow';
import type { DispatchLog } from './DispatchLog.ts';
import type { UpstreamLink } from './UpstreamLink.ts';

const COMMAND_LIMIT_MS = 30_000;
const SHORT_LIMIT_MS = 1000;
const TOKEN_LIMIT_MS = 2000;
const NO_SIGNAL = new AbortController().signal;

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
    this.log.dispatched(this.id, cmd.prompt);
    return this.link.exchange(signal, COMMAND_LIMIT_MS, (far) => this.core.prefill(cmd, far));
  }

  /** Fetches a KV cache into this engine. */
  transfer(cmd: TransferCommand, signal: AbortSignal): ResultAsync<void, UpstreamError> {
    return this.link.exchange(signal, COMMAND_LIMIT_MS, (far) => this.core.transfer(cmd, far));
  }

  /** Streams output. */
  async *decode(
    cmd: DecodeCommand,
    signal: AbortSignal,
  ): AsyncIterable<Result<DecodeEvent, UpstreamError>> {
    const exchange = this.link.open(signal);
    try {
      if (!(await this.link.arrive(exchange))) {
        yield await this.link.limit(signal, TOKEN_LIMIT_MS).ended;
        return;
      }
      const events = this.core.decode(cmd, exchange.signal)[Symbol.asyncIterator]();
      let ended = false;
      while (!ended) {
        const event = await this.nextEvent(exchange, events, signal);
        if (event !== undefined) yield event;
        ended = event === undefined || event.isErr();
      }
    } finally {
      exchange.close();
    }
  }

  /** Frees whatever an attempt holds. */
  cancel(attempt: AttemptId): ResultAsync<void, UpstreamError> {
    return this.link.exchange(NO_SIGNAL, SHORT_LIMIT_MS, () => this.core.cancel(attempt));
  }

  /** Reads the lagging load report. */
  load(): ResultAsync<LoadSnapshot, UpstreamError> {
    return this.link.exchange(NO_SIGNAL, SHORT_LIMIT_MS, () => this.core.load());
  }

  /** Gives an order. */
  order(order: EngineOrder): ResultAsync<void, UpstreamError> {
    return this.link.exchange(NO_SIGNAL, SHORT_LIMIT_MS, () => this.core.order(order));
  }

  private async nextEvent(
    exchange: ReturnType<UpstreamLink['open']>,
    events: AsyncIterator<Result<DecodeEvent, UpstreamError>>,
    signal: AbortSignal,
  ): Promise<Result<DecodeEvent, UpstreamError> | undefined> {
    const limit = this.link.limit(signal, TOKEN_LIMIT_MS);
    const next = events.next().then(async (item) => {
      if (!(await this.link.arrive(exchange))) return new Promise<undefined>(() => {});
      return item.done ? undefined : item.value;
    });
    const event = await Promise.race([next, limit.ended]);
    limit.stop();
    return event;
  }
}
