import type { HostId, Incarnation, ZoneId } from '@camphorvane/core';
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
  return { ...(record as HostRecord), leaving: leaving === true, strength };
}
