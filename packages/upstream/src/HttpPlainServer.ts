import type { Clock, UpstreamId } from '@camphorvane/core';
import { ByteAccumulator, runInBackground } from '@camphorvane/core';
import { ResultAsync, err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { isFinalStatus } from './isFinalStatus.ts';
import type { PlainServer, UpstreamResponse, ServiceCall, UpstreamError } from './ModelEngine.ts';
import { ProgressDeadline } from './ProgressDeadline.ts';
import { UpstreamConnections } from './UpstreamConnections.ts';
import { toUpstreamError } from './upstreamErrors.ts';

/** Header with the attempt's id; a plain service may echo it in its response. */
export const ATTEMPT_HEADER = 'x-camphorvane-attempt';

/** Largest response body of a plain service, in bytes; a larger one fails as `broken`. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Timeout of a probe on a new connection, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;

/** Response headers that apply to one connection only and are not forwarded. */
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
   * @param clock - Times calls.
   */
  constructor(id: UpstreamId, url: string, clock: Clock) {
    this.id = id;
    this.clock = clock;
    this.connections = new UpstreamConnections(url, clock);
  }

  /** Runs one call and reads its whole response. */
  call(call: ServiceCall, signal: AbortSignal): ResultAsync<UpstreamResponse, UpstreamError> {
    const run = async (): Promise<Result<UpstreamResponse, UpstreamError>> => {
      const deadline = new ProgressDeadline(this.clock, call.timeoutMs, signal);
      try {
        const res = await this.connections.send(
          {
            method: call.method,
            path: call.path,
            headers: { ...call.headers, [ATTEMPT_HEADER]: call.attempt },
            body: call.body.length > 0 ? call.body : undefined,
          },
          deadline.getSignal(),
        );
        return await readResponse(res, call);
      } catch (thrown) {
        const failure = toUpstreamError(thrown, deadline.getAbortReason());
        if (failure.type === 'silent') {
          runInBackground('upstream.probe', () =>
            this.connections.renewAndProbe('/', PROBE_TIMEOUT_MS),
          );
        }
        return err(failure);
      } finally {
        deadline.close();
      }
    };
    return new ResultAsync(run());
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await this.connections.destroy();
  }
}

/** Reads the whole body; an echoedAttempt attempt id must match. */
async function readResponse(
  res: Dispatcher.ResponseData,
  call: ServiceCall,
): Promise<Result<UpstreamResponse, UpstreamError>> {
  if (!isFinalStatus(res.statusCode)) {
    abandon(res);
    const message = `${res.statusCode} is no status of HTTP`;
    return err({ type: 'broken', dispatched: true, answered: true, message });
  }
  const echoedAttempt = res.headers[ATTEMPT_HEADER];
  if (echoedAttempt !== undefined && echoedAttempt !== call.attempt) {
    abandon(res);
    return err({
      type: 'mismatch',
      dispatched: true,
      message: 'response belongs to another attempt',
    });
  }
  const body = new ByteAccumulator();
  for await (const read of res.body) {
    const chunk = read as Uint8Array;
    if (body.length + chunk.length > MAX_RESPONSE_BYTES) {
      return err({
        type: 'broken',
        dispatched: true,
        answered: true,
        message: 'response body too large',
      });
    }
    body.add(chunk);
  }
  const headers = Object.fromEntries(
    Object.entries(res.headers)
      .filter(([name]) => !HOP_BY_HOP.has(name))
      .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : (value ?? '')]),
  );
  return ok({ status: res.statusCode, headers, body: body.take() });
}

/** Closes the connection of a response whose body is not read; the error that undici emits has no other listener. */
function abandon({ body }: Dispatcher.ResponseData): void {
  body.once('error', () => undefined);
  body.destroy();
}
