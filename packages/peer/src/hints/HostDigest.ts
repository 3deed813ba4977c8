import type { HostId, Incarnation, ServiceId, TeamId, Tokens, UpstreamId } from '@camphorvane/core';
import type { DemandHint, DrainedZones, EngineHint, MoveHint } from './hintParts.ts';
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

/** First field of a digest's datagram; a hint has a host's name there and another shape. */
const TAG = 'digest';

/** Place of the demand among the fields; those before it are read by name. */
const DEMAND_FIELD = 10;

const START = Buffer.from(`["${TAG}",`);

/**
 * What a relaying host tells one other host of all the rest, in place of a hint from each of them.
 *
 * With every host speaking to every other, hints grow with the square of the fleet. A digest holds
 * sums, so its size depends on engines and teams and not on hosts.
 */
export interface HostDigest {
  /** The relaying host. */
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Grows with each digest of one start. */
  readonly sequence: number;
  /** Hosts whose hints are in the sums, the receiver left out. */
  readonly heard: number;
  /** What these hosts have on each engine. */
  readonly engines: readonly EngineHint[];
  /** Tokens that these hosts have charged to each team since the relay first heard of them. */
  readonly charged: readonly (readonly [TeamId, Tokens])[];
  /** What was asked of these hosts for each pool since the relay first heard of them. */
  readonly demand: readonly DemandHint[];
  /** Engines that any of them has ordered into another role. */
  readonly moves: readonly MoveHint[];
  /** Engines that gave no answer to one of these hosts. */
  readonly down: readonly UpstreamId[];
  /** Calls that these hosts have on each plain service, or waiting for it. */
  readonly calls: readonly (readonly [ServiceId, number])[];
  /** Hosts with a record in the store that the relay has not heard lately. */
  readonly silent: readonly HostId[];
  readonly leaving: readonly HostId[];
  /** Hosts that take callers. */
  readonly serving: readonly HostId[];
  /** Newest versions of the store's changes that any of them knows. */
  readonly versions: { readonly config: number; readonly servers: number };
  /** Drained zones as the host says that has read them last. */
  readonly drained: DrainedZones;
}

/**
 * Writes a digest as JSON, fields by place.
 *
 * @param digest - The digest.
 * @returns The datagram.
 */
export function encodeDigest(digest: HostDigest): Buffer {
  const { host, incarnation, sequence, heard, engines, charged, silent, leaving } = digest;
  const known = [digest.versions.config, digest.versions.servers];
  const rows = engines.map(writeRow);
  return Buffer.from(
    JSON.stringify([
      TAG,
      host,
      incarnation,
      sequence,
      heard,
      rows,
      charged,
      silent,
      leaving,
      known,
      digest.demand.map(writeDemand),
      digest.moves.map(writeMove),
      digest.down,
      digest.calls,
      digest.serving,
      writeDrained(digest.drained),
    ]),
  );
}

/**
 * Reads a datagram.
 *
 * @param bytes - What arrived.
 * @returns The digest; undefined for anything that is none.
 */
export function decodeDigest(bytes: Uint8Array): HostDigest | undefined {
  const fields = parseDatagram(bytes);
  if (fields?.[0] !== TAG) return undefined;
  const [, host, incarnation, sequence, heard, rows, charged, silent, leaving, known] = fields;
  const [demand, moves, down, calls, serving, drainedRow] = fields.slice(DEMAND_FIELD);
  if (typeof host !== 'string' || typeof incarnation !== 'string') return undefined;
  if (!isCount(sequence) || !isCount(heard) || !Array.isArray(rows)) return undefined;
  if (!Array.isArray(charged) || !charged.every(isCharge)) return undefined;
  if (!Array.isArray(calls) || !calls.every(isCharge)) return undefined;
  if (!isNames(silent) || !isNames(leaving) || !isNames(serving)) return undefined;
  if (!isNames(down)) return undefined;
  const [config, servers] = Array.isArray(known) ? (known as readonly unknown[]) : [];
  if (!isCount(config) || !isCount(servers)) return undefined;
  const drained = readDrained(drainedRow);
  if (drained === undefined) return undefined;
  const engines = readRows(rows, readRow);
  const asked = readRows(demand, readDemand);
  const moving = readRows(moves, readMove);
  if (engines === undefined || asked === undefined || moving === undefined) return undefined;
  return {
    ...{ host, incarnation, sequence, heard, engines, silent, leaving, serving },
    ...{ demand: asked, moves: moving, down },
    calls: calls as readonly (readonly [ServiceId, number])[],
    charged: charged as readonly (readonly [TeamId, Tokens])[],
    versions: { config, servers },
    drained,
  };
}

/** Tells by its first bytes whether a datagram is a digest, without reading it. */
export function isDigest(bytes: Uint8Array): boolean {
  return START.equals(bytes.subarray(0, START.length));
}
