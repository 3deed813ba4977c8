import type { HostId, Incarnation, ServiceId, TeamId, Tokens, UpstreamId } from '@camphorvane/core';
import type {
  CallTime,
  QueueQuote,
  ReachSummary,
  RetrySummary,
  SuspicionReports,
  UpstreamReport,
  UsageRow,
} from '@camphorvane/decisions';
import type { ContactReport } from '@camphorvane/store';
import { isVersion } from '@camphorvane/store';
import type { DemandHint, DrainedZones, EngineHint, RoleChangeHint } from './hintParts.ts';
import { decodeContact, encodeContact } from './contactCodec.ts';
import { decodeCallTimes } from './callTimeCodec.ts';
import { decodeSuspicion, isEmptySuspicion } from './suspicionCodec.ts';
import { decodeUpstreamReports, encodeUpstreamReports } from './upstreamReportCodec.ts';
import { withOptionalFields } from './optionalFields.ts';
import { decodeReachSummary, encodeReachSummary } from './reachCodec.ts';
import { decodeRetrySummary, encodeRetrySummary } from './retryCodec.ts';
import { decodeUsage } from './usageCodec.ts';
import { decodeWaitQuotes, encodeWaitQuotes } from './waitQuoteCodec.ts';
import {
  isNamedNumber,
  isNonNegativeNumber,
  isStringArray,
  parseDatagram,
  decodeDemandHint,
  decodeDrainedZones,
  decodeRoleChangeHint,
  decodeEngineHint,
  decodeRows,
  encodeDemandHint,
  encodeDrainedZones,
  encodeRoleChangeHint,
  encodeEngineHint,
} from './hintRowCodec.ts';

/** First field of a digest's datagram; a hint has the host id there. */
const DIGEST_TAG = 'digest';

/** Index of the demand rows among the fields; the fields before it are destructured by name. */
const DEMAND_INDEX = 10;

/** Number of fields that every digest has; the later ones are left out where they are empty. */
const FIXED_FIELDS = 17;
/** Index of the call times, four places after the reports on upstreams. */
const CALL_TIMES_INDEX = 20;
/** Index of the reports on requests that were running on upstreams that crashed. */
const SUSPICION_INDEX = 21;
/** Index of the services that hosts reach. */
const REACH_INDEX = 22;
/** Index of what hosts have used of retry budgets. */
const RETRIES_INDEX = 23;

const DIGEST_PREFIX = Buffer.from(`["${DIGEST_TAG}",`);

/**
 * Sums of the hints of all other hosts, sent by a relay to one receiver in place of each host's hint.
 *
 * With all-to-all gossip the number of hints grows with the square of the fleet. A digest holds
 * sums, so its size depends on engines and teams and not on hosts.
 */
export interface HostDigest {
  /** The relaying host. */
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Increases with each digest of one incarnation. */
  readonly sequence: number;
  /** Number of hosts whose hints are in the sums, without the receiver. */
  readonly hostCount: number;
  /** Work in flight from these hosts on each engine. */
  readonly engines: readonly EngineHint[];
  /** Tokens that these hosts have charged to each team since the relay first received their hints. */
  readonly charged: readonly (readonly [TeamId, Tokens])[];
  /** Demand on these hosts for each pool since the relay first received their hints. */
  readonly demand: readonly DemandHint[];
  /** Role changes that any of these hosts has ordered. */
  readonly moves: readonly RoleChangeHint[];
  /** Engines that one of these hosts found unresponsive. */
  readonly down: readonly UpstreamId[];
  /** Calls of these hosts in flight or queued for each plain service. */
  readonly calls: readonly (readonly [ServiceId, number])[];
  /** Hosts with a record in the store whose hints to the relay have timed out. */
  readonly silent: readonly HostId[];
  readonly leaving: readonly HostId[];
  /** Hosts that accept callers. */
  readonly serving: readonly HostId[];
  /** Newest store versions that any of these hosts has read. */
  readonly versions: { readonly config: number; readonly servers: number };
  /** When the store responded to the relaying host; absent before its first response. */
  readonly contact?: ContactReport;
  /** True if no host is known that watches the store and gets answers; absent otherwise. */
  readonly unwatched?: true;
  /** Drained zones at the newest store version that any of these hosts has read. */
  readonly drained: DrainedZones;
  /** What upstreams said in recent answers to any of these hosts. */
  readonly upstreams: readonly UpstreamReport[];
  /** Average waits that these hosts tell the callers that they refuse. */
  readonly quotes: readonly QueueQuote[];
  /** What teams hold on these hosts together; absent where none of them reports usage. */
  readonly usage?: readonly UsageRow[];
  /** How fast upstreams were lately; absent where nothing is reported. */
  readonly callTimes?: readonly CallTime[];
  /** Requests that were running on upstreams that crashed; absent where nothing is reported. */
  readonly suspicion?: SuspicionReports;
  /** Which services hosts reach; absent where none of them reports it. */
  readonly reach?: ReachSummary;
  /** What these hosts have used of retry budgets; absent from an earlier program. */
  readonly retries?: RetrySummary;
}

