import type {
  EngineConfig,
  HostId,
  Millis,
  Refusal,
  ServiceServer,
  TeamId,
  Tokens,
  UpstreamId,
  VersionedConfig,
  ZoneId,
} from '@camphorvane/core';
import type { PeerAddress } from '@camphorvane/peer';
import type { ModelEngine, PlainServer } from '@camphorvane/upstream';
import type { ResultAsync } from 'neverthrow';

/** Ends a subscription. */
export type Unsubscribe = () => void;

/** Where a host gets its configuration. */
export interface ConfigSource {
  /** Gets the configuration in force, if there is one yet. */
  current(): VersionedConfig | undefined;

  /** Tells whether the version is known to have been the newest a few seconds ago. */
  isConfirmed(): boolean;

  /** Tries to have the version confirmed, for so many milliseconds. */
  confirmNow(waitMs: Millis): Promise<boolean>;
}

/** A host of the group, as callers and peers reach it. */
export interface FleetMember {
  readonly host: HostId;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly leaving: boolean;
  /** Whether it takes callers; one that does not stands by. */
  readonly serving: boolean;
}

/** Who a host is, and how callers and peers reach it. */
export type HostIdentity = Omit<FleetMember, 'leaving' | 'serving'>;

/** What serving needs to know of the group. */
export interface GroupGate {
  /** Gets all members, this host included. */
  members(): readonly FleetMember[];

  /** Gets who coordinates a key now, if this host knows. */
  stewardOf(key: string): PeerAddress | undefined;

  /** Tells whether this host may coordinate a key now; asked before each decision. */
  maySteward(key: string): boolean;

  /** Tells whether this host may use what it was given at all. */
  mayAct(): boolean;

  /** Waits so many milliseconds at most until this host may act. */
  waitToAct(waitMs: Millis): Promise<void>;

  /** Calls back after each change of members or stewards. */
  onChange(changed: () => void): Unsubscribe;
}

/** Tokens taken from a team's rate for one request. */
export interface RateCharge {
  readonly team: TeamId;
  readonly tokens: Tokens;
}

/** Charges teams; over all hosts together none gets more than its rate and burst. */
export interface RateGate {
  /** Takes tokens, or refuses. */
  charge(team: TeamId, tokens: Tokens): ResultAsync<RateCharge, Refusal>;

  /** Gives back what a request did not use. */
  refund(charge: RateCharge, unused: Tokens): void;
}

/** What a request is sent to once more. */
export interface RepeatTarget {
  readonly team: TeamId;
  /** Pool or service that serves the request. */
  readonly service: string;
  /** Upstream on which the last attempt failed. */
  readonly upstream: UpstreamId;
}

/** Bounds how much work is repeated. */
export interface RepeatGate {
  /** Notes a request's first attempt, with the upstreams that it uses. */
  attempted(
    request: Omit<RepeatTarget, 'upstream'>,
    upstreams: readonly UpstreamId[],
    now: Millis,
  ): void;

  /** Pays for one more attempt; false where there is nothing left. */
  tryRepeat(target: RepeatTarget, now: Millis): boolean;
}

/** Makes the client of an engine. */
export type EngineFactory = (cfg: EngineConfig) => ModelEngine;

/** Makes the client of a plain service's server. */
export type PlainServerFactory = (cfg: ServiceServer) => PlainServer;
