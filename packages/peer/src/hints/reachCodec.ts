import type {
  ReachReport,
  ReachSummary,
  ServiceContact,
  UnreachedGroup,
} from '@camphorvane/decisions';
import { decodeRows, isNamedNumber, isStringArray } from './hintRowCodec.ts';

type ContactRow = readonly [string, number];

/** Encodes which services a host reaches. */
export function encodeReach({ contacts, unreached }: ReachReport): readonly unknown[] {
  return [contacts.map(encodeContact), unreached];
}

/** Decodes a field of {@link encodeReach}; undefined where it is missing or malformed. */
export function decodeReach(field: unknown): ReachReport | undefined {
  if (!Array.isArray(field)) return undefined;
  const [contactRows, unreached] = field as readonly unknown[];
  const contacts = decodeRows(contactRows, decodeContact);
  return contacts === undefined || !isStringArray(unreached) ? undefined : { contacts, unreached };
}

/** Encodes which services the hosts of a fleet reach. */
export function encodeReachSummary(summary: ReachSummary): readonly unknown[] {
  const { contacts, unreached, silent } = summary;
  const rows = unreached.map(({ services, hosts }) => [services, hosts]);
  return [contacts.map(encodeContact), rows, silent];
}

/** Decodes a field of {@link encodeReachSummary}; undefined where it is missing or malformed. */
export function decodeReachSummary(field: unknown): ReachSummary | undefined {
  if (!Array.isArray(field)) return undefined;
  const [contactRows, unreachedRows, silent] = field as readonly unknown[];
  const contacts = decodeRows(contactRows, decodeContact);
  const unreached = decodeRows(unreachedRows, decodeUnreached);
  if (contacts === undefined || unreached === undefined || !isStringArray(silent)) return undefined;
  return { contacts, unreached, silent };
}

function encodeContact({ service, ageMs }: ServiceContact): ContactRow {
  return [service, Math.round(ageMs)];
}

function decodeContact(row: unknown): ServiceContact | undefined {
  if (!isNamedNumber(row)) return undefined;
  const [service, ageMs] = row as ContactRow;
  return { service, ageMs: Math.max(0, ageMs) };
}

function decodeUnreached(row: unknown): UnreachedGroup | undefined {
  if (!Array.isArray(row)) return undefined;
  const [services, hosts] = row as readonly unknown[];
  return isStringArray(services) && isStringArray(hosts) ? { services, hosts } : undefined;
}
