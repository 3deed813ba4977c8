import { ByteAccumulator } from '@camphorvane/core';

/** Bound that a response exceeded: of the bytes of its body, of those around it, or of the time of its body. */
export type ResponseBound = 'body' | 'framing' | 'time';

/** Thrown where a response exceeds a bound; its connection must be closed. */
export class ResponseOverrunError extends Error {
  /** The bound. */
  readonly bound: ResponseBound;

  /** @param bound - The bound. */
  constructor(bound: ResponseBound) {
    super(`the response exceeds a bound: ${bound}`);
    this.bound = bound;
  }
}

/**
 * Reads a body that is not passed on to a caller.
 *
 * @param chunks - The body; it is closed where it is too large.
 * @param maxBytes - Largest accepted body, in bytes.
 * @returns The body; rejects with {@link ResponseOverrunError} where it is larger.
 */
export async function readBounded(
  chunks: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Buffer> {
  const body = new ByteAccumulator();
  for await (const chunk of chunks) {
    if (body.length + chunk.length > maxBytes) throw new ResponseOverrunError('body');
    body.add(chunk);
  }
  return body.take();
}
