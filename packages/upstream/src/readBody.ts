import type { Reservation } from '@camphorvane/core';
import { ByteAccumulator } from '@camphorvane/core';
import { ResponseOverrunError } from './readBounded.ts';

/** Read-ahead of a connection that pauses after each chunk, until that has been asked for. */
export const MIN_READ_AHEAD_BYTES = 1;

/** Read-ahead of a stream that has room. */
export const STREAM_READ_AHEAD_BYTES = 24 * 1024;

/** What such a stream holds: its read-ahead and a chunk beyond it, and as much being delivered. */
export const STREAM_BUFFER_BYTES = 64 * 1024;

/** A response body, read as far as there was room for it. */
export type BodyRead =
  | { readonly type: 'whole'; readonly bytes: Uint8Array }
  | {
      readonly type: 'begun';
      readonly bytes: Uint8Array;
      /**
       * What follows; each chunk is read from the upstream when it is asked for. Throws
       * {@link ResponseOverrunError} where the whole body is too large.
       */
      readonly rest: AsyncGenerator<Uint8Array>;
    }
  | { readonly type: 'too_large' };

/** Bounds of a body. */
export interface BodyBounds {
  /** Largest accepted body, in bytes. */
  readonly maxBytes: number;
  /** Length that the upstream declared; undefined where it declared none. */
  readonly declaredBytes: number | undefined;
  /** Counts the body as it is read. */
  readonly reservation: Reservation;
}

/**
 * Reads a body whole while there is room to hold it. Upstreams cut off responses that remain unread for
 * some seconds, so what there is no room for is left to be read at the caller's pace.
 *
 * @param chunks - The body.
 * @param bounds - Its bounds.
 * @returns The body, or its beginning and the rest.
 */
export async function readBody(
  chunks: AsyncGenerator<Uint8Array>,
  { maxBytes, declaredBytes, reservation }: BodyBounds,
): Promise<BodyRead> {
  // Reserved at once, so that responses read side by side don't each stop halfway for lack of room.
  const isReserved = declaredBytes !== undefined && declaredBytes <= maxBytes;
  if (isReserved && !reservation.tryGrow(declaredBytes)) {
    return { type: 'begun', bytes: new Uint8Array(), rest: upTo(chunks, maxBytes) };
  }
  const body = new ByteAccumulator(isReserved ? declaredBytes : 0);
  let next = await chunks.next();
  while (next.done !== true) {
    const chunk = next.value;
    if (body.length + chunk.length > maxBytes) {
      await chunks.return(undefined);
      return { type: 'too_large' };
    }
    const growth = body.growthFor(chunk.length);
    body.add(chunk);
    if (!isReserved && growth > 0 && !reservation.tryGrow(growth)) {
      return { type: 'begun', bytes: body.take(), rest: upTo(chunks, maxBytes - body.length) };
    }
    next = await chunks.next();
  }
  return { type: 'whole', bytes: body.take() };
}

/** Passes a body on while it is within its bound; it is closed where it is not. */
async function* upTo(
  chunks: AsyncGenerator<Uint8Array>,
  maxBytes: number,
): AsyncGenerator<Uint8Array> {
  let size = 0;
  for await (const chunk of chunks) {
    size += chunk.length;
    if (size > maxBytes) throw new ResponseOverrunError('body');
    yield chunk;
  }
}
