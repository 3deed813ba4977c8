import type { Clock, UpstreamId } from '@camphorvane/core';
import { ResultAsync, err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { PlainServer, ServiceAnswer, ServiceCall, UpstreamError } from './ModelEngine.ts';
import { ProgressDeadline } from './ProgressDeadline.ts';
import { UpstreamConnections } from './UpstreamConnections.ts';
import { toUpstreamError } from './upstreamErrors.ts';

/** Header that carries the attempt's id to a plain service and back. */
export const ATTEMPT_HEADER = 'x-camphorvane-attempt';

/** Largest answer read from a plain service, in bytes; larger ones end as broken. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Milliseconds to wait for a probe on a new connection. */
const PROBE_TIMEOUT_MS = 1_000;

/** Headers of an answer that belong to one connection and are not passed on. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  ATTEMPT_HEADER,
]);

/** One server of a plain service, reached over HTTP. */
export class HttpPlainServer implements PlainServer {
  readonly id: UpstreamId;

  private readonly clock: Clock;

  private readonly connections: UpstreamConnections;

  /**
   * @param id - The server's name in the configuration.
   * @param url - Its base URL.
   * @param clock - Judges progress.
   */
  constructor(id: UpstreamId, url: string, clock: Clock) {
    this.id = id;
    this.clock = clock;
    this.connections = new UpstreamConnections(url, clock);
  }

  /** Runs one call and reads its whole answer. */
  call(call: ServiceCall, signal: AbortSignal): ResultAsync<ServiceAnswer, UpstreamError> {
    const run = async (): Promise<Result<ServiceAnswer, UpstreamError>> => {
      const deadline = new ProgressDeadline(this.clock, call.timeoutMs, signal);
      try {
        const res = await this.connections.send(
          {
            method: call.method,
            path: call.path,
            headers: { ...call.headers, [ATTEMPT_HEADER]: call.attempt },
            body: call.body.length > 0 ? call.body : undefined,
          },
          deadline.signal(),
        );
        return await readAnswer(res, call);
      } catch (thrown) {
        const failure = toUpstreamError(thrown, deadline.stopReason());
        if (failure.type === 'silent') {
          void this.connections.renewAndProbe('/', PROBE_TIMEOUT_MS);
        }
        return err(failure);
      } finally {
        deadline.close();
      }
    };
    return new ResultAsync(run());
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.connections.destroy();
  }
}

/** Reads the whole body, after checking that the answer belongs to this attempt if it says so. */
async function readAnswer(
  res: Dispatcher.ResponseData,
  call: ServiceCall,
): Promise<Result<ServiceAnswer, UpstreamError>> {
  const echoed = res.headers[ATTEMPT_HEADER];
  if (echoed !== undefined && echoed !== call.attempt) {
    res.body.destroy();
    return err({ type: 'mismatch', dispatched: true, message: 'answer of another attempt' });
  }
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of res.body) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) {
      return err({ type: 'broken', dispatched: true, message: 'answer too large' });
    }
    chunks.push(chunk);
  }
  const headers = Object.fromEntries(
    Object.entries(res.headers)
      .filter(([name]) => !HOP_BY_HOP.has(name))
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : (value ?? '')]),
  );
  return ok({ status: res.statusCode, headers, body: Buffer.concat(chunks) });
}
