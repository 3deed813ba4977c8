import { MAX_STORED_RESPONSE_BYTES } from '@camphorvane/store';
import type { UpstreamResponse } from '@camphorvane/upstream';

/** A response, read as far as shows whether it can be stored for a replay. */
export type ReplayRead =
  /** `answer` has no rest. */
  | { readonly type: 'whole'; readonly answer: UpstreamResponse }
  /** `answer` is too large to be stored; it may have a rest. */
  | { readonly type: 'too_large'; readonly answer: UpstreamResponse }
  /** The server failed before the end of the response, whose buffers have been returned. */
  | { readonly type: 'broken' };

/**
 * Reads a response that has only begun to its end, or to the largest size that is stored.
 *
 * @param answer - The response of a server.
 * @returns The response as far as it was read.
 */
export async function readForReplay(answer: UpstreamResponse): Promise<ReplayRead> {
  const { rest, ...begun } = answer;
  if (rest === undefined) return { type: 'whole', answer };
  const read = [begun.body];
  let size = begun.body.length;
  try {
    while (size <= MAX_STORED_RESPONSE_BYTES) {
      const next = await rest.next();
      if (next.done === true) {
        return { type: 'whole', answer: { ...begun, body: Buffer.concat(read) } };
      }
      read.push(next.value);
      size += next.value.length;
    }
  } catch {
    begun.release?.();
    return { type: 'broken' };
  }
  return { type: 'too_large', answer: { ...begun, body: Buffer.concat(read), rest } };
}
