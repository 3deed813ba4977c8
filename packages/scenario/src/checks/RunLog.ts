import type { AttemptId, HostId, Millis, UpstreamId } from '@camphorvane/core';
import type { ExecutionRecord } from '@camphorvane/stand-ins';
import type { AdviceLog } from '../callers/HostChooser.ts';
import type { RequestLog } from '../callers/RequestLog.ts';
import type { Scenario } from '../language/scenarioSchema.ts';
import type { Dispatch } from '../world/DispatchLog.ts';
import type { SeenVersion } from '../world/HostSlot.ts';
import type { AppliedConfig, Asked, Drain } from '../world/World.ts';

/** Memory that an engine still held when all was over. */
export interface HeldMemory {
  readonly engine: UpstreamId;
  readonly attempts: readonly AttemptId[];
}

/** Everything that was seen of one run. */
export interface RunLog {
  readonly scenario: Scenario;
  /** When the steps began, in virtual time. */
  readonly startedAt: Millis;
  readonly endedAt: Millis;
  readonly requests: readonly RequestLog[];
  readonly records: readonly ExecutionRecord[];
  readonly dispatches: readonly Dispatch[];
  readonly versions: readonly SeenVersion[];
  readonly applied: readonly AppliedConfig[];
  readonly drains: readonly Drain[];
  readonly asked: readonly Asked[];
  readonly advice: readonly AdviceLog[];
  readonly held: readonly HeldMemory[];
  /** Hosts that were up when all was over. */
  readonly up: readonly HostId[];
}

/** Something that must never happen and did. */
export interface Violation {
  readonly check: string;
  readonly message: string;
}

/** Looks for violations of one promise. */
export type Check = (log: RunLog) => readonly Violation[];

/** Makes a violation. */
export function violation(check: string, message: string): Violation {
  return { check, message };
}
