import type { HostId, Millis } from '@camphorvane/core';
import type { HostHint } from '@camphorvane/peer/hints';
import type { HostRecord } from './hostRecord.ts';

/** Addresses that a host sends its hints to in a large fleet. */
export interface HintAddresses {
  /** Hosts asked for digests: the zone's relay, as cross-zone traffic costs more, and one without a hint. */
  readonly digestSources: readonly string[];
  /** Hosts that get hints but are not asked for digests. */
  readonly hintOnly: readonly string[];
}

/** State of the other hosts as reported by a relay. */
export interface RelayedHostStates {
  readonly host: HostId;
  /** Hosts with a record but no recent hint at the relay. */
  readonly silent: readonly HostId[];
  readonly leaving: readonly HostId[];
  /** Hosts that take callers. */
  readonly serving: readonly HostId[];
  /** True if no host is known that watches the store and gets answers. */
  readonly unwatched?: true;
}

/** State of a host as reported by its hint. */
export type ReportedHostState = Pick<HostHint, 'host' | 'leaving' | 'serving' | 'nextMs'>;

/** State from the last hint of a host, with its expiry. */
export interface ReceivedHint {
  readonly leaving: boolean;
  readonly serving: boolean;
  readonly expiresAt: Millis;
}

/** State from the last digest of a relay, with its expiry. */
export interface ReceivedDigest {
  readonly silent: ReadonlySet<HostId>;
  readonly leaving: ReadonlySet<HostId>;
  readonly serving: ReadonlySet<HostId>;
  readonly unwatched: boolean;
  readonly expiresAt: Millis;
}

/** A record, with the time since its host last wrote it. */
export interface TrackedRecord {
  readonly record: HostRecord;
  readonly version: number;
  /** Milliseconds since the record last changed, outages of the store not counted. */
  readonly ageMs: Millis;
}
