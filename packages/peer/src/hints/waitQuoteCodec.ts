import type { QueueQuote } from '@camphorvane/decisions';
import { decodeRows, isNonNegativeNumber } from './hintRowCodec.ts';

/** Factor that keeps a decimal of the number of turns. */
const TURNS_SCALE = 10;

type QuoteRow = readonly [string, number, number, number];

/** Encodes the waits that refused callers are told as rows. */
export function encodeWaitQuotes(quotes: readonly QueueQuote[]): readonly QuoteRow[] {
  return quotes.map(({ queue, priority, waitMs, turns }): QuoteRow => {
    const shortTurns = Math.round(turns * TURNS_SCALE) / TURNS_SCALE;
    return [queue, priority, Math.round(waitMs), shortTurns];
  });
}

/**
 * Decodes rows of {@link encodeWaitQuotes}; undefined where one is malformed. Missing rows are valid: hosts
 * of an earlier version, which may run during a rolling update, and hosts without turns don't send them.
 */
export function decodeWaitQuotes(rows: unknown): readonly QueueQuote[] | undefined {
  return rows === undefined ? [] : decodeRows(rows, decodeQuote);
}

function decodeQuote(row: unknown): QueueQuote | undefined {
  if (!Array.isArray(row)) return undefined;
  const [queue, priority, waitMs, turns] = row as readonly unknown[];
  if (typeof queue !== 'string' || !Number.isFinite(priority)) return undefined;
  if (!isNonNegativeNumber(waitMs) || !isNonNegativeNumber(turns)) return undefined;
  return { queue, priority: priority as number, waitMs, turns };
}
