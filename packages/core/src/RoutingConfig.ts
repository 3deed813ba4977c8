import type { ModelId, ServiceId, TeamId, UpstreamId, ZoneId } from './ids.ts';
import type { OverloadPolicy } from './OverloadPolicy.ts';
import type { Tokens } from './tokens.ts';

/**
 * Priority class of a request: `lookup` is interactive and goes first, `certificate` must not run
 * twice, `summary` may queue for long but must not be dropped.
 */
export type WorkClass = 'lookup' | 'certificate' | 'summary';

/** A team's rate limit in tokens, summed over all hosts. */
export interface TeamRate {
  readonly tokensPerSecond: Tokens;
  readonly burstTokens: Tokens;
}

/** A team (tenant), with the digests of its callers' keys. */
export interface TeamConfig {
  readonly id: TeamId;
  readonly rate: TeamRate;
  /** SHA-256 digests (hex) of the valid keys; the keys themselves are never stored. */
  readonly keyDigests: readonly string[];
  /** Models that the team may request; empty means all. */
  readonly models: readonly ModelId[];
  /** Weight in fair queueing; defaults to 1. */
  readonly weight: number;
  /** Overrides the priority of a route; lower goes first. */
  readonly priority?: number;
  /** Tokens charged for a call that declares no size. */
  readonly plainCallTokens?: Tokens;
}

/** Limits on requests to an upstream that has just started. */
export interface SlowStartBounds {
  /** Milliseconds after its start during which the limit applies. */
  readonly forMs: number;
  /** Requests per second during that time, summed over all hosts. */
  readonly requestsPerSecond: number;
}

/** Phase of a completion that an engine runs. */
export type EngineRole = 'prefill' | 'decode';

/** One model engine. */
/** Version of the software that an engine runs; an engine that names none, or none that can be read, has an unknown one. */
export type SoftwareVersion =
  { readonly type: 'known'; readonly name: string } | { readonly type: 'unknown' };

export interface EngineConfig {
  readonly id: UpstreamId;
  /** Base URL with an IP address, such as `http://127.0.0.1:9101`. */
  readonly url: string;
  readonly zone: ZoneId;
  readonly role: EngineRole;
  /** Memory in pieces; see `TOKENS_PER_PIECE`. */
  readonly memoryPieces: number;
  /** Most requests in flight; absent where only memory limits them. */
  readonly slots?: number;
  /** True where the engine rejects orders with an outdated fencing token. */
  readonly checksFencing: boolean;
  /** Milliseconds that a role change takes; absent where the role is fixed. */
  readonly roleSwitchMs?: number;
  /** Output tokens per stream event; defaults to 1. */
  readonly eventTokens?: Tokens;
  /** Absent where an engine takes its full load from its start on. */
  readonly slowStart?: SlowStartBounds;
  /** Absent where all engines run the same software, so that any of them may go on with a stream. */
  readonly softwareVersion?: SoftwareVersion;
}

/** Ways in which the engines of a pool keep a running stream alive elsewhere. */
export interface StreamRelocation {
  /** Whether a running stream can be moved to another engine. */
  readonly moves: boolean;
  /** Whether a running stream can be copied to another engine as it grows. */
  readonly backups: boolean;
}

/** A model and the engines that serve it. */
export interface PoolConfig {
  readonly model: ModelId;
  readonly engines: readonly EngineConfig[];
  /** Largest prompt plus output, in tokens. */
  readonly maxTokens: Tokens;
  /** Target for the time to first token, in milliseconds. */
  readonly ttftTargetMs: number;
  /** Target for the token interval, in milliseconds. */
  readonly itlTargetMs: number;
  /** Bandwidth of the link into each decode engine, in pieces per second. */
  readonly linkPiecesPerSecond: number;
  /** What the engines support for running streams; nothing where absent. */
  readonly relocation?: StreamRelocation;
  /**
   * Software versions of all engines that are listed, also of those that get no work; absent where engines have no
   * versions, so that any of them may go on with a stream. Empty while none is listed, which says nothing of either.
   */
  readonly softwareVersions?: readonly SoftwareVersion[];
}

/** Rules for the calls of one route of a plain service. */
export interface ServiceRoute {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path prefix below the service, starting with a slash. */
  readonly path: string;
  /** True where a call may be retried; false requires an Idempotency-Key and runs at most once. */
  readonly idempotent: boolean;
  readonly class: WorkClass;
  /** Tokens charged to the team per call. */
  readonly costTokens: Tokens;
}

/** One server of a plain service. */
export interface ServiceServer {
  readonly id: UpstreamId;
  readonly url: string;
  readonly zone: ZoneId;
  /** Most calls in flight on the server. */
  readonly maxConcurrent: number;
  /** Absent where a server takes its full load from its start on. */
  readonly slowStart?: SlowStartBounds;
}

/** An HTTP service that is not a model engine. */
export interface ServiceConfig {
  readonly id: ServiceId;
  readonly servers: readonly ServiceServer[];
  readonly routes: readonly ServiceRoute[];
  readonly timeoutMs: number;
}

/** Queue wait limit of the matching requests; the first rule that matches applies. */
export interface WaitRule {
  /** Team it applies to; absent means all. */
  readonly team?: TeamId;
  /** Model it applies to; absent means all. */
  readonly model?: ModelId;
  readonly class: WorkClass;
  /** Queue wait limit in milliseconds. */
  readonly maxWaitMs: number;
}

/** Retry policy of a route: any call, none once dispatched, or the rules for streams. */
export type RouteKind = 'idempotent' | 'at_most_once' | 'stream';

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Share of the requests, relative to the other targets. */
  readonly weight: number;
}

/** A route by host name and path, whose calls are forwarded byte for byte. */
export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash; the longest matching prefix wins. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** True where no key is needed. */
  readonly open: boolean;
  /** Time limit for the whole response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency target for the response, or for the first event of a stream, in milliseconds. */
  readonly targetMs: number;
  /** Target for the longest pause between two events of a stream, in milliseconds; absent: none. */
  readonly longestPauseMs?: number;
  /** Lower goes first. */
  readonly priority: number;
  /** Most upstreams that may execute one request. */
  readonly maxAttempts: number;
  /** True where a broken stream may be resumed on another engine after its last event. */
  readonly resumable: boolean;
}

/** Limits on the size and the duration of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The complete routing configuration of the hosts. */
export interface RoutingConfig {
  readonly teams: readonly TeamConfig[];
  readonly pools: readonly PoolConfig[];
  readonly services: readonly ServiceConfig[];
  readonly waitRules: readonly WaitRule[];
  /** Availability zones whose upstreams get no requests; none where absent. */
  readonly drainedZones?: readonly ZoneId[];
  /** Routes by host name and path; absent where only the native interface is served. */
  readonly routes?: readonly ForwardRoute[];
  /** Controls for overload that are switched on; none where absent. */
  readonly overload?: OverloadPolicy;
  /** Limits set by the operators; absent for the defaults. */
  readonly limits?: CallerLimits;
}

/** A configuration with its version. */
export interface VersionedConfig {
  /** Increases with each accepted change; a host never reverts to an older one. 0 means none yet. */
  readonly version: number;
  readonly config: RoutingConfig;
}
