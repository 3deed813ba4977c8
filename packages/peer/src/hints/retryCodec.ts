import type { EndedProcess, ProcessEnd, RetryReport, RetrySummary } from '@camphorvane/decisions';
import { NO_RETRY_REPORT } from '@camphorvane/decisions';
import { decodeRows, isNamedNumber, isNonNegativeNumber } from './hintRowCodec.ts';

/** Values of the end of a process that was lost; a datagram carries the index, or the rows of a report. */
const LOST_TYPES = ['lost', 'lost_early'] as const;

type SlackRow = readonly [string, number];

/** Encodes what a host reports about retry budgets; undefined where there is nothing to report. */
export function encodeRetries(
  report: RetryReport = NO_RETRY_REPORT,
): readonly unknown[] | undefined {
  const { isNew, used, ended } = report;
  if (!isNew && used.length === 0 && ended.length === 0) return undefined;
  return [Number(isNew), used, ended.map(encodeEnded)];
}

/** Decodes a field of {@link encodeRetries}; undefined where it is missing or malformed. */
export function decodeRetries(field: unknown): RetryReport | undefined {
  if (!Array.isArray(field)) return undefined;
  const [isNew, usedRows, endedRows] = field as readonly unknown[];
  const used = decodeRows(usedRows, decodeUse);
  const ended = decodeRows(endedRows, decodeEnded);
  return used === undefined || ended === undefined
    ? undefined
    : { isNew: isNew === 1, used, ended };
}

/** Encodes what all hosts report together; undefined where there is nothing to report. */
export function encodeRetrySummary(
  summary: RetrySummary | undefined,
): readonly unknown[] | undefined {
  if (summary === undefined) return undefined;
  const { used, endedUse, lost, lostEarly } = summary;
  return [lost, lostEarly, used, endedUse];
}

/** Decodes a field of {@link encodeRetrySummary}; undefined where it is missing or malformed. */
export function decodeRetrySummary(field: unknown): RetrySummary | undefined {
  if (!Array.isArray(field)) return undefined;
  const [lost, lostEarly, usedRows, endedRows] = field as readonly unknown[];
  const used = decodeRows(usedRows, decodeUse);
  const endedUse = decodeRows(endedRows, decodeUse);
  if (!isNonNegativeNumber(lost) || !isNonNegativeNumber(lostEarly)) return undefined;
  return used === undefined || endedUse === undefined
    ? undefined
    : { used, endedUse, lost, lostEarly };
}

function encodeEnded({ host, incarnation, ageMs, end }: EndedProcess): readonly unknown[] {
  const how = end.type === 'reported' ? end.used : LOST_TYPES.indexOf(end.type);
  return [host, incarnation, Math.round(ageMs), how];
}

function decodeEnded(row: unknown): EndedProcess | undefined {
  if (!Array.isArray(row)) return undefined;
  const [host, incarnation, ageMs, how] = row as readonly unknown[];
  const end = decodeEnd(how);
  if (typeof host !== 'string' || typeof incarnation !== 'string') return undefined;
  return isNonNegativeNumber(ageMs) && end !== undefined
    ? { host, incarnation, ageMs, end }
    : undefined;
}

function decodeEnd(how: unknown): ProcessEnd | undefined {
  if (isNonNegativeNumber(how)) {
    const type = LOST_TYPES[how];
    return type === undefined ? undefined : { type };
  }
  const used = decodeRows(how, decodeUse);
  return used === undefined ? undefined : { type: 'reported', used };
}

function decodeUse(row: unknown): SlackRow | undefined {
  if (!isNamedNumber(row)) return undefined;
  const [service, retries] = row as SlackRow;
  return [service, Math.max(0, retries)];
}
