import type { ServerResponse } from 'node:http';
import type { Clock, Refusal, RequestId } from '@camphorvane/core';
import { outcomeUnknown } from '@camphorvane/core';
import type { ServiceResponse } from '../CallerBackend.ts';
import { REQUEST_ID_HEADER } from './CompletionRoute.ts';
import { tooLargeToHold } from './HeldBody.ts';
import { refusalResponse } from './refusalStatus.ts';
import { ResponseWriter } from './ResponseWriter.ts';

/** Header of a stored response to an earlier call. */
const REPLAYED_HEADER = 'x-camphorvane-replayed';

/** Header with the length of a body, which is not known before the end of one that has only begun. */
const LENGTH_HEADER = 'content-length';

/** Writes the responses of plain services. */
export class ServiceRoute {
  private readonly clock: Clock;

  /** @param clock - Times callers that stop reading. */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Responds with the response of a service, and returns its buffers once it has been delivered or dropped.
   *
   * @param id - The request's id.
   * @param reply - The response of the service.
   * @param out - The response to the caller.
   * @returns The HTTP response, or undefined once one that had only begun has been written.
   */
  async respond(
    id: RequestId,
    reply: ServiceResponse,
    out: ServerResponse,
  ): Promise<Response | undefined> {
    const { status, body, rest, release } = reply;
    const headers = responseHeaders(id, reply);
    try {
      if (rest !== undefined && hasBody(status)) {
        const refusal = await this.writeBegun(headers, { ...reply, rest }, out);
        return refusal === undefined ? undefined : refusalResponse(refusal);
      }
      return new Response(hasBody(status) ? Buffer.from(body) : null, { status, headers });
    } finally {
      release?.();
      await rest?.return(undefined);
    }
  }

  /**
   * Writes a response as it is read; only one that was read to its end is framed as complete.
   *
   * @returns The refusal in place of one that broke off, where nothing of it was sent; else undefined.
   */
  private async writeBegun(
    headers: Readonly<Record<string, string>>,
    { status, body, rest }: ServiceResponse & Required<Pick<ServiceResponse, 'rest'>>,
    out: ServerResponse,
  ): Promise<Refusal | undefined> {
    const writer = new ResponseWriter(out, this.clock);
    writer.begin(status, withoutLength(headers));
    let isOpen = await writer.write(body);
    try {
      for await (const bytes of rest) {
        isOpen &&= await writer.write(bytes);
        if (!isOpen) return writer.hasBegun() ? undefined : tooLargeToHold();
      }
    } catch {
      if (!writer.hasBegun()) return brokenOff();
      await writer.breakOff();
      return undefined;
    }
    if (!isOpen) return writer.hasBegun() ? undefined : tooLargeToHold();
    writer.end();
    return undefined;
  }
}

function brokenOff(): Refusal {
  return outcomeUnknown('outcome_unknown', 'The server failed before the end of its response.');
}

function responseHeaders(
  id: RequestId,
  { headers, replayed }: ServiceResponse,
): Readonly<Record<string, string>> {
  return {
    ...headers,
    [REQUEST_ID_HEADER]: id,
    ...(replayed ? { [REPLAYED_HEADER]: 'true' } : {}),
  };
}

function withoutLength(
  headers: Readonly<Record<string, string>>,
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => name.toLowerCase() !== LENGTH_HEADER),
  );
}

/** Tells whether HTTP allows a body with a status. */
function hasBody(status: number): boolean {
  return status !== 204 && status !== 304;
}
