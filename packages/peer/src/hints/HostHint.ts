import type {
  HostId,
  Incarnation,
  Millis,
  ServiceId,
  TeamId,
  Tokens,
  UpstreamId,
} from '@camphorvane/core';
import type {
  CallTime,
  QueueQuote,
  ReachReport,
  RetryReport,
  SuspicionReports,
  UpstreamReport,
  UsageRow,
} from '@camphorvane/decisions';
import type { ContactReport } from '@camphorvane/store';
import { isVersion } from '@camphorvane/store';
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
import type { DemandHint, DrainedZones, EngineHint, RoleChangeHint } from './hintParts.ts';
import { decodeContact, encodeContact } from './contactCodec.ts';
import { decodeCallTimes } from './callTimeCodec.ts';
import { decodeSuspicion, isEmptySuspicion } from './suspicionCodec.ts';
import { decodeUpstreamReports, encodeUpstreamReports } from './upstreamReportCodec.ts';
import { withOptionalFields } from './optionalFields.ts';
import { decodeReach, encodeReach } from './reachCodec.ts';
import { decodeRetries, encodeRetries } from './retryCodec.ts';
import { decodeUsage } from './usageCodec.ts';
import { decodeWaitQuotes, encodeWaitQuotes } from './waitQuoteCodec.ts';

/** Index of the unresponsive engines among the fields; earlier fields are destructured by name. */
const DOWN_INDEX = 9;

/** Number of fields that every hint has; the later ones are left out where they are empty. */
const FIXED_FIELDS = 14;
/** Index of the call times, four places after the reports on upstreams. */
const CALL_TIMES_INDEX = 17;
/** Index of the reports on requests that were running on upstreams that crashed. */
const SUSPICION_INDEX = 18;
/** Index of the services that the host reaches. */
const REACH_INDEX = 19;
/** Index of what the host has used of retry budgets. */
const RETRIES_INDEX = 20;

/** Values of {@link DigestFrequency}; a datagram carries the index. */
const DIGEST_FREQUENCIES = ['none', 'seldom', 'often'] as const;

/** How often a host asks a relay for digests. */
export type DigestFrequency = (typeof DIGEST_FREQUENCIES)[number];

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
  readonly digests: DigestFrequency;
  /** Whether the host accepts callers; otherwise it is on standby. */
  readonly serving: boolean;
  /** Whether the host watches the store and gets answers; absent where it doesn't. */
  readonly watching?: true;
  /** Milliseconds within which the host sends its next hint. */
  readonly nextMs: Millis;
  readonly engines: readonly EngineHint[];
  /** Tokens charged to each team since the host started. */
  readonly charged: readonly (readonly [TeamId, Tokens])[];
  readonly demand: readonly DemandHint[];
  readonly moves: readonly RoleChangeHint[];
  /** Engines that the host found unresponsive. */
  readonly down: readonly UpstreamId[];
  /** Calls of the host in flight or queued for each plain service. */
  readonly calls: readonly (readonly [ServiceId, number])[];
  /** Store versions up to which the host has read the configuration and the servers. */
  readonly versions: { readonly config: number; readonly servers: number };
  /** When the store responded to the host; absent before its first response. */
  readonly contact?: ContactReport;
  readonly drained: DrainedZones;
  /** What upstreams said in recent answers to the host. */
  readonly upstreams: readonly UpstreamReport[];
  /** Waits that the host tells the callers that it refuses. */
  readonly quotes: readonly QueueQuote[];
  /** What teams hold on the host; absent in hints that report no usage, where the last report counts. */
  readonly usage?: readonly UsageRow[];
  /** How fast upstreams were lately; absent where nothing is reported. */
  readonly callTimes?: readonly CallTime[];
  /** Requests that were running on upstreams that crashed; absent where nothing is reported. */
  readonly suspicion?: SuspicionReports;
  /** Which services the host reaches; absent where it serves no requests of other hosts. */
  readonly reach?: ReachReport;
  /** What the host has used of retry budgets; absent where nothing is reported. */
  readonly retries?: RetryReport;
}

