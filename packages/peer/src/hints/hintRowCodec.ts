import type { UpstreamId } from '@camphorvane/core';
import { isVersion } from '@camphorvane/store';
import type { DemandHint, DrainedZones, EngineHint, RoleChangeHint } from './hintParts.ts';

type EngineRow = readonly [UpstreamId, ...number[]];

/** Index of the held memory in an engine row. */
const HELD_INDEX = 4;

/** Growth is sent in tokens per second, rounded: a fraction would take twice the bytes. */
const MS_PER_SECOND = 1_000;

/** Encodes an engine's work as a row, which takes a quarter of the bytes of named fields. */
export function encodeEngineHint(one: EngineHint): EngineRow {
  const { engine, prefillTokens, streams, memoryTokens, held } = one;
  const row: EngineRow = [engine, prefillTokens, streams, Math.round(memoryTokens)];
  if (held === undefined) return row;
  return [...row, Math.round(held.tokens), Math.round(held.growthPerMs * MS_PER_SECOND)];
}

/**
 * Decodes a row of {@link encodeEngineHint}; undefined where it is malformed. Without the held memory it
 * is valid: hosts of an earlier version, and hosts that don't track it, don't send it.
 */
export function decodeEngineHint(row: unknown): EngineHint | undefined {
  if (!Array.isArray(row)) return undefined;
  const [engine, prefillTokens, streams, memoryTokens, heldTokens = 0, growth = 0] =
    row as readonly unknown[];
  if (typeof engine !== 'string') return undefined;
  const figures = [prefillTokens, streams, memoryTokens, heldTokens, growth];
  if (!figures.every(isNonNegativeNumber)) return undefined;
  const held = { tokens: heldTokens as number, growthPerMs: (growth as number) / MS_PER_SECOND };
  return {
    engine,
    prefillTokens: prefillTokens as number,
    streams: streams as number,
    memoryTokens: memoryTokens as number,
    ...(row.length > HELD_INDEX ? { held } : {}),
  };
}

/** Count of the numbers after the model in a demand row. */
const DEMAND_NUMBER_COUNT = 5;

type DemandRow = readonly [string, number, number, number, number, number];

/** Encodes the demand on one pool as a row. */
export function encodeDemandHint(one: DemandHint): DemandRow {
  const { model, requests, promptTokens, onTimeWaiting } = one;
  const memory = [Math.round(one.memoryTokens), Math.round(one.memorySteps)] as const;
  return [model, requests, promptTokens, ...memory, onTimeWaiting];
}

/** Decodes a row of {@link encodeDemandHint}; undefined where it is malformed. */
export function decodeDemandHint(row: unknown): DemandHint | undefined {
  if (!Array.isArray(row)) return undefined;
  const [model, ...counts] = row as readonly unknown[];
  if (typeof model !== 'string' || counts.length !== DEMAND_NUMBER_COUNT) return undefined;
  if (!counts.every(isNonNegativeNumber)) return undefined;
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

/** Encodes a role change as a row. */
export function encodeRoleChangeHint({
  engine,
  role,
  leftMs,
}: RoleChangeHint): readonly [string, string, number] {
  return [engine, role, Math.round(leftMs)];
}

/** Decodes a row of {@link encodeRoleChangeHint}; undefined where it is malformed. */
export function decodeRoleChangeHint(row: unknown): RoleChangeHint | undefined {
  if (!Array.isArray(row)) return undefined;
  const [engine, role, leftMs] = row as readonly unknown[];
  if (typeof engine !== 'string' || !isNonNegativeNumber(leftMs)) return undefined;
  return role === 'prefill' || role === 'decode' ? { engine, role, leftMs } : undefined;
}

/** Encodes the drained zones as a row. */
export function encodeDrainedZones({ version, zones }: DrainedZones): readonly (number | string)[] {
  return [version, ...zones];
}

/**
 * Decodes a row of {@link encodeDrainedZones}; undefined where it is malformed. A missing row is
 * valid: hosts of an earlier version, which may run during a rolling update, don't send it.
 */
export function decodeDrainedZones(row: unknown): DrainedZones | undefined {
  if (row === undefined) return { version: 0, zones: [] };
  if (!Array.isArray(row)) return undefined;
  const [version, ...zones] = row as readonly unknown[];
  return isVersion(version) && isStringArray(zones) ? { version, zones } : undefined;
}

/** Decodes a list of rows; undefined where the value is not a list or any row is malformed. */
export function decodeRows<T>(
  rows: unknown,
  read: (row: unknown) => T | undefined,
): readonly T[] | undefined {
  if (!Array.isArray(rows)) return undefined;
  const decoded = rows.map(read);
  const valid = decoded.filter((one) => one !== undefined);
  return valid.length === decoded.length ? valid : undefined;
}

/** Tells whether a value is a pair of a name and a number: a team's tokens, or a service's calls. */
export function isNamedNumber(row: unknown): boolean {
  if (!Array.isArray(row)) return false;
  const [name, amount] = row as readonly unknown[];
  return typeof name === 'string' && typeof amount === 'number' && Number.isFinite(amount);
}

/** Tells whether a value is a finite number of at least 0. */
export function isNonNegativeNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Tells whether a value is a list of strings. */
export function isStringArray(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every((name) => typeof name === 'string');
}

/**
 * Leaves out the empty lists at the end of a datagram's fields, so that a feature that is off changes no
 * datagram.
 *
 * @param fields - All fields.
 * @param count - Number of fields that are always sent.
 * @returns The fields to send.
 */
export function withoutTrailingEmpty(
  fields: readonly unknown[],
  count: number,
): readonly unknown[] {
  const last = fields.findLastIndex((field) => !Array.isArray(field) || field.length > 0);
  return fields.slice(0, Math.max(count, last + 1));
}

/** Parses the fields of a datagram; undefined where the bytes are not a JSON array. */
export function parseDatagram(bytes: Uint8Array): readonly unknown[] | undefined {
  try {
    const parsed = JSON.parse(Buffer.from(bytes).toString('utf8')) as unknown;
    return Array.isArray(parsed) ? parsed : undefined;
  } catch {
    return undefined;
  }
}
