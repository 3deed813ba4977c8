import type {
  EngineConfig,
  HostId,
  Millis,
  Refusal,
  ServiceServer,
  TeamId,
  Tokens,
  UpstreamId,
  UpstreamSignals,
  VersionedConfig,
  ZoneId,
} from '@camphorvane/core';
import type { RetryContext } from '@camphorvane/decisions';
import type { PeerAddress } from '@camphorvane/peer';
import type {
  ModelEngine,
  PlainServer,
  ResponseBound,
  SignalListener,
} from '@camphorvane/upstream';
import type { ResultAsync } from 'neverthrow';

/** Cancels a subscription. */
export type Unsubscribe = () => void;

/** Source of the configuration. */
export interface ConfigSource {
  /** Gets the configuration in force, if one is loaded. */
  current(): VersionedConfig | undefined;

  /** Checks whether the version was confirmed as the newest within the last few seconds. */
  isConfirmed(): boolean;

  /**
   * Tries to confirm that the version is the newest.
   *
   * @param waitMs - Longest wait, in milliseconds.
   * @returns Whether the version is confirmed.
   */
  confirmNow(waitMs: Millis): Promise<boolean>;

  /**
   * Tells whether a newer version is known to be in force that this host could not get; absent where hosts
   * confirm their version with each other.
   */
  isOutdated?(): boolean;

  /**
   * Tells whether the list of upstreams is known to be current; absent where it comes with the configuration. A host
   * that neither reads the store nor hears of one that does may lack upstreams that others use.
   */
  isListCurrent?(): boolean;

  /**
   * Reads the list of upstreams; absent where it comes with the configuration.
   *
   * @returns Whether it was read since the call, in time.
   */
  confirmList?(): Promise<boolean>;
}

/** A host of the fleet, with its addresses for callers and peers. */
export interface FleetMember {
  readonly host: HostId;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly leaving: boolean;
  /** Whether callers are sent to it; otherwise it is on standby. */
  readonly serving: boolean;
  /** Whether it has lost its links to upstreams that other hosts reach. */
  readonly cutOff: boolean;
}

/** Identity of a host, with its addresses for callers and peers. */
export type HostIdentity = Omit<FleetMember, 'leaving' | 'serving' | 'cutOff'>;

/** Group membership and coordination, as request handling sees them. */
export interface GroupGate {
  /** Gets all members of the group, including this host. */
  members(): readonly FleetMember[];

  /** Gets the peer address of the current coordinator of a key, if known. */
  coordinatorOf(key: string): PeerAddress | undefined;

  /** Checks whether this host may coordinate a key now; called before each decision. */
  mayCoordinate(key: string): boolean;

  /** Checks whether this host may use the capacity and rates granted to it. */
  mayAct(): boolean;

  /**
   * Waits until this host may act.
   *
   * @param waitMs - Longest wait, in milliseconds.
   */
  waitToAct(waitMs: Millis): Promise<void>;

  /** Subscribes to changes of members and coordinators. */
  onChange(changed: () => void): Unsubscribe;
}

/** Tokens charged to a team's rate for one request. */
export interface RateCharge {
  readonly team: TeamId;
  readonly tokens: Tokens;
}

/** Enforces the rate limits of teams. Over all hosts together, no team exceeds its rate and burst. */
export interface RateGate {
  /**
   * Charges tokens to a team's rate, or refuses.
   *
   * @param team - The team.
   * @param tokens - Most tokens that the request may use.
   * @param retry - What schedules the retry of a refused request; absent where its caller declares nothing.
   * @returns The charge, or a refusal.
   */
  charge(team: TeamId, tokens: Tokens, retry?: RetryContext): ResultAsync<RateCharge, Refusal>;

  /** Refunds the tokens that a request did not use. */
  refund(charge: RateCharge, unused: Tokens): void;
}

/** Identifies a retry: the team, the pool or service, and the upstream that failed. */
export interface RetryTarget {
  readonly team: TeamId;
  /** Pool or service that serves the request. */
  readonly service: string;
  /** Upstream on which the last attempt failed. */
  readonly upstream: UpstreamId;
}

/** What was sent without a charge, beyond the first arrival of its request. */
export type UnchargedArrival = 'run' | 'prefill';

/** Enforces the retry budget. */
export interface RetryGate {
  /** Records the first attempt of a request, with the upstreams that it uses. */
  recordAttempt(
    request: Omit<RetryTarget, 'upstream'>,
    upstreams: readonly UpstreamId[],
    now: Millis,
  ): void;

  /**
   * Charges one retry to the budget.
   *
   * @returns False if the budget is exhausted.
   */
  tryRetry(target: RetryTarget, now: Millis): boolean;

  /**
   * Charges a prefill of a prompt that was read before, where the budget counts it beside the run that follows.
   *
   * @returns False if the budget is exhausted.
   */
  tryPrefill(target: RetryTarget, now: Millis): boolean;

  /** Charges what is sent to a service once more without having been asked for. */
  recordUncharged(service: string, arrival: UnchargedArrival, now: Millis): void;
}

/** What the clients of upstreams report, and ask before each call. */
export interface UpstreamWatch {
  /** Records the signals of an answer. */
  record(upstream: UpstreamId, signals: UpstreamSignals): void;

  /** Tells whether the upstream has asked this host for rest, so that nothing may be sent to it. */
  isResting(upstream: UpstreamId): boolean;

  /** Records a call that serves no request: a load report, an order, or the release of a KV cache. */
  recordControlCall(upstream: UpstreamId): void;

  /** Records a call that was not sent, since the upstream rests. */
  recordWithheld(upstream: UpstreamId): void;

  /** Records an answer that was cut off, since it exceeded a bound. */
  recordOverrun(upstream: UpstreamId, call: UpstreamCallKind, bound: ResponseBound): void;
}

/** Kinds of calls to upstreams. */
export type UpstreamCallKind =
  'plain' | 'prefill' | 'decode' | 'move' | 'release' | 'report' | 'order';

/** Creates the client of an engine, which passes the signals of all answers to the listener. */
export type EngineFactory = (cfg: EngineConfig, onSignals: SignalListener) => ModelEngine;

/** Creates the client of a server of a plain service, as {@link EngineFactory} does for an engine. */
export type PlainServerFactory = (cfg: ServiceServer, onSignals: SignalListener) => PlainServer;
