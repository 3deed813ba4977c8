import type { UsageRow } from '@camphorvane/decisions';
import { MAX_USAGE_ROWS } from '@camphorvane/decisions';
import { decodeRows, isNonNegativeNumber, withoutTrailingEmpty } from './hintRowCodec.ts';

/**
 * Completes the fields of a datagram with the usage of teams, the last one. Without usage, fields that are
 * empty are left out at the end, so that the datagram is the same as before they existed. Empty usage is
 * written: it says that the teams hold nothing any more.
 *
 * @param fields - All fields before the usage.
 * @param fixed - Number of fields that are always written.
 * @param usage - Usage of the teams; undefined where none is reported.
 * @returns The fields to write.
 */
export function withOptionalFields(
  fields: readonly unknown[],
  fixed: number,
  usage: readonly UsageRow[] | undefined,
): readonly unknown[] {
  return usage === undefined ? withoutTrailingEmpty(fields, fixed) : [...fields, usage];
}

/**
 * Decodes the rows of the usage; undefined where one is malformed. Missing rows are valid: hosts of
 * an earlier version, which may run during a rolling update, don't send them. Rows beyond the bound are
 * ignored.
 */
export function decodeUsage(rows: unknown): { readonly usage?: readonly UsageRow[] } | undefined {
  if (rows === undefined) return {};
  const usage = decodeRows(rows, decodeRow);
  return usage === undefined ? undefined : { usage: usage.slice(0, MAX_USAGE_ROWS) };
}

function decodeRow(row: unknown): UsageRow | undefined {
  if (!Array.isArray(row)) return undefined;
  const [team, queue, amount] = row as readonly unknown[];
  if (typeof team !== 'string' || typeof queue !== 'string') return undefined;
  return isNonNegativeNumber(amount) ? [team, queue, amount] : undefined;
}
