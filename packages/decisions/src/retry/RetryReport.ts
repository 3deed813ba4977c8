import type { HostId, Incarnation, Millis, ServiceId } from '@camphorvane/core';

/** Retries of the slack of services' budgets, by service. */
export type SlackUse = readonly (readonly [ServiceId, number])[];

/** How a process of a host ended, as far as its peers know. */
export type ProcessEnd =
  /** It has reported what it had used of the slack, and that it leaves. */
  | { readonly type: 'reported'; readonly used: SlackUse }
  /** It was lost within a window after its start. */
  | { readonly type: 'lost_early' }
  | { readonly type: 'lost' };

/** A process of a host that ended within the last window. */
export interface EndedProcess {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Milliseconds since its last sign of life. */
  readonly ageMs: Millis;
  readonly end: ProcessEnd;
}

/** What a host reports to its peers about the budgets that all hosts share. */
export interface RetryReport {
  /** Whether its process started within the last window. */
  readonly isNew: boolean;
  /** What it has used of the slack in the last window. */
  readonly used: SlackUse;
  /** Processes of other hosts that ended within the last window. */
  readonly ended: readonly EndedProcess[];
}

/** What all hosts of a fleet report together. */
export interface RetrySummary {
  /** What their processes have used of the slack in the last window. */
  readonly used: SlackUse;
  /** What processes that ended in it had reported. */
  readonly endedUse: SlackUse;
  /** Processes that were lost in it, a window or more after their start. */
  readonly lost: number;
  /** Processes that were lost in it, within a window after their start. */
  readonly lostEarly: number;
}

/** The report of a host that has nothing to report. */
export const NO_RETRY_REPORT: RetryReport = { isNew: false, used: [], ended: [] };
