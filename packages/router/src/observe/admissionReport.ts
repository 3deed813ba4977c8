import type { AdmissionEvent } from '@camphorvane/decisions';
import type { EventLog } from './EventLog.ts';
import type { Metrics } from './Metrics.ts';

/** Kind of a queue, as a tag of its metrics. */
export type QueueKind = 'service' | 'streams' | 'pool';

const MS_PER_SECOND = 1_000;

/** Largest time that is logged, in milliseconds; JSON has no infinity. */
const MAX_LOGGED_MS = 3_600_000;

/**
 * Gets the function that logs and counts what the admission to a queue reports.
 *
 * @param log - Log of the component that has the queue.
 * @param kind - Kind of the queue.
 * @param queue - Name of the queue: its service or model.
 * @param metrics - Metrics of the host; absent where only the log is written.
 * @returns The function.
 */
export function admissionReport(
  log: EventLog,
  kind: QueueKind,
  queue: string,
  metrics: Metrics | undefined,
): (event: AdmissionEvent) => void {
  return (event) => {
    switch (event.type) {
      case 'refused':
        metrics?.count('admission.refused', { queue: kind, stage: event.stage });
        log('admission_refused', {
          id: event.request,
          queue,
          team: event.team,
          stage: event.stage,
          expectedMs: toLogged(event.waitMs),
          leftMs: toLogged(event.leftMs),
          drainPerS: perSecond(event.drainPerMs),
          measuredMs: Math.round(event.measuredMs),
          backlog: Math.round(event.backlog),
          correction: Math.round(event.correction * 100) / 100,
          retryAfterMs: event.retryAfterMs,
        });
        break;
      case 'refused_while_idle':
        metrics?.count('admission.refused_while_idle', { queue: kind }, event.count);
        log('refused_while_idle', { queue, count: event.count });
        break;
      default:
        event satisfies never;
    }
  };
}

/**
 * Records the expected and the real wait of a request that starts.
 *
 * @param kind - Kind of its queue.
 * @param expectedMs - Wait that was expected on its arrival; undefined where none was.
 * @param waitedMs - Its real wait.
 * @param metrics - Metrics of the host; absent where none are kept.
 */
export function recordWaits(
  kind: QueueKind,
  expectedMs: number | undefined,
  waitedMs: number,
  metrics: Metrics | undefined,
): void {
  if (expectedMs === undefined) return;
  metrics?.timing('admission.expected_wait', expectedMs, { queue: kind });
  metrics?.timing('admission.real_wait', waitedMs, { queue: kind });
}

/** Rounds an expected wait for the log; undefined where none was estimated. */
export function toLoggedWait(expectedMs: number | undefined): number | undefined {
  return expectedMs === undefined ? undefined : toLogged(expectedMs);
}

function toLogged(ms: number): number {
  return Math.round(Math.max(-MAX_LOGGED_MS, Math.min(MAX_LOGGED_MS, ms)));
}

function perSecond(perMs: number | undefined): number | undefined {
  return perMs === undefined ? undefined : Math.round(perMs * MS_PER_SECOND * 10) / 10;
}
