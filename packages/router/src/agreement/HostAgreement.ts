import type { Clock, ModelId, RandomSource, TeamConfig, VersionedConfig } from '@camphorvane/core';
import type { SlowStart } from '@camphorvane/decisions';
import type { PeerRequest, PeerResponse, PeerSender } from '@camphorvane/peer';
import type { IdempotencyClaims } from '@camphorvane/store';
import type {
  ConfigSource,
  GroupGate,
  HostIdentity,
  RateGate,
  RepeatGate,
  Unsubscribe,
} from '../host/ports.ts';
import type { UpstreamDirectory } from '../host/UpstreamDirectory.ts';
import type { Placer } from '../placing/Placer.ts';
import type { ConcurrencyShares } from '../serving/ConcurrencyShares.ts';
import type { CrashGuard } from '../serving/CrashGuard.ts';

/** A configuration that changes while the host runs. */
export interface ConfigFeed extends ConfigSource {
  /** Calls back with each configuration that comes into force. */
  onChange(listener: (config: VersionedConfig) => void): Unsubscribe;

  /** Gets what the state dump shows. */
  state(): { readonly version: number };
}

/** A rate gate whose teams change with the configuration. */
export interface TeamGate extends RateGate {
  /** Takes changed teams into force. */
  setTeams(teams: readonly TeamConfig[]): void;
}

/** A placer whose engines change with the configuration. */
export interface ChangingPlacer extends Placer {
  /** Looks again at the engines, the hosts and who coordinates what. */
  refresh(): void;
}

/**
 * What hosts agree on, and how: who is there, which configuration holds, who may use what.
 *
 * Serving does not know which way it is. A group of hosts with coordinators is one way; hosts that
 * share nothing but the store and hints of their load is the other.
 */
export interface HostAgreement {
  readonly config: ConfigFeed;
  readonly group: GroupGate;
  readonly rates: TeamGate;
  readonly repeats: RepeatGate;
  readonly placer: ChangingPlacer;
  readonly crashes: CrashGuard;
  /** Bounds what this host sends to upstreams that have just started. */
  readonly slowStart: SlowStart;
  /** Absent where calls that must not repeat are not claimed in the store. */
  readonly claims: IdempotencyClaims | undefined;
  /** Whether requests end when the key that they came with is withdrawn. */
  readonly endsWithdrawn: boolean;

  /** Starts all tasks; they run until the signal is aborted. */
  start(signal: AbortSignal): void;

  /** Tells other hosts, and callers who ask for hosts, that this one takes no new work. */
  beginLeaving(): Promise<void>;

  /** Gives back what this host holds, after its last request has ended. */
  leave(): Promise<void>;

  /** Ends everything at once. */
  stop(): void;

  /** Answers what another host asks. */
  answer(from: PeerSender, req: PeerRequest): Promise<PeerResponse>;

  /** Gets the models whose pools this host coordinates now. */
  getCoordinated(): readonly ModelId[];

  /** Gets the number of the group's present composition; 0 where there is none. */
  getEpoch(): number;

  /** Gets the state to be shown to operators. */
  dump(): object;
}

/** What an agreement is made with. */
export interface AgreementContext {
  readonly identity: HostIdentity;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly directory: UpstreamDirectory;
  /** What the hosts have on plain services. */
  readonly calls: ConcurrencyShares;
}

/** Makes the agreement of a host. */
export type AgreementFactory = (context: AgreementContext) => HostAgreement;
