import type { HostId, Incarnation, TeamId, Tokens, UpstreamId } from '@camphorvane/core';

/** What a host has on one engine, as it tells its peers. */
export interface EngineHint {
  readonly engine: UpstreamId;
  readonly prefillTokens: Tokens;
  readonly streams: number;
  readonly memoryTokens: Tokens;
}

/**
 * What a host tells all others several times a second.
 *
 * A hint that is lost or late does no harm: the next one replaces it, and who hears nothing counts
 * the host as gone after a while. So it travels as one datagram, without an answer.
 */
export interface HostHint {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Grows with each hint of one start; an older one that arrives later is dropped. */
  readonly sequence: number;
  readonly leaving: boolean;
  readonly engines: readonly EngineHint[];
  /** Tokens charged to each team since the host started. */
  readonly charged: readonly (readonly [TeamId, Tokens])[];
  /** Versions of the store's changes up to which the host knows configuration and servers. */
  readonly versions: { readonly config: number; readonly servers: number };
}

type EngineRow = readonly [UpstreamId, number, number, number];

/**
 * Writes a hint in as few bytes as JSON takes: fields by place, engines as rows.
 *
 * @param hint - The hint.
 * @returns The datagram.
 */
export function encodeHint(hint: HostHint): Buffer {
  const rows = hint.engines.map((one): EngineRow => [
    one.engine,
    one.prefillTokens,
    one.streams,
    one.memoryTokens,
  ]);
  const { host, incarnation, sequence, leaving, charged, versions } = hint;
  const known = [versions.config, versions.servers];
  const fields = [host, incarnation, sequence, leaving ? 1 : 0, rows, charged, known];
  return Buffer.from(JSON.stringify(fields));
}

/**
 * Reads a datagram.
 *
 * @param bytes - What arrived.
 * @returns The hint; undefined for anything that is none.
 */
export function decodeHint(bytes: Uint8Array): HostHint | undefined {
  const parsed = parseJson(bytes);
  if (!Array.isArray(parsed)) return undefined;
  const [host, incarnation, sequence, leaving, rows, charged, known] = parsed as readonly unknown[];
  if (typeof host !== 'string' || typeof incarnation !== 'string') return undefined;
  if (typeof sequence !== 'number' || !Array.isArray(rows)) return undefined;
  if (!Array.isArray(charged) || !charged.every(isCharge)) return undefined;
  const [config, servers] = Array.isArray(known) ? (known as readonly unknown[]) : [];
  if (!isCount(config) || !isCount(servers)) return undefined;
  const engines = rows.map(readRow);
  if (engines.some((engine) => engine === undefined)) return undefined;
  return {
    host,
    incarnation,
    sequence,
    leaving: leaving === 1,
    engines: engines.filter((engine) => engine !== undefined),
    charged: charged as readonly (readonly [TeamId, Tokens])[],
    versions: { config, servers },
  };
}

function readRow(row: unknown): EngineHint | undefined {
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

function isCharge(row: unknown): boolean {
  if (!Array.isArray(row)) return false;
  const [team, tokens] = row as readonly unknown[];
  return typeof team === 'string' && typeof tokens === 'number' && Number.isFinite(tokens);
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Bytes that are no JSON are no hint; there is nobody to tell. */
function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
