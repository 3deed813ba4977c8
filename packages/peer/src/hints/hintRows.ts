import type { UpstreamId } from '@camphorvane/core';
import type { DemandHint, DrainedZones, EngineHint, MoveHint } from './hintParts.ts';

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

/** Numbers of a row about demand. */
const DEMAND_COUNTS = 5;

type DemandRow = readonly [string, number, number, number, number, number];

/** Gets the demand on one pool as a row. */
export function writeDemand(one: DemandHint): DemandRow {
  const { model, requests, promptTokens, onTimeWaiting } = one;
  const memory = [Math.round(one.memoryTokens), Math.round(one.memorySteps)] as const;
  return [model, requests, promptTokens, ...memory, onTimeWaiting];
}

/** Reads a row of {@link writeDemand}; undefined for anything that is none. */
export function readDemand(row: unknown): DemandHint | undefined {
  if (!Array.isArray(row)) return undefined;
  const [model, ...counts] = row as readonly unknown[];
  if (typeof model !== 'string' || counts.length !== DEMAND_COUNTS) return undefined;
  if (!counts.every(isCount)) return undefined;
  const [requests, promptTokens, memoryTokens, memorySteps, onTimeWaiting] = counts;
  return {
    model,
    requests: requests as number,
    promptTokens: promptTokens as number,
    memoryTokens: memoryTokens as number,
    memorySteps: memorySteps as number,
    onTimeWaiting: onTimeWaiting as number,
  };
}

/** Gets an engine that changes its role as a row. */
export function writeMove({ engine, role, leftMs }: MoveHint): readonly [string, string, number] {
  return [engine, role, Math.round(leftMs)];
}

/** Reads a row of {@link writeMove}; undefined for anything that is none. */
export function readMove(row: unknown): MoveHint | undefined {
  if (!Array.isArray(row)) return undefined;
  const [engine, role, leftMs] = row as readonly unknown[];
  if (typeof engine !== 'string' || !isCount(leftMs)) return undefined;
  return role === 'prefill' || role === 'decode' ? { engine, role, leftMs } : undefined;
}

/** Gets the drained zones as a row. */
export function writeDrained({ version, zones }: DrainedZones): readonly (number | string)[] {
  return [version, ...zones];
}

/**
 * Reads a row of {@link writeDrained}; undefined for anything that is none. Hosts of an earlier version,
 * which may run during an update, send no such row.
 */
export function readDrained(row: unknown): DrainedZones | undefined {
  if (row === undefined) return { version: 0, zones: [] };
  if (!Array.isArray(row)) return undefined;
  const [version, ...zones] = row as readonly unknown[];
  return isCount(version) && isNames(zones) ? { version, zones } : undefined;
}

/** Reads all rows of a list; undefined where it is no list, or one of its rows is none. */
export function readRows<T>(
  rows: unknown,
  read: (row: unknown) => T | undefined,
): readonly T[] | undefined {
  if (!Array.isArray(rows)) return undefined;
  const all = rows.map(read);
  const good = all.filter((one) => one !== undefined);
  return good.length === all.length ? good : undefined;
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

/** Tells whether a value is a list of names. */
export function isNames(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every((name) => typeof name === 'string');
}

/** Gets the fields of a datagram; bytes that are no JSON list are no hint. */
export function parseDatagram(bytes: Uint8Array): readonly unknown[] | undefined {
  try {
    const parsed = JSON.parse(Buffer.from(bytes).toString('utf8')) as unknown;
    return Array.isArray(parsed) ? parsed : undefined;
  } catch {
    return undefined;
  }
}
