import type { StreamOrigin } from '@camphorvane/decisions';

/** First bytes of a datagram with origins; hosts that don't know it read no hint in it. */
const PREFIX = Buffer.from('origins ');

/**
 * Precedes the id in a row that names the pool of a stream; no id begins with a blank. A host of an earlier program
 * takes such a row for the origin of another stream, which nobody takes up.
 */
const POOL_MARK = ' pool ';

/** Most rows in one datagram; each takes up to 100 bytes, and a datagram should fit into few packets. */
const MAX_ROWS = 64;

/** Most origins in one datagram, with a row for the version and one for the pool of each. */
export const MAX_ORIGINS_PER_DATAGRAM = MAX_ROWS / 2;

const MAX_TEXT_LENGTH = 128;

type Row = readonly [string, string];

/** Encodes origins; those with a text that is too long are left out, since a peer would drop the whole datagram. */
export function encodeOrigins(origins: readonly StreamOrigin[]): Buffer {
  const rows = origins
    .map(rowsOf)
    .filter((own) => own.every(isRow))
    .flat();
  return Buffer.concat([PREFIX, Buffer.from(JSON.stringify(rows))]);
}

/** Decodes origins; undefined where a datagram holds something else, or is malformed. */
export function decodeOrigins(bytes: Uint8Array): readonly StreamOrigin[] | undefined {
  if (!PREFIX.equals(bytes.subarray(0, PREFIX.length))) return undefined;
  const rows = parseJson(Buffer.from(bytes.subarray(PREFIX.length)).toString('utf8'));
  if (!Array.isArray(rows) || rows.length > MAX_ROWS || !rows.every(isRow)) return undefined;
  const pools = new Map(rows.filter(([key]) => key.startsWith(POOL_MARK)));
  return rows
    .filter(([key]) => !key.startsWith(POOL_MARK))
    .map(([id, version]) => {
      const pool = pools.get(`${POOL_MARK}${id}`);
      return pool === undefined ? { id, version } : { id, version, pool };
    });
}

function rowsOf({ id, version, pool }: StreamOrigin): readonly Row[] {
  const row: Row = [id, version];
  return pool === undefined ? [row] : [row, [`${POOL_MARK}${id}`, pool]];
}

function isRow(row: unknown): row is Row {
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
