import type { HostId, Incarnation, Millis, ZoneId } from '@camphorvane/core';
import type { CrashReport } from '@camphorvane/decisions';
import type { StoredObject } from '@camphorvane/store';

/** Record that a host writes to the store. */
export interface HostRecord {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly leaving: boolean;
  /** Capacity of the host relative to others; the strongest hosts relay hints. */
  readonly strength: number;
  /** Crashes of quarantined requests; absent where there are none. */
  readonly quarantine?: StoredQuarantine;
}

/** Crashes of quarantined requests, kept in the store for hosts that have forgotten them. */
export interface StoredQuarantine {
  /** Wall time of the record, in milliseconds; the ages of the crashes count from it. */
  readonly at: Millis;
  /** Crashes of whole requests. */
  readonly crashes: readonly CrashReport[];
  /** Crashes of what requests share; apart, since hosts of an earlier version take all crashes for those of requests. */
  readonly shared?: readonly CrashReport[];
}

/**
 * Parses the record of a host.
 *
 * @param object - Object from the store.
 * @returns The record; undefined where a field is missing or has another type.
 */
export function readHostRecord({ value }: StoredObject): HostRecord | undefined {
  const record = value as Partial<HostRecord> | null;
  if (record === null || typeof record !== 'object') return undefined;
  const { host, zone, callerAddress, peerAddress, incarnation, leaving } = record;
  const texts = [host, zone, callerAddress, peerAddress, incarnation];
  if (texts.some((text) => typeof text !== 'string')) return undefined;
  const strength = typeof record.strength === 'number' ? record.strength : 0;
  const quarantine = readQuarantine(record.quarantine);
  return { ...(record as HostRecord), leaving: leaving === true, strength, quarantine };
}

/** Parses the quarantine of a record; undefined where it is missing or malformed. */
function readQuarantine(value: unknown): StoredQuarantine | undefined {
  if (value === null || typeof value !== 'object') return undefined;
  const { at, crashes, shared = [] } = value as Partial<StoredQuarantine>;
  if (typeof at !== 'number' || !Array.isArray(crashes) || !Array.isArray(shared)) return undefined;
  return { at, crashes: crashes.filter(isCrashReport), shared: shared.filter(isCrashReport) };
}

function isCrashReport(value: unknown): value is CrashReport {
  if (value === null || typeof value !== 'object') return false;
  const { digest, upstream, ageMs } = value as Partial<CrashReport>;
  return typeof digest === 'string' && typeof upstream === 'string' && typeof ageMs === 'number';
}
