import type { Clock, Millis, RandomSource } from '@camphorvane/core';
import type { OriginLink } from '@camphorvane/peer/origins';
import type { RelayLink } from '@camphorvane/peer/relay';
import type { UpstreamProbe } from '@camphorvane/upstream';
import type { CoordinationFactory } from '../coordination/HostCoordination.ts';
import type { HostBuffers } from '../buffers/HostBuffers.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { EngineFactory, HostIdentity, PlainServerFactory } from './ports.ts';

/**
 * Settings and dependencies of a host. All I/O is behind interfaces, so that a host also runs in
 * memory.
 */
export interface HostOptions {
  readonly identity: HostIdentity;
  /** Id of this run of the host process, unique across restarts. */
  readonly incarnation: string;
  /** Longest wait for requests in flight on a drain, in milliseconds. */
  readonly drainGraceMs: Millis;
  /** Milliseconds for which an engine that leaves takes requests; 2 000 by default. */
  readonly upstreamDrainMs?: Millis | undefined;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly coordination: CoordinationFactory;
  readonly engines: EngineFactory;
  readonly servers: PlainServerFactory;
  readonly metrics: Metrics;
  /** Bounds what the host buffers, where the configuration says so; absent where nothing is bounded. */
  readonly buffers?: HostBuffers;
  /** Probes links to upstreams; absent where they are not monitored. */
  readonly probe?: UpstreamProbe;
  /** Passes requests on to peers while links are lost; absent where the host uses its own links only. */
  readonly relayLink?: RelayLink;
  /** Tells peers which software versions began streams; absent where hosts share nothing of it. */
  readonly originLink?: OriginLink;
}
