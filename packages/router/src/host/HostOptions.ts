import type { Clock, Millis, RandomSource } from '@camphorvane/core';
import type { AgreementFactory } from '../agreement/HostAgreement.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { EngineFactory, HostIdentity, PlainServerFactory } from './ports.ts';

/** What a host is made of; every edge is an interface, so that a host also runs in memory. */
export interface HostOptions {
  readonly identity: HostIdentity;
  /** Names this start of the host; never repeats. */
  readonly incarnation: string;
  readonly drainGraceMs: Millis;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly agreement: AgreementFactory;
  readonly engines: EngineFactory;
  readonly servers: PlainServerFactory;
  readonly metrics: Metrics;
}
