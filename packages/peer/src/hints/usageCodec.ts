import type { UsageRow } from '@camphorvane/decisions';
import { MAX_USAGE_ROWS } from '@camphorvane/decisions';
import { decodeRows, isNonNegativeNumber } from './hintRowCodec.ts';

/**
 * Decodes the rows of the usage; undefined where one is malformed. Missing rows are valid: hosts of
 * an earlier version, which may run during a rolling update, don't send them. Rows beyond the bound are
 * ignored.
 */
export function decodeUsage(rows: unknown): { readonly usage?: readonly UsageRow[] } | undefined {
  if (rows === undefined || rows === null) return {};
  const usage = decodeRows(rows, decodeRow);
  return usage === undefined ? undefined : { usage: usage.slice(0, MAX_USAGE_ROWS) };
}

function decodeRow(row: unknown): UsageRow | undefined {
  if (!Array.isArray(row)) return undefined;
  const [team, queue, amount] = row as readonly unknown[];
  if (typeof team !== 'string' || typeof queue !== 'string') return undefined;
  return isNonNegativeNumber(amount) ? [team, queue, amount] : undefined;
}
