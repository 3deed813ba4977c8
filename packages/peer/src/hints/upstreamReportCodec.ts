import type { UpstreamId } from '@camphorvane/core';
import type { UpstreamReport } from '@camphorvane/decisions';
import { decodeRows, isNonNegativeNumber } from './hintRowCodec.ts';

/** Stands in place of a limit where the upstream no longer names one. */
const NO_LIMIT = -1;

/** Stands in place of a limit where the upstream is leaving. */
const LEAVING = -2;

type ReportRow = readonly [UpstreamId, number, number];

/** Encodes what upstreams said as rows. */
export function encodeUpstreamReports(reports: readonly UpstreamReport[]): readonly ReportRow[] {
  return reports.map((report): ReportRow => {
    const ageMs = Math.round(report.ageMs);
    switch (report.type) {
      case 'limit':
        return [report.upstream, report.requestsPerSecond, ageMs];
      case 'no_limit':
        return [report.upstream, NO_LIMIT, ageMs];
      case 'leaving':
        return [report.upstream, LEAVING, ageMs];
      default:
        return report satisfies never;
    }
  });
}

/**
 * Decodes rows of {@link encodeUpstreamReports}; undefined where one is malformed. Missing rows are valid:
 * hosts of an earlier version, which may run during a rolling update, don't send them.
 */
export function decodeUpstreamReports(rows: unknown): readonly UpstreamReport[] | undefined {
  return rows === undefined ? [] : decodeRows(rows, decodeReport);
}

function decodeReport(row: unknown): UpstreamReport | undefined {
  if (!Array.isArray(row)) return undefined;
  const [upstream, value, ageMs] = row as readonly unknown[];
  if (typeof upstream !== 'string' || !isNonNegativeNumber(ageMs)) return undefined;
  if (value === NO_LIMIT) return { type: 'no_limit', upstream, ageMs };
  if (value === LEAVING) return { type: 'leaving', upstream, ageMs };
  if (!isNonNegativeNumber(value)) return undefined;
  return { type: 'limit', upstream, requestsPerSecond: value, ageMs };
}
