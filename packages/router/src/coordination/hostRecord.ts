import type { HostId, Incarnation, Millis, ZoneId } from '@camphorvane/core';
import type { CrashReport } from '@camphorvane/decisions';
import type { StoredObject } from '@camphorvane/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as z from 'zod';

/** Most crashes that are read of one record. */
const MAX_CRASH_REPORTS = 4_096;

/** Longest name of a host, a zone or an upstream. */
const MAX_NAME_CHARS = 256;

const MAX_ADDRESS_CHARS = 300;

const MAX_PORT = 65_535;

/** A host name, or an IP address, which has brackets where it is one of version 6, and a port. */
const ADDRESS = /^(?:[\w.-]+|\[[\da-f:.]+\]):(\d{1,5})$/i;

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

const address = z.string().max(MAX_ADDRESS_CHARS).refine(isAddress, 'is not HOST:PORT');

const name = z.string().min(1).max(MAX_NAME_CHARS);

const crashReport = z.object({
  digest: name,
  upstream: name,
  ageMs: z.number().nonnegative(),
});

const crashReports = z
  .array(z.unknown())
  .transform((reports) => reports.filter(isCrashReport).slice(0, MAX_CRASH_REPORTS));

const quarantine = z.object({
  at: z.number().nonnegative(),
  crashes: crashReports,
  shared: crashReports.default([]),
});

const hostRecord = z.object({
  host: name,
  incarnation: name,
  zone: name,
  callerAddress: address,
  peerAddress: address,
  leaving: z.boolean().catch(false),
  strength: z.number().nonnegative().catch(0),
  quarantine: quarantine.optional().catch(undefined),
});

/**
 * Parses the record of a host. A malformed quarantine is left out of it.
 *
 * @param object - Object from the store.
 * @returns The record, or what is wrong with it, with the field named.
 */
export function readHostRecord({ value }: StoredObject): Result<HostRecord, string> {
  const read = hostRecord.safeParse(value);
  return read.success ? ok(read.data) : err(describeIssues(read.error));
}

function isCrashReport(value: unknown): value is CrashReport {
  return crashReport.safeParse(value).success;
}

function isAddress(text: string): boolean {
  const [, port] = ADDRESS.exec(text) ?? [];
  return Number(port) > 0 && Number(port) <= MAX_PORT && URL.canParse(`http://${text}`);
}

function describeIssues({ issues }: z.ZodError): string {
  return issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ');
}
