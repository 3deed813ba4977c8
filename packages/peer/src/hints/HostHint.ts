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

/** Place of the engines that are down among the fields; those before it are read by name. */
const DOWN_FIELD = 9;

/** How often a host wants digests; each place is the number that stands for it in a datagram. */
const DIGEST_WISHES = ['none', 'seldom', 'often'] as const;

/** How often a host wants digests. */
export type DigestWish = (typeof DIGEST_WISHES)[number];

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
  /** How often the host wants digests from the receiver. */
  readonly digests: DigestWish;
  /** Whether the host takes callers; one that does not stands by. */
  readonly serving: boolean;
  /** Milliseconds within which the host's next hint is to come. */
  readonly nextMs: Millis;
  readonly engines: readonly EngineHint[];
  /** Tokens charged to each team since the host started. */
  readonly charged: readonly (readonly [TeamId, Tokens])[];
  readonly demand: readonly DemandHint[];
  readonly moves: readonly MoveHint[];
  /** Engines that gave no answer to the host. */
  readonly down: readonly UpstreamId[];
  /** Calls that the host has on each plain service, or waiting for it. */
  readonly calls: readonly (readonly [ServiceId, number])[];
  /** Versions of the store's changes up to which the host knows configuration and servers. */
  readonly versions: { readonly config: number; readonly servers: number };
  readonly drained: DrainedZones;
}

/**
 * Writes a hint in as few bytes as JSON takes: fields by place, engines as rows.
 *
 * @param hint - The hint.
 * @returns The datagram.
 */
export function encodeHint(hint: HostHint): Buffer {
  const rows = hint.engines.map(writeRow);
  const { host, incarnation, sequence, leaving, charged, versions } = hint;
  const known = [versions.config, versions.servers];
  const demand = hint.demand.map(writeDemand);
  const moves = hint.moves.map(writeMove);
  const flags = [Number(leaving), DIGEST_WISHES.indexOf(hint.digests), Number(hint.serving)];
  const fields = [
    host,
    incarnation,
    sequence,
    flags,
    rows,
    charged,
    known,
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
 * Reads a datagram.
 *
 * @param bytes - What arrived.
 * @returns The hint; undefined for anything that is none.
 */
export function decodeHint(bytes: Uint8Array): HostHint | undefined {
  const fields = parseDatagram(bytes);
  if (fields === undefined) return undefined;
  const [host, incarnation, sequence, flags, rows, charged, known, demand, moves] = fields;
  const [down, calls, nextMs, drainedRow] = fields.slice(DOWN_FIELD);
  if (typeof host !== 'string' || typeof incarnation !== 'string') return undefined;
  if (typeof sequence !== 'number' || !Array.isArray(rows)) return undefined;
  if (!Array.isArray(charged) || !charged.every(isCharge)) return undefined;
  const [config, servers] = Array.isArray(known) ? (known as readonly unknown[]) : [];
  if (!isCount(config) || !isCount(servers)) return undefined;
  if (!isCount(nextMs)) return undefined;
  if (!isNames(down) || !Array.isArray(calls) || !calls.every(isCharge)) return undefined;
  const engines = readRows(rows, readRow);
  const asked = readRows(demand, readDemand);
  const moving = readRows(moves, readMove);
  if (engines === undefined || asked === undefined || moving === undefined) return undefined;
  const drained = readDrained(drainedRow);
  if (drained === undefined) return undefined;
  const [leaving, wish, serving] = Array.isArray(flags) ? (flags as readonly unknown[]) : [];
  return {
    host,
    incarnation,
    sequence,
    leaving: leaving === 1,
    digests: DIGEST_WISHES[Number(wish)] ?? 'none',
    serving: serving === 1,
    nextMs,
    engines,
    charged: charged as readonly (readonly [TeamId, Tokens])[],
    demand: asked,
    moves: moving,
    down,
    calls: calls as readonly (readonly [ServiceId, number])[],
    versions: { config, servers },
    drained,
  };
}
