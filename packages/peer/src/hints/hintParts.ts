import type { EngineRole, Millis, ModelId, Tokens, UpstreamId, ZoneId } from '@camphorvane/core';

/** What a host has on one engine, as it tells its peers. */
export interface EngineHint {
  readonly engine: UpstreamId;
  readonly prefillTokens: Tokens;
  readonly streams: number;
  readonly memoryTokens: Tokens;
}

/** What was asked of a host for one pool since its start, as it tells its peers. */
export interface DemandHint {
  readonly model: ModelId;
  readonly requests: number;
  readonly promptTokens: Tokens;
  /** Memory that the requests hold on average. */
  readonly memoryTokens: Tokens;
  /** That memory times the output tokens of its request. */
  readonly memorySteps: number;
  /** Requests that wait on the host now and can still be on time. */
  readonly onTimeWaiting: number;
}

/** Availability zones whose servers get no work. */
export interface DrainedZones {
  /** Version of the store at which they were read; 0 where they were not. */
  readonly version: number;
  readonly zones: readonly ZoneId[];
}

/** An engine that the host has ordered into another role. */
export interface MoveHint {
  readonly engine: UpstreamId;
  readonly role: EngineRole;
  /** Milliseconds until peers may use it again in any case; 0 where the order was taken back. */
  readonly leftMs: Millis;
}
