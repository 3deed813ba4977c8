import type {
  CallerLimits,
  EngineRole,
  ForwardRoute,
  Millis,
  ServiceId,
  SlowStartBounds,
  TeamConfig,
  Tokens,
  UpstreamId,
  ZoneId,
} from '@camphorvane/core';
import type { Result } from 'neverthrow';
import type { StoredObject } from '../ObjectStore.ts';

/** What the operators say of the engines of a service. */
export interface DeployedEngines {
  readonly memoryTokens: Tokens;
  readonly tokenBytes: number;
  readonly linkMbps: number;
  /** Milliseconds that a change of an engine's role takes; undefined where it can't be changed. */
  readonly roleSwitchMs: number | undefined;
  /** Output tokens in one event of a stream; undefined where nothing is said. */
  readonly eventTokens: Tokens | undefined;
}

/** A service as the operators declare it; its servers announce themselves. */
export interface DeployedService {
  readonly id: ServiceId;
  /** Undefined for a plain service. */
  readonly engines: DeployedEngines | undefined;
  /** Undefined where its servers take their full load from their start on. */
  readonly slowStart: SlowStartBounds | undefined;
}

/** A configuration that names no servers. */
export interface DeployedConfig {
  /** Grows with each change. */
  readonly version: number;
  readonly teams: readonly TeamConfig[];
  readonly routes: readonly ForwardRoute[];
  readonly services: readonly DeployedService[];
  readonly limits: CallerLimits;
}

/** A server as it announces itself. */
export interface ServerRecord {
  readonly id: UpstreamId;
  readonly service: ServiceId;
  /** `ip:port`. */
  readonly address: string;
  readonly zone: ZoneId;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** True once it must get no new work. */
  readonly leaving: boolean;
  /** Undefined for a server of a plain service. */
  readonly role: EngineRole | undefined;
  /** Milliseconds of its slow start that were left when it wrote this; undefined where it does not say. */
  readonly startingMs: Millis | undefined;
}

/** Where a deployment keeps its objects, and how they read. */
export interface DeploymentFormat {
  readonly configKind: string;
  readonly configName: string;
  readonly serverKind: string;
  /** Kind of the entries that each take an availability zone's servers out of use, by its name. */
  readonly drainedZoneKind: string;
  /** Kind of the records that this program's own hosts write. */
  readonly hostKind: string;
  /** Kind of the leases by which one of them acts for all. */
  readonly leaseKind: string;

  /** Reads the configuration, or says what is wrong with it. */
  readConfig(object: StoredObject): Result<DeployedConfig, string>;

  /** Reads a server; undefined for an entry that names none to use. */
  readServer(object: StoredObject): ServerRecord | undefined;
}
