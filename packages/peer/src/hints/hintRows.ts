import type { UpstreamId } from '@camphorvane/core';
import type { EngineHint } from './HostHint.ts';

type EngineRow = readonly [UpstreamId, number, number, number];

/** Gets an engine's use as a row; a quarter of the bytes of named fields. */
export function writeRow(one: EngineHint): EngineRow {
  return [one.engine, one.prefillTokens, one.streams, Math.round(one.memoryTokens)];
}

/** Reads a row; undefined for anything that is none. */
export function readRow(row: unknown): EngineHint | undefined {
  if (!Array.isArray(row)) return undefined;
  const [engine, prefillTokens, streams, memoryTokens] = row as readonly unknown[];
  if (typeof engine !== 'string') return undefined;
  if (![prefillTokens, streams, memoryTokens].every(isCount)) return undefined;
  return {
    engine,
    prefillTokens: prefillTokens as number,
    streams: streams as number,
    memoryTokens: memoryTokens as number,
  };
}

/** Tells whether a value is a team with the tokens charged to it. */
export function isCharge(row: unknown): boolean {
  if (!Array.isArray(row)) return false;
  const [team, tokens] = row as readonly unknown[];
  return typeof team === 'string' && typeof tokens === 'number' && Number.isFinite(tokens);
}

/** Tells whether a value is a number from 0 on. */
export function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Gets the fields of a datagram; bytes that are no JSON list are nobody's word. */
export function parseDatagram(bytes: Uint8Array): readonly unknown[] | undefined {
  try {
    const parsed = JSON.parse(Buffer.from(bytes).toString('utf8')) as unknown;
    return Array.isArray(parsed) ? parsed : undefined;
  } catch {
    return undefined;
  }
}
