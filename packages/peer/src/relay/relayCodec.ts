import type { SoftwareVersion } from '@camphorvane/core';
import type { RelayedRequest, RelayEvent } from './RelayLink.ts';
import { frameSchemas, requestFieldsSchema } from './relaySchemas.ts';

/** Bytes of the length that precedes the fields of a request. */
const LENGTH_BYTES = 4;

/** Bytes of the kind and the length that precede each event. */
const FRAME_HEAD_BYTES = 5;

/** Largest accepted event, in bytes; upstreams send far smaller pieces, and whole responses are bounded. */
const MAX_FRAME_BYTES = 32 * 1024 * 1024;

const KINDS = ['alive', 'head', 'data', 'event', 'done', 'refused', 'version'] as const;

type FrameKind = (typeof KINDS)[number];

/**
 * What a peer sends: an event, a sign that it still works on the request, or the version of the engine that brings
 * the events that follow.
 */
export type RelayFrame =
  | RelayEvent
  | { readonly type: 'alive' }
  | { readonly type: 'version'; readonly version: SoftwareVersion };

/** A call without its body; hosts of an earlier program send the position beside the declared work only. */
type EncodedCall = Omit<RelayedRequest['call'], 'body' | 'work'> & {
  readonly work?: NonNullable<RelayedRequest['call']['work']> & { readonly lastPosition?: number };
};

/** Encodes a request: the length of its fields, the fields as JSON, and the body as it is. */
export function encodeRequest({ id, call, context }: RelayedRequest): readonly Uint8Array[] {
  const { body, work, lastPosition, ...rest } = call;
  // Hosts of an earlier program read the position beside the declared work.
  const declared = work === undefined ? undefined : { ...work, lastPosition };
  const encoded = { ...rest, work: declared, lastPosition };
  const fields = Buffer.from(JSON.stringify({ id, call: encoded, context }));
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(fields.length);
  return [length, fields, body];
}

/** Decodes a request; undefined where it is malformed. */
export function decodeRequest(bytes: Uint8Array): RelayedRequest | undefined {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  if (buffer.length < LENGTH_BYTES) return undefined;
  const end = LENGTH_BYTES + buffer.readUInt32BE(0);
  if (end > buffer.length) return undefined;
  const parsed = requestFieldsSchema.safeParse(parseJson(buffer.subarray(LENGTH_BYTES, end)));
  if (!parsed.success) return undefined;
  const fields = parsed.data as unknown as RelayedRequest;
  const { work: declared, lastPosition, ...call } = fields.call as EncodedCall;
  const { lastPosition: declaredPosition, ...work } = declared ?? {};
  const position = lastPosition ?? declaredPosition;
  return {
    ...fields,
    call: {
      ...call,
      ...(position === undefined ? {} : { lastPosition: position }),
      work: declared === undefined ? undefined : (work as RelayedRequest['call']['work']),
      body: buffer.subarray(end),
    },
  };
}

/** Encodes an event. */
export function encodeFrame(frame: RelayFrame): readonly Uint8Array[] {
  switch (frame.type) {
    case 'alive':
    case 'done':
      return [frameHead(frame.type, 0)];
    case 'head':
    case 'version':
    case 'refused': {
      const fields = Buffer.from(JSON.stringify(frame));
      return [frameHead(frame.type, fields.length), fields];
    }
    case 'data': {
      // Events before the first one with an id are at -1, where a stream can't go on.
      if (frame.position === undefined || frame.position < 0)
        return [frameHead('data', frame.bytes.length), frame.bytes];
      const position = Buffer.alloc(LENGTH_BYTES);
      position.writeUInt32BE(frame.position);
      return [frameHead('event', LENGTH_BYTES + frame.bytes.length), position, frame.bytes];
    }
    default:
      return frame satisfies never;
  }
}

/** Splits the bytes of a response into frames. */
export class FrameReader {
  /** Holds the incomplete frame; its size doubles, so that small chunks are not copied again and again. */
  private held: Buffer = Buffer.alloc(0);

  private heldBytes = 0;

  /**
   * Adds bytes.
   *
   * @param chunk - The bytes.
   * @returns The frames that are complete now; undefined where the bytes are malformed.
   */
  push(chunk: Uint8Array): readonly RelayFrame[] | undefined {
    this.hold(chunk);
    let pending = this.held.subarray(0, this.heldBytes);
    const frames: RelayFrame[] = [];
    let length = nextLength(pending);
    while (length !== undefined && pending.length >= FRAME_HEAD_BYTES + length) {
      const frame = decodeFrame(
        KINDS[pending[0] ?? -1],
        pending.subarray(FRAME_HEAD_BYTES, FRAME_HEAD_BYTES + length),
      );
      if (frame === undefined) return undefined;
      frames.push(frame);
      pending = pending.subarray(FRAME_HEAD_BYTES + length);
      length = nextLength(pending);
    }
    if (frames.length > 0) {
      // The frames refer to the buffer.
      this.held = Buffer.alloc(0);
      this.heldBytes = 0;
      this.hold(pending);
    }
    return length !== undefined && length > MAX_FRAME_BYTES ? undefined : frames;
  }

  private hold(chunk: Uint8Array): void {
    const needed = this.heldBytes + chunk.length;
    if (needed > this.held.length) {
      const grown = Buffer.allocUnsafe(Math.max(needed, this.heldBytes * 2));
      this.held.copy(grown, 0, 0, this.heldBytes);
      this.held = grown;
    }
    this.held.set(chunk, this.heldBytes);
    this.heldBytes = needed;
  }
}

function nextLength(pending: Buffer): number | undefined {
  return pending.length < FRAME_HEAD_BYTES ? undefined : pending.readUInt32BE(1);
}

function frameHead(kind: FrameKind, length: number): Buffer {
  const head = Buffer.alloc(FRAME_HEAD_BYTES);
  head.writeUInt8(KINDS.indexOf(kind));
  head.writeUInt32BE(length, 1);
  return head;
}

function decodeFrame(kind: FrameKind | undefined, bytes: Buffer): RelayFrame | undefined {
  switch (kind) {
    case 'alive':
    case 'done':
      return { type: kind };
    case 'head':
    case 'version':
    case 'refused': {
      const parsed = frameSchemas[kind].safeParse(parseJson(bytes));
      return parsed.success ? parsed.data : undefined;
    }
    case 'data':
      return { type: 'data', bytes };
    case 'event':
      if (bytes.length < LENGTH_BYTES) return undefined;
      return {
        type: 'data',
        bytes: bytes.subarray(LENGTH_BYTES),
        position: bytes.readUInt32BE(0),
      };
    case undefined:
      return undefined;
    default:
      return kind satisfies never;
  }
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}