/**
 * Encodes a digest as a JSON array of positional fields.
 *
 * @param digest - The digest.
 * @returns The datagram.
 */
export function encodeDigest(digest: HostDigest): Buffer {
  const { host, incarnation, sequence, hostCount, engines, charged, silent, leaving } = digest;
  const isWithContact = digest.unwatched === true || digest.contact !== undefined;
  const versions = [
    digest.versions.config,
    digest.versions.servers,
    ...(isWithContact ? [Number(digest.unwatched === true)] : []),
    ...encodeContact(digest.contact),
  ];
  const rows = engines.map(encodeEngineHint);
  const fields = [
    DIGEST_TAG,
    host,
    incarnation,
    sequence,
    hostCount,
    rows,
    charged,
    silent,
    leaving,
    versions,
    digest.demand.map(encodeDemandHint),
    digest.moves.map(encodeRoleChangeHint),
    digest.down,
    digest.calls,
    digest.serving,
    encodeDrainedZones(digest.drained),
    encodeUpstreamReports(digest.upstreams),
    encodeWaitQuotes(digest.quotes),
  ];
  const reach = digest.reach && encodeReachSummary(digest.reach);
  const retries = encodeRetrySummary(digest.retries);
  return Buffer.from(
    JSON.stringify(withOptionalFields(fields, FIXED_FIELDS, digest, reach, retries)),
  );
}

/**
 * Decodes a datagram.
 *
 * @param bytes - The datagram.
 * @returns The digest; undefined where the datagram is not a well-formed digest.
 */
export function decodeDigest(bytes: Uint8Array): HostDigest | undefined {
  const fields = parseDatagram(bytes);
  if (fields?.[0] !== DIGEST_TAG) return undefined;
  const [, host, incarnation, sequence, hostCount, rows, charged, silent, leaving, versions] =
    fields;
  const [demandRows, moveRows, down, calls, serving, drainedRow, upstreamRows, ...optional] =
    fields.slice(DEMAND_INDEX);
  if (typeof host !== 'string' || typeof incarnation !== 'string') return undefined;
  if (!isNonNegativeNumber(sequence) || !isNonNegativeNumber(hostCount) || !Array.isArray(rows))
    return undefined;
  if (!Array.isArray(charged) || !charged.every(isNamedNumber)) return undefined;
  if (!Array.isArray(calls) || !calls.every(isNamedNumber)) return undefined;
  if (!isStringArray(silent) || !isStringArray(leaving) || !isStringArray(serving))
    return undefined;
  if (!isStringArray(down)) return undefined;
  const [config, servers, unwatched, ...contactRow] = Array.isArray(versions)
    ? (versions as readonly unknown[])
    : [];
  if (!isVersion(config) || !isVersion(servers)) return undefined;
  const drained = decodeDrainedZones(drainedRow);
  const upstreams = decodeUpstreamReports(upstreamRows);
  const [quoteRows, usageRows] = optional;
  const quotes = decodeWaitQuotes(quoteRows);
  const usage = decodeUsage(usageRows);
  const callTimes = decodeCallTimes(fields[CALL_TIMES_INDEX]);
  const suspicion = decodeSuspicion(fields[SUSPICION_INDEX]);
  const reach = decodeReachSummary(fields[REACH_INDEX]);
  const retries = decodeRetrySummary(fields[RETRIES_INDEX]);
  if (drained === undefined || upstreams === undefined || callTimes === undefined) return undefined;
  if (quotes === undefined || usage === undefined || suspicion === undefined) return undefined;
  const engines = decodeRows(rows, decodeEngineHint);
  const demandHints = decodeRows(demandRows, decodeDemandHint);
  const moveHints = decodeRows(moveRows, decodeRoleChangeHint);
  if (engines === undefined || demandHints === undefined || moveHints === undefined)
    return undefined;
  return {
    ...{ host, incarnation, sequence, hostCount, engines, silent, leaving, serving },
    ...{ demand: demandHints, moves: moveHints, down },
    calls: calls as readonly (readonly [ServiceId, number])[],
    charged: charged as readonly (readonly [TeamId, Tokens])[],
    versions: { config, servers },
    ...decodeContact(contactRow),
    ...(unwatched === 1 ? { unwatched: true } : {}),
    drained,
    upstreams,
    quotes,
    ...usage,
    ...(callTimes.length === 0 ? {} : { callTimes }),
    ...(isEmptySuspicion(suspicion) ? {} : { suspicion }),
    ...(reach === undefined ? {} : { reach }),
    ...(retries === undefined ? {} : { retries }),
  };
}

/** Tells whether a datagram is a digest by its first bytes, without parsing it. */
export function isDigest(bytes: Uint8Array): boolean {
  return DIGEST_PREFIX.equals(bytes.subarray(0, DIGEST_PREFIX.length));
}
