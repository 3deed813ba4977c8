import type { EngineRole, Millis, ModelId, Tokens, UpstreamId, ZoneId } from '@camphorvane/core';
import type { HeldMemory } from '@camphorvane/decisions';

/** Work that a host has in flight on one engine, as sent to its peers. */
export interface EngineHint {
  readonly engine: UpstreamId;
  readonly prefillTokens: Tokens;
  readonly streams: number;
  readonly memoryTokens: Tokens;
  /** What the streams hold now; absent where the host does not track it. */
  readonly held?: HeldMemory;
}

/** Demand on a host for one pool since its start, as sent to its peers. */
export interface DemandHint {
  readonly model: ModelId;
  readonly requests: number;
  readonly promptTokens: Tokens;
  /** Average memory footprint of the requests. */
  readonly memoryTokens: Tokens;
  /** Memory footprint multiplied by the output tokens of the request. */
  readonly memorySteps: number;
  /** Requests queued on the host that can still meet their latency target. */
  readonly onTimeWaiting: number;
}

/** Availability zones whose servers are drained and get no new work. */
export interface DrainedZones {
  /** Store version at which the zones were read; 0 where they have not been read. */
  readonly version: number;
  readonly zones: readonly ZoneId[];
}

/** A role change that the host has ordered for an engine. */
export interface RoleChangeHint {
  readonly engine: UpstreamId;
  readonly role: EngineRole;
  /** Milliseconds until peers may use the engine again regardless; 0 where the order was revoked. */
  readonly leftMs: Millis;
}
