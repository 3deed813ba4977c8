import type { AttemptId, Clock, LoadReport, Millis, UpstreamId } from '@camphorvane/core';
import { countPromptTokens, runInBackground } from '@camphorvane/core';
import { ResultAsync, err, errAsync, ok, okAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { z } from 'zod';
import { readDecodeEvents } from './decodeStream.ts';
import type {
  DecodeCommand,
  DecodeEvent,
  EngineOrder,
  ModelEngine,
  PrefillCommand,
  PrefillResult,
  TransferCommand,
  UpstreamError,
} from './ModelEngine.ts';
import { ProgressDeadline } from './ProgressDeadline.ts';
import { readBounded } from './readBounded.ts';
import { UpstreamConnections } from './UpstreamConnections.ts';
import { toUpstreamError } from './upstreamErrors.ts';
import { loadReportSchema, prefillResultSchema } from './wire.ts';

/** Timeouts without progress, by kind of call, in milliseconds. */
export interface EngineTimeouts {
  /** Per prefill, including the queue wait on the engine. */
  readonly prefillBaseMs: Millis;
  /** Added for each token of the prompt. */
  readonly prefillPerTokenMs: Millis;
  readonly transferMs: Millis;
  /** Between two events of a decode stream. */
  readonly decodeProgressMs: Millis;
  readonly controlMs: Millis;
}

/**
 * Default timeouts. Prefill takes a fraction of a millisecond per token; a timeout that grows with the
 * prompt lets a short prompt on an unresponsive engine fail early.
 */
export const DEFAULT_ENGINE_TIMEOUTS: EngineTimeouts = {
  prefillBaseMs: 4_000,
  prefillPerTokenMs: 2,
  transferMs: 5_000,
  decodeProgressMs: 3_000,
  controlMs: 1_000,
};

const JSON_HEADERS = { 'content-type': 'application/json' };

const LOAD_PATH = '/v1/load';

/** Largest accepted answer that is no stream, in bytes; a load report names the attempts that run. */
const MAX_ANSWER_BYTES = 256 * 1024;

/** A model engine reached over HTTP. */
export class HttpModelEngine implements ModelEngine {
  readonly id: UpstreamId;

  private readonly clock: Clock;

  private readonly timeouts: EngineTimeouts;

  private readonly connections: UpstreamConnections;

  /**
   * @param id - The engine's name in the configuration.
   * @param url - Its base URL.
   * @param clock - Times calls.
   * @param timeouts - Timeouts without progress.
   */
  constructor(
    id: UpstreamId,
    url: string,
    clock: Clock,
    timeouts: EngineTimeouts = DEFAULT_ENGINE_TIMEOUTS,
  ) {
    this.id = id;
    this.clock = clock;
    this.timeouts = timeouts;
    this.connections = new UpstreamConnections(url, clock);
  }

  /** Runs a prompt; the response must carry the attempt's id. */
  prefill(cmd: PrefillCommand, signal: AbortSignal): ResultAsync<PrefillResult, UpstreamError> {
    if (typeof cmd.prompt !== 'string') return errAsync(unsupportedPromptError());
    return this.post(
      '/v1/prefill',
      cmd,
      prefillTimeout(cmd, this.timeouts),
      signal,
      prefillResultSchema,
    ).andThen((result) =>
      result.attempt === cmd.attempt ? ok(result) : err(mismatchError(cmd.attempt)),
    );
  }

  /** Fetches a KV cache into this engine. */
  transfer(cmd: TransferCommand, signal: AbortSignal): ResultAsync<void, UpstreamError> {
    return this.post('/v1/transfer', cmd, this.timeouts.transferMs, signal);
  }

  /** Streams output; ends after `done` or after one error. */
  async *decode(
    cmd: DecodeCommand,
    signal: AbortSignal,
  ): AsyncGenerator<Result<DecodeEvent, UpstreamError>> {
    if (cmd.prompt !== undefined) {
      yield err(unsupportedPromptError());
      return;
    }
    const deadline = new ProgressDeadline(this.clock, this.timeouts.decodeProgressMs, signal);
    try {
      const res = await this.connections.send(
        { method: 'POST', path: '/v1/decode', headers: JSON_HEADERS, body: JSON.stringify(cmd) },
        deadline.getSignal(),
      );
      if (res.statusCode !== 200) {
        yield err(await statusError(res));
        return;
      }
      yield* readDecodeEvents(res.body, cmd, deadline);
    } catch (thrown) {
      yield err(this.handleFailure(thrown, deadline));
    } finally {
      deadline.close();
    }
  }

  /** Frees what an attempt holds on the engine; idempotent. */
  cancel(attempt: AttemptId): ResultAsync<void, UpstreamError> {
    const never = new AbortController().signal;
    return this.post('/v1/cancel', { attempt }, this.timeouts.controlMs, never);
  }

  /** Reads the load report, which lags behind the engine's state. */
  load(): ResultAsync<LoadReport, UpstreamError> {
    const never = new AbortController().signal;
    const call = { method: 'GET' as const, path: LOAD_PATH, headers: {} };
    return this.request(call, this.timeouts.controlMs, never).andThen((text) =>
      parseBody(text, loadReportSchema),
    );
  }

  /** Sends an order. */
  order(order: EngineOrder): ResultAsync<void, UpstreamError> {
    const never = new AbortController().signal;
    return this.post('/v1/orders', order, this.timeouts.controlMs, never);
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await this.connections.destroy();
  }

  private post(
    path: string,
    body: object,
    timeoutMs: Millis,
    signal: AbortSignal,
  ): ResultAsync<void, UpstreamError>;

  private post<T>(
    path: string,
    body: object,
    timeoutMs: Millis,
    signal: AbortSignal,
    schema: z.ZodType<T>,
  ): ResultAsync<T, UpstreamError>;

  private post<T>(
    path: string,
    body: object,
    timeoutMs: Millis,
    signal: AbortSignal,
    schema?: z.ZodType<T>,
  ): ResultAsync<T | undefined, UpstreamError> {
    const call = {
      method: 'POST' as const,
      path,
      headers: JSON_HEADERS,
      body: JSON.stringify(body),
    };
    return this.request(call, timeoutMs, signal).andThen((text) =>
      schema === undefined ? okAsync(undefined) : parseBody(text, schema),
    );
  }

  private request(
    call: Parameters<UpstreamConnections['send']>[0],
    timeoutMs: Millis,
    signal: AbortSignal,
  ): ResultAsync<string, UpstreamError> {
    const run = async (): Promise<Result<string, UpstreamError>> => {
      const deadline = new ProgressDeadline(this.clock, timeoutMs, signal);
      try {
        const res = await this.connections.send(call, deadline.getSignal());
        if (res.statusCode >= 400) return err(await statusError(res));
        return ok((await readBounded(res.body, MAX_ANSWER_BYTES)).toString('utf8'));
      } catch (thrown) {
        return err(this.handleFailure(thrown, deadline));
      } finally {
        deadline.close();
      }
    };
    return new ResultAsync(run());
  }

  private handleFailure(thrown: unknown, deadline: ProgressDeadline): UpstreamError {
    const failure = toUpstreamError(thrown, deadline.getAbortReason());
    if (failure.type === 'silent') {
      runInBackground('upstream.probe', () =>
        this.connections.renewAndProbe(LOAD_PATH, this.timeouts.controlMs),
      );
    }
    return failure;
  }
}

/**
 * Gets the timeout of a prefill.
 *
 * @param cmd - The prompt and its continuation.
 * @param timeouts - Timeouts of the engine.
 * @returns Milliseconds.
 */
export function prefillTimeout(
  cmd: Pick<PrefillCommand, 'prompt' | 'continuation'>,
  timeouts: EngineTimeouts,
): Millis {
  const tokens = countPromptTokens(cmd.prompt) + countPromptTokens(cmd.continuation);
  return timeouts.prefillBaseMs + tokens * timeouts.prefillPerTokenMs;
}

function unsupportedPromptError(): UpstreamError {
  const message = 'engines reached over this interface accept text prompts only';
  return { type: 'rejected', dispatched: false, message };
}

function mismatchError(attempt: AttemptId): UpstreamError {
  return {
    type: 'mismatch',
    dispatched: true,
    message: `response does not carry the id of attempt ${attempt}`,
  };
}

/** A status below 500 means that the engine rejected the command; after a 5xx it may have run. */
async function statusError(
  res: Pick<Dispatcher.ResponseData, 'statusCode' | 'body'>,
): Promise<UpstreamError> {
  const text = (await readBounded(res.body, MAX_ANSWER_BYTES)).toString('utf8');
  const message = `status ${res.statusCode}: ${text.slice(0, 200)}`;
  return res.statusCode < 500
    ? { type: 'rejected', dispatched: false, message }
    : { type: 'broken', dispatched: true, answered: true, message };
}

function parseBody<T>(text: string, schema: z.ZodType<T>): ResultAsync<T, UpstreamError> {
  const broken: UpstreamError = {
    ...{ type: 'broken', dispatched: true, answered: true },
    message: 'malformed response',
  };
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? okAsync(parsed.data) : errAsync(broken);
  } catch {
    return errAsync(broken);
  }
}
