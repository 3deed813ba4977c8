import type {
  HostId,
  Incarnation,
  Millis,
  ServiceId,
  TeamId,
  Tokens,
  UpstreamId,
} from '@camphorvane/core';
import {
  isCharge,
  isCount,
  isNames,
  parseDatagram,
  readDemand,
  readDrained,
  readMove,
  readRow,
  readRows,
  writeDemand,
  writeDrained,
  writeMove,
  writeRow,
} from './hintRows.ts';
import type { DemandHint, DrainedZones, EngineHint, MoveHint } from './hintParts.ts';

/** Index of the unresponsive engines among the fields; earlier fields are destructured by name. */
const DOWN_INDEX = 9;

/** Values of {@link DigestFrequency}; a datagram carries the index. */
const DIGEST_FREQUENCIES = ['none', 'seldom', 'often'] as const;

/** How often a host asks a relay for digests. */
export type DigestWish = (typeof DIGEST_FREQUENCIES)[number];

/**
 * The state that a host gossips to its peers several times a second.
 *
 * A hint is one unacknowledged datagram: a lost or late hint is replaced by the next one, and a host
 * whose hints stop is counted as gone after its TTL.
 */
export interface HostHint {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Increases with each hint of one incarnation; hints that arrive out of order are dropped. */
  readonly sequence: number;
  readonly leaving: boolean;
  /** How often the host asks the receiver for digests. */
  readonly digests: DigestWish;
  /** Whether the host accepts callers; otherwise it is on standby. */
  readonly serving: boolean;
  /** Milliseconds within which the host sends its next hint. */
  readonly nextMs: Millis;
  readonly engines: readonly EngineHint[];
  /** Tokens charged to each team since the host started. */
  readonly charged: readonly (readonly [TeamId, Tokens])[];
  readonly demand: readonly DemandHint[];
  readonly moves: readonly MoveHint[];
  /** Engines that the host found unresponsive. */
  readonly down: readonly UpstreamId[];
  /** Calls of the host in flight or queued for each plain service. */
  readonly calls: readonly (readonly [ServiceId, number])[];
  /** Store versions up to which the host has read the configuration and the servers. */
  readonly versions: { readonly config: number; readonly servers: number };
  readonly drained: DrainedZones;
}

/**
 * Encodes a hint as a JSON array of positional fields, to keep the datagram small.
 *
 * @param hint - The hint.
 * @returns The datagram.
 */
export function encodeHint(hint: HostHint): Buffer {
  const rows = hint.engines.map(writeRow);
  const { host, incarnation, sequence, leaving, charged, versions } = hint;
  const versionRow = [versions.config, versions.servers];
  const demand = hint.demand.map(writeDemand);
  const moves = hint.moves.map(writeMove);
  const flags = [Number(leaving), DIGEST_FREQUENCIES.indexOf(hint.digests), Number(hint.serving)];
  const fields = [
    host,
    incarnation,
    sequence,
    flags,
    rows,
    charged,
    versionRow,
    demand,
    moves,
    hint.down,
    hint.calls,
    Math.round(hint.nextMs),
    writeDrained(hint.drained),
  ];
  return Buffer.from(JSON.stringify(fields));
}

/**
 * Decodes a datagram.
 *
 * @param bytes - The datagram.
 * @returns The hint; undefined where the datagram is not a well-formed hint.
 */
export function decodeHint(bytes: Uint8Array): HostHint | undefined {
  const fields = parseDatagram(bytes);
  if (fields === undefined) return undefined;
  const [host, incarnation, sequence, flags, rows, charged, versions, demandRows, moveRows] =
    fields;
  const [down, calls, nextMs, drainedRow] = fields.slice(DOWN_INDEX);
  if (typeof host !== 'string' || typeof incarnation !== 'string') return undefined;
  if (typeof sequence !== 'number' || !Array.isArray(rows)) return undefined;
  if (!Array.isArray(charged) || !charged.every(isCharge)) return undefined;
  const [config, servers] = Array.isArray(versions) ? (versions as readonly unknown[]) : [];
  if (!isCount(config) || !isCount(servers)) return undefined;
  if (!isCount(nextMs)) return undefined;
  if (!isNames(down) || !Array.isArray(calls) || !calls.every(isCharge)) return undefined;
  const engines = readRows(rows, readRow);
  const demandHints = readRows(demandRows, readDemand);
  const moveHints = readRows(moveRows, readMove);
  if (engines === undefined || demandHints === undefined || moveHints === undefined)
    return undefined;
  const drained = readDrained(drainedRow);
  if (drained === undefined) return undefined;
  const [leaving, digestFrequency, serving] = Array.isArray(flags)
    ? (flags as readonly unknown[])
    : [];
  return {
    host,
    incarnation,
    sequence,
    leaving: leaving === 1,
    digests: DIGEST_FREQUENCIES[Number(digestFrequency)] ?? 'none',
    serving: serving === 1,
    nextMs,
    engines,
    charged: charged as readonly (readonly [TeamId, Tokens])[],
    demand: demandHints,
    moves: moveHints,
    down,
    calls: calls as readonly (readonly [ServiceId, number])[],
    versions: { config, servers },
    drained,
  };
}
