import type {
  Clock,
  EngineConfig,
  HostId,
  RandomSource,
  RoutingConfig,
  ServiceServer,
  ZoneId,
} from '@camphorvane/core';
import type { CallerBackend } from '@camphorvane/caller';
import type { PeerHandler, PeerLink, PeerSender } from '@camphorvane/peer';
import type { HostRegistry, ObjectStore } from '@camphorvane/store';
import type { ModelEngine, PlainServer, SignalListener } from '@camphorvane/upstream';

/** Everything that a host touches, in memory. */
export interface HostEdges {
  readonly id: HostId;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** How many starts of this host came before. */
  readonly starts: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: ObjectStore & HostRegistry;
  readonly engines: (cfg: EngineConfig) => ModelEngine;
  readonly servers: (cfg: ServiceServer, onSignals: SignalListener) => PlainServer;
  readonly peers: (sender: PeerSender) => PeerLink;
  /** Lets other hosts reach this one. */
  readonly listen: (handler: PeerHandler) => void;
}

/** A host that was built on in-memory edges. */
export interface SubjectHost {
  readonly backend: CallerBackend;
  /** Starts the host's tasks. */
  start(): Promise<void>;
  /** Lets the work in flight end, takes no more, and leaves. */
  drain(): Promise<void>;
  /** Gets the version of the configuration in force; 0 where there is none yet. */
  configVersion(): number;
}

/** What a scenario tests: the real hosts, or broken ones that show that checks can fail. */
export interface Subject {
  /** Builds a host without starting it. */
  build(edges: HostEdges): SubjectHost;
  /**
   * Applies a configuration, as an operator does.
   *
   * @returns The version under which it was accepted.
   */
  publish(store: ObjectStore, clock: Clock, config: RoutingConfig): Promise<number>;
}
