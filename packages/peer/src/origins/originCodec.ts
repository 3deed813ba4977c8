import type { StreamOrigin } from '@camphorvane/decisions';

/** First bytes of a datagram with origins; hosts that don't know it read no hint in it. */
const PREFIX = Buffer.from('origins ');

/** Most origins in one datagram; each takes up to 100 bytes, and a datagram should fit into few packets. */
export const MAX_ORIGINS_PER_DATAGRAM = 64;

const MAX_TEXT_LENGTH = 128;

/** Encodes origins. */
export function encodeOrigins(origins: readonly StreamOrigin[]): Buffer {
  const rows = origins.map(({ id, version }) => [id, version]);
  return Buffer.concat([PREFIX, Buffer.from(JSON.stringify(rows))]);
}

/** Decodes origins; undefined where a datagram holds something else, or is malformed. */
export function decodeOrigins(bytes: Uint8Array): readonly StreamOrigin[] | undefined {
  if (!PREFIX.equals(bytes.subarray(0, PREFIX.length))) return undefined;
  const rows = parseJson(Buffer.from(bytes.subarray(PREFIX.length)).toString('utf8'));
  if (!Array.isArray(rows) || rows.length > MAX_ORIGINS_PER_DATAGRAM) return undefined;
  return rows.every(isRow) ? rows.map(([id, version]) => ({ id, version })) : undefined;
}

function isRow(row: unknown): row is readonly [string, string] {
  return Array.isArray(row) && row.length === 2 && row.every(isShortText);
}

function isShortText(value: unknown): boolean {
  return typeof value === 'string' && value !== '' && value.length <= MAX_TEXT_LENGTH;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