/**
 * Encodes a hint as a JSON array of positional fields, to keep the datagram small.
 *
 * @param hint - The hint.
 * @returns The datagram.
 */
export function encodeHint(hint: HostHint): Buffer {
  const rows = hint.engines.map(encodeEngineHint);
  const { host, incarnation, sequence, leaving, charged, versions } = hint;
  const versionRow = [versions.config, versions.servers, ...encodeContact(hint.contact)];
  const demand = hint.demand.map(encodeDemandHint);
  const moves = hint.moves.map(encodeRoleChangeHint);
  const flags = [
    Number(leaving),
    DIGEST_FREQUENCIES.indexOf(hint.digests),
    Number(hint.serving),
    ...(hint.watching === true ? [1] : []),
  ];
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
    encodeDrainedZones(hint.drained),
    encodeUpstreamReports(hint.upstreams),
    encodeWaitQuotes(hint.quotes),
  ];
  const reach = hint.reach && encodeReach(hint.reach);
  const retries = encodeRetries(hint.retries);
  return Buffer.from(
    JSON.stringify(withOptionalFields(fields, FIXED_FIELDS, hint, reach, retries)),
  );
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
  const [down, calls, nextMs, drainedRow, upstreamRows, quoteRows, usageRows] =
    fields.slice(DOWN_INDEX);
  const callTimes = decodeCallTimes(fields[CALL_TIMES_INDEX]);
  const suspicion = decodeSuspicion(fields[SUSPICION_INDEX]);
  const reach = decodeReach(fields[REACH_INDEX]);
  const retries = decodeRetries(fields[RETRIES_INDEX]);
  if (typeof host !== 'string' || typeof incarnation !== 'string') return undefined;
  if (!isNonNegativeNumber(sequence) || !Array.isArray(rows)) return undefined;
  if (!Array.isArray(charged) || !charged.every(isNamedNumber)) return undefined;
  const [config, servers, ...contactRow] = Array.isArray(versions)
    ? (versions as readonly unknown[])
    : [];
  if (!isVersion(config) || !isVersion(servers)) return undefined;
  if (!isNonNegativeNumber(nextMs)) return undefined;
  if (!isStringArray(down) || !Array.isArray(calls) || !calls.every(isNamedNumber))
    return undefined;
  const engines = decodeRows(rows, decodeEngineHint);
  const demandHints = decodeRows(demandRows, decodeDemandHint);
  const moveHints = decodeRows(moveRows, decodeRoleChangeHint);
  if (engines === undefined || demandHints === undefined || moveHints === undefined)
    return undefined;
  const drained = decodeDrainedZones(drainedRow);
  const upstreams = decodeUpstreamReports(upstreamRows);
  const quotes = decodeWaitQuotes(quoteRows);
  const usage = decodeUsage(usageRows);
  if (drained === undefined || upstreams === undefined || callTimes === undefined) return undefined;
  if (quotes === undefined || usage === undefined || suspicion === undefined) return undefined;
  const [leaving, digestFrequency, serving, watching] = Array.isArray(flags)
    ? (flags as readonly unknown[])
    : [];
  return {
    host,
    incarnation,
    sequence,
    leaving: leaving === 1,
    digests:
      (isNonNegativeNumber(digestFrequency) ? DIGEST_FREQUENCIES[digestFrequency] : undefined) ??
      'none',
    serving: serving === 1,
    ...(watching === 1 ? { watching: true } : {}),
    nextMs,
    engines,
    charged: charged as readonly (readonly [TeamId, Tokens])[],
    demand: demandHints,
    moves: moveHints,
    down,
    calls: calls as readonly (readonly [ServiceId, number])[],
    versions: { config, servers },
    ...decodeContact(contactRow),
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
