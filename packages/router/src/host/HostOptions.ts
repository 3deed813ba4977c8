import type { Clock, Millis, RandomSource } from '@camphorvane/core';
import type { PeerLink } from '@camphorvane/peer';
import type { HostRegistry, ObjectStore } from '@camphorvane/store';
import type { Metrics } from '../observe/Metrics.ts';
import type { EngineFactory, GroupMate, PlainServerFactory } from './ports.ts';

/** What a host is made of; every edge is an interface, so that a host also runs in memory. */
export interface HostOptions {
  readonly identity: Omit<GroupMate, 'leaving'>;
  /** Names this start of the host; never repeats. */
  readonly incarnation: string;
  readonly group: string;
  readonly groupSize: number;
  /** Hosts of the whole fleet, which share the platform's rates. */
  readonly fleetHosts: number;
  readonly drainGraceMs: Millis;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: ObjectStore & HostRegistry;
  readonly link: PeerLink;
  readonly engines: EngineFactory;
  readonly servers: PlainServerFactory;
  readonly metrics: Metrics;
}
