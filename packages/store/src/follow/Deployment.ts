import type {
  CallerLimits,
  EngineRole,
  ForwardRoute,
  Millis,
  ServiceId,
  SlowStartBounds,
  SoftwareVersion,
  StreamRelocation,
  TeamConfig,
  Tokens,
  UpstreamId,
  ZoneId,
} from '@camphorvane/core';
import type { Result } from 'neverthrow';
import type { StoredObject } from '../ObjectStore.ts';

/** Properties of a service's engines, as set by the operators. */
export interface DeployedEngines {
  readonly memoryTokens: Tokens;
  readonly tokenBytes: number;
  readonly linkMbps: number;
  /** Milliseconds that a role change of an engine takes; undefined where roles are fixed. */
  readonly roleSwitchMs: number | undefined;
  /** Output tokens in one event of a stream; undefined where not specified. */
  readonly eventTokens: Tokens | undefined;
  /** What the engines support for running streams; undefined where not specified. */
  readonly relocation?: StreamRelocation;
  /** Whether each engine registers the version of its software, and may leave it unknown; not where absent. */
  readonly haveVersions?: boolean;
}

/** A service as declared by the operators; its servers register themselves. */
export interface DeployedService {
  readonly id: ServiceId;
  /** Undefined for a plain service. */
  readonly engines: DeployedEngines | undefined;
  /** Undefined where a new server gets its full load at once. */
  readonly slowStart: SlowStartBounds | undefined;
}

/** A configuration without the servers, which register themselves. */
export interface DeployedConfig {
  /** Grows with each change. */
  readonly version: number;
  readonly teams: readonly TeamConfig[];
  readonly routes: readonly ForwardRoute[];
  readonly services: readonly DeployedService[];
  readonly limits: CallerLimits;
}

/** A server as it registers itself. */
export interface ServerRecord {
  readonly id: UpstreamId;
  readonly service: ServiceId;
  /** `ip:port`. */
  readonly address: string;
  readonly zone: ZoneId;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /** True once the server must get no new requests. */
  readonly leaving: boolean;
  /** Undefined for a server of a plain service. */
  readonly role: EngineRole | undefined;
  /** Milliseconds of its slow start that remained when it wrote the record; undefined where not specified. */
  readonly startingMs: Millis | undefined;
  /** Unix milliseconds of its start; undefined where not specified. */
  readonly bornAt?: Millis;
  /** Absent where servers have no versions. */
  readonly softwareVersion?: SoftwareVersion;
}

/** Where a deployment stores its objects, and how to parse them. */
export interface DeploymentFormat {
  readonly configKind: string;
  readonly configName: string;
  readonly serverKind: string;
  /** Kind of the objects that each drain the availability zone of the same name. */
  readonly drainedZoneKind: string;
  /** Kind of the records that the router's hosts write. */
  readonly hostKind: string;
  /** Kind of the leases that elect one host to act for all. */
  readonly leaseKind: string;

  /** Parses the configuration, or gets what is wrong with it. */
  parseConfig(object: StoredObject): Result<DeployedConfig, string>;

  /** Parses a server record, or gets why the object describes no usable server. */
  parseServer(object: StoredObject): Result<ServerRecord, string>;
}
