import type { UpstreamId } from '@camphorvane/core';
import type { CallTime } from '@camphorvane/decisions';
import { decodeRows, isNonNegativeNumber } from './hintRowCodec.ts';

type CallTimeRow = readonly [UpstreamId, number, number];

/** Digits after the point of a time: the time between two tokens is less than a millisecond. */
const PRECISION = 1_000;

/** Encodes how fast upstreams have been as rows. */
export function encodeCallTimes(times: readonly CallTime[] = []): readonly CallTimeRow[] {
  return times.map(({ upstream, ms, ageMs }) => [
    upstream,
    Math.round(ms * PRECISION) / PRECISION,
    Math.round(ageMs),
  ]);
}

/**
 * Decodes rows of {@link encodeCallTimes}; undefined where one is malformed. Missing rows are valid: hosts
 * of an earlier version, which may run during a rolling update, don't send them.
 */
export function decodeCallTimes(rows: unknown): readonly CallTime[] | undefined {
  return rows === undefined ? [] : decodeRows(rows, decodeCallTime);
}

function decodeCallTime(row: unknown): CallTime | undefined {
  if (!Array.isArray(row)) return undefined;
  const [upstream, ms, ageMs] = row as readonly unknown[];
  if (typeof upstream !== 'string' || !isNonNegativeNumber(ms) || !isNonNegativeNumber(ageMs))
    return undefined;
  return { upstream, ms, ageMs };
}
