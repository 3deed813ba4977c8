import type { HostId, Incarnation, Millis, ServiceId } from '@camphorvane/core';
import type { EndedProcess, ProcessEnd, SlackUse } from './RetryReport.ts';

/** Most processes that are remembered, the latest ones; a report of all of them takes 5 KB. */
const MAX_PROCESSES = 64;

/** Windows for which an ended process is remembered, so that its last messages are not taken for those of a new one. */
const REMEMBERED_WINDOWS = 3;

/** Milliseconds by which a report of the same end may be late; it would move forward each time that it is passed on. */
const MAX_REPORT_DELAY_MS: Millis = 500;

/** How much is known of an end; hosts that know less don't make others forget. */
const KNOWLEDGE = { lost: 0, lost_early: 1, reported: 2 } as const satisfies Record<
  ProcessEnd['type'],
  number
>;

interface Ended {
  readonly host: HostId;
  readonly endedAt: Millis;
  readonly end: ProcessEnd;
}

/** The processes of all hosts that ended lately, and what they had used of the slack of retry budgets. */
export class EndedProcesses {
  private readonly windowMs: Millis;

  private readonly processes = new Map<Incarnation, Ended>();

  /** @param windowMs - Length of the window of the budgets, in milliseconds. */
  constructor(windowMs: Millis) {
    this.windowMs = windowMs;
  }

  /**
   * Records that a process has ended.
   *
   * @param process - The process.
   * @param now - Present time.
   */
  record({ host, incarnation, ageMs, end }: EndedProcess, now: Millis): void {
    const known = this.processes.get(incarnation);
    const reportedAt = now - ageMs;
    const isLater = known === undefined || reportedAt > known.endedAt + MAX_REPORT_DELAY_MS;
    const isBetter = known === undefined || KNOWLEDGE[end.type] > KNOWLEDGE[known.end.type];
    this.processes.set(incarnation, {
      host,
      endedAt: isLater ? reportedAt : known.endedAt,
      end: isBetter ? end : known.end,
    });
    this.prune(now);
  }

  /** Tells whether a process has ended. */
  has(incarnation: Incarnation): boolean {
    return this.processes.has(incarnation);
  }

  /** Gets the processes that ended within the last window. */
  getReports(now: Millis): readonly EndedProcess[] {
    return [...this.processes]
      .filter(([, { endedAt }]) => now - endedAt < this.windowMs)
      .map(([incarnation, { host, endedAt, end }]) => ({
        ...{ host, incarnation, end },
        ageMs: Math.max(0, now - endedAt),
      }));
  }

  private prune(now: Millis): void {
    const rememberedMs = this.windowMs * REMEMBERED_WINDOWS;
    [...this.processes]
      .filter(([, { endedAt }]) => now - endedAt > rememberedMs)
      .forEach(([incarnation]) => this.processes.delete(incarnation));
    const [oldest] = this.processes.keys();
    if (this.processes.size > MAX_PROCESSES && oldest !== undefined) this.processes.delete(oldest);
  }
}

/** Gets what processes had reported that they had used of the slack of a service. */
export function reportedUse(processes: readonly EndedProcess[], service: ServiceId): number {
  return processes.reduce(
    (sum, { end }) => sum + (end.type === 'reported' ? useOf(end.used, service) : 0),
    0,
  );
}

/** Gets what was used of the slack of a service. */
export function useOf(used: SlackUse, service: ServiceId): number {
  return used.find(([name]) => name === service)?.[1] ?? 0;
}
