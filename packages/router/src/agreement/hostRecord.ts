import type { HostId, Incarnation, ZoneId } from '@camphorvane/core';
import type { StoredObject } from '@camphorvane/store';

/** What a host writes of itself into the store. */
export interface HostRecord {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly leaving: boolean;
  /** How much the host can carry beside its callers, against others; the strongest relay hints. */
  readonly strength: number;
}

/**
 * Reads a host's record.
 *
 * @param object - What the store holds.
 * @returns The record; undefined for an object of another shape.
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
