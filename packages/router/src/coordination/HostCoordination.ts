import type { Clock, ModelId, RandomSource, TeamConfig, VersionedConfig } from '@camphorvane/core';
import type { UpstreamAdmission, UpstreamSpeeds } from '@camphorvane/decisions';
import type { PeerRequest, PeerResponse, PeerSender } from '@camphorvane/peer';
import type { IdempotencyClaims } from '@camphorvane/store';
import type {
  ConfigSource,
  GroupGate,
  HostIdentity,
  RateGate,
  RetryGate,
  Unsubscribe,
} from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { UpstreamSignalRecorder } from '../host/UpstreamSignalRecorder.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { Placer } from '../placing/Placer.ts';
import type { ReachMonitor } from '../reach/ReachMonitor.ts';
import type { ConcurrencyShares } from '../serving/ConcurrencyShares.ts';
import type { CrashGuard } from '../serving/CrashGuard.ts';
import type { FairQueues } from '../serving/FairQueues.ts';
import type { TurnRegistry } from '../serving/TurnRegistry.ts';

/** Configuration source that notifies listeners of each new version. */
export interface ConfigFeed extends ConfigSource {
  /** Registers a listener for each configuration that takes effect. */
  onChange(listener: (config: VersionedConfig) => void): Unsubscribe;

  /** Gets the state for the state dump. */
  state(): { readonly version: number };
}

/** Rate gate whose teams can be reconfigured while the host runs. */
export interface TeamRateGate extends RateGate {
  /** Applies the changed teams. */
  setTeams(teams: readonly TeamConfig[]): void;
}

/** Placer whose engines can be reconfigured while the host runs. */
export interface ReconfigurablePlacer extends Placer {
  /** Re-reads the engines, the hosts and the coordinators of the pools. */
  refresh(): void;
}

/**
 * Coordination between hosts: membership, configuration, rate limits and placement.
 *
 * Request handling does not depend on the implementation. One uses a group with epochs and a
 * coordinator for each pool; the other one uses only the store and load reports sent by gossip.
 */
export interface HostCoordination {
  readonly config: ConfigFeed;
  readonly group: GroupGate;
  readonly rates: TeamRateGate;
  readonly retryGate: RetryGate;
  readonly placer: ReconfigurablePlacer;
  readonly crashGuard: CrashGuard;
  /** Bounds the requests that this host sends to each upstream. */
  readonly admission: UpstreamAdmission;
  /** Records what upstreams ask for in their answers. */
  readonly signals: UpstreamSignalRecorder;
  /** Claims calls that must not run twice in the store; undefined where they are not claimed. */
  readonly claims: IdempotencyClaims | undefined;
  /** Whether running requests are aborted when their API key is withdrawn. */
  readonly abortsOnKeyWithdrawal: boolean;

  /** Starts the background tasks, which run until the signal is aborted. */
  start(signal: AbortSignal): void;

  /** Announces to peers, and in the host list for callers, that this host takes no new work. */
  beginLeaving(): Promise<void>;

  /** Releases what this host holds; called after its last request has ended. */
  leave(): Promise<void>;

  /** Stops everything immediately. */
  stop(): void;

  /** Handles a request of a peer. */
  handlePeerRequest(from: PeerSender, req: PeerRequest): Promise<PeerResponse>;

  /** Gets the models whose pools this host coordinates. */
  getCoordinatedModels(): readonly ModelId[];

  /** Gets the epoch of the group's membership; 0 where there is none. */
  getEpoch(): number;

  /** Gets the state for the state dump. */
  dump(): object;
}

/** Dependencies of a {@link HostCoordination}. */
export interface CoordinationContext {
  readonly identity: HostIdentity;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: UpstreamDirectory;
  /** Shares of the concurrency of plain services, by the calls of all hosts. */
  readonly concurrencyShares: ConcurrencyShares;
  /** Usage of teams over all hosts, and the order of the queues that follows from it. */
  readonly fairQueues: FairQueues;
  /** How fast upstreams are, over all hosts. */
  readonly speeds: UpstreamSpeeds;
  readonly metrics: Metrics;
  /** Which upstreams this host and its peers reach. */
  readonly reach: ReachMonitor;
  /** Scheduled retries of refused callers. */
  readonly turns: TurnRegistry;
}

/** Creates the {@link HostCoordination} of a host. */
export type CoordinationFactory = (context: CoordinationContext) => HostCoordination;
