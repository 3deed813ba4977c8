import type { ModelId, ServiceId, TeamId, UpstreamId, ZoneId } from './ids.ts';
import type { Tokens } from './tokens.ts';

/**
 * The order in which waiting work is served: `lookup` is interactive and goes first, `certificate`
 * covers calls that must not run twice, `summary` may wait for long but must not be dropped.
 */
export type WorkClass = 'lookup' | 'certificate' | 'summary';

/** A team's rate over all hosts together, in tokens. */
export interface TeamRate {
  readonly tokensPerSecond: Tokens;
  readonly burstTokens: Tokens;
}

/** A team (tenant) and the digests of the keys that its callers may show. */
export interface TeamConfig {
  readonly id: TeamId;
  readonly rate: TeamRate;
  /** SHA-256 digests (hex) of the keys in force; the keys themselves are never stored. */
  readonly keyDigests: readonly string[];
  /** Models the team may ask for; empty means all. */
  readonly models: readonly ModelId[];
  /** Weight in fair queueing; 1 unless the operator says otherwise. */
  readonly weight: number;
  /** Goes before the priority of a route where it is given; lower goes first. */
  readonly priority?: number;
  /** Tokens charged for a call that does not say its own size. */
  readonly plainCallTokens?: Tokens;
}

/** Bounds on requests to an upstream that has just started. */
export interface SlowStartBounds {
  /** Milliseconds after its start for which an upstream is bounded. */
  readonly forMs: number;
  /** Requests a second that it takes meanwhile, from all hosts together. */
  readonly requestsPerSecond: number;
}

/** What an engine is used for. */
export type EngineRole = 'prefill' | 'decode';

/** One model engine. */
export interface EngineConfig {
  readonly id: UpstreamId;
  /** Base URL with an IP address, such as `http://127.0.0.1:9101`. */
  readonly url: string;
  readonly zone: ZoneId;
  readonly role: EngineRole;
  /** Memory in pieces; see `TOKENS_PER_PIECE`. */
  readonly memoryPieces: number;
  /** Requests that the engine runs at once; absent where only its memory bounds them. */
  readonly slots?: number;
  /** True where the engine refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** Milliseconds that a change of its role takes; absent where its role can't be changed. */
  readonly roleSwitchMs?: number;
  /** Output tokens in one event of a stream; 1 where absent. */
  readonly eventTokens?: Tokens;
  /** Absent where an engine takes its full load from its start on. */
  readonly slowStart?: SlowStartBounds;
}

/** A model and the engines that serve it. */
export interface PoolConfig {
  readonly model: ModelId;
  readonly engines: readonly EngineConfig[];
  /** Largest prompt plus output, in tokens. */
  readonly maxTokens: Tokens;
  /** Target for the first token, in milliseconds. */
  readonly ttftTargetMs: number;
  /** Target for the time between tokens, in milliseconds. */
  readonly itlTargetMs: number;
  /** Rate of the link into each decode engine, in pieces a second. */
  readonly linkPiecesPerSecond: number;
}

/** How a route of a plain service may be treated. */
export interface ServiceRoute {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path prefix below the service, starting with a slash. */
  readonly path: string;
  /** True where a call may be repeated; false demands an Idempotency-Key and runs at most once. */
  readonly idempotent: boolean;
  readonly class: WorkClass;
  /** Tokens charged to the team for one call. */
  readonly costTokens: Tokens;
}

/** One server of a plain service. */
export interface ServiceServer {
  readonly id: UpstreamId;
  readonly url: string;
  readonly zone: ZoneId;
  /** Calls the server may run at once. */
  readonly maxConcurrent: number;
  /** Absent where a server takes its full load from its start on. */
  readonly slowStart?: SlowStartBounds;
}

/** A plain service beside the model engines. */
export interface ServiceConfig {
  readonly id: ServiceId;
  readonly servers: readonly ServiceServer[];
  readonly routes: readonly ServiceRoute[];
  readonly timeoutMs: number;
}

/** A rule about which requests may wait, and for how long; the first rule that matches counts. */
export interface WaitRule {
  /** Team it applies to; absent means all. */
  readonly team?: TeamId;
  /** Model it applies to; absent means all. */
  readonly model?: ModelId;
  readonly class: WorkClass;
  /** Longest time in the queue, in milliseconds. */
  readonly maxWaitMs: number;
}

/** What may be repeated on a route: any call, none after it was sent, or a stream by its own rule. */
export type RouteKind = 'idempotent' | 'at_most_once' | 'stream';

/** A service that takes a share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Share of the requests, relative to the other targets. */
  readonly weight: number;
}

/** A route by host name and path, whose calls are passed on byte for byte. */
export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash; the longest prefix of a path wins. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** True where no key is needed. */
  readonly open: boolean;
  /** Longest time until the answer has ended, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which the answer, or the first event of a stream, is on time, in milliseconds. */
  readonly targetMs: number;
  /** Longest pause between two events of a stream that is on time, in milliseconds; absent: any. */
  readonly longestPauseMs?: number;
  /** Lower goes first. */
  readonly priority: number;
  /** Most upstreams that may run one request. */
  readonly maxAttempts: number;
  /** True where a broken stream may go on at another engine after its last event. */
  readonly resumable: boolean;
}

/** Bounds on what callers may send, and on how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The whole configuration that hosts act on. */
export interface RoutingConfig {
  readonly teams: readonly TeamConfig[];
  readonly pools: readonly PoolConfig[];
  readonly services: readonly ServiceConfig[];
  readonly waitRules: readonly WaitRule[];
  /** Availability zones whose upstreams get nothing; none where absent. */
  readonly drainedZones?: readonly ZoneId[];
  /** Routes by host name and path; absent where only our own interface is served. */
  readonly routes?: readonly ForwardRoute[];
  /** Bounds that the operators set; absent where the built-in ones hold. */
  readonly limits?: CallerLimits;
}

/** A configuration together with its place in the order of all accepted ones. */
export interface VersionedConfig {
  /** Grows with each accepted change; a host never goes back. 0 means none yet. */
  readonly version: number;
  readonly config: RoutingConfig;
}
