import type { ForwardEvent, ServiceResponse } from '@camphorvane/caller';
import { outcomeUnknown } from '@camphorvane/core';

/**
 * Delivers the response of a plain service, and returns its buffers when the caller has it or is gone.
 *
 * @param response - The response.
 * @returns Its events; `refused` where the server fails before its end.
 */
export async function* deliverResponse(response: ServiceResponse): AsyncGenerator<ForwardEvent> {
  const { status, headers, body, endsWithConnection, rest, release } = response;
  try {
    const bodyBytes = rest === undefined ? body.length : response.bodyBytes;
    yield { type: 'head', status, headers, endsWithConnection, bodyBytes };
    yield { type: 'data', bytes: body };
    if (rest !== undefined && !(yield* deliverRest(rest))) {
      const text = 'The server failed before the end of its response.';
      yield { type: 'refused', refusal: outcomeUnknown('outcome_unknown', text) };
      return;
    }
    yield { type: 'done' };
  } finally {
    release?.();
  }
}

async function* deliverRest(
  rest: AsyncGenerator<Uint8Array>,
): AsyncGenerator<ForwardEvent, boolean> {
  try {
    for await (const bytes of rest) yield { type: 'data', bytes };
    return true;
  } catch {
    return false;
  }
}
