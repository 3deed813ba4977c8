import type { Millis, ServiceId } from '@camphorvane/core';
import { WindowCount } from './WindowCount.ts';

/** What all hosts together may send beyond the first attempt of each request. */
export interface RepeatAllowance {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beyond that in any window. */
  readonly slack: number;
  readonly windowMs: Millis;
}

/** Part of the allowance that is used; requests whose repeats are under way stay within the rest. */
const USED_ALLOWANCE = 0.85;

interface Counts {
  readonly requests: WindowCount;
  readonly repeats: WindowCount;
}

/**
 * Bounds how often this host sends requests to a service once more.
 *
 * Made for a service whose servers fail or are full: repeats then add to the load that made the first
 * attempts fail. The allowance holds for all hosts together, so each takes an equal part of the slack
 * and what its own requests earn. Both are counted over the very window that the allowance speaks of:
 * servers crash at once, and the requests that they had on all hosts must be repeated in one moment.
 */
export class RepeatBudget {
  private readonly allowance: RepeatAllowance;

  private readonly hostCount: () => number;

  private readonly counts = new Map<ServiceId, Counts>();

  /**
   * @param allowance - What all hosts together may repeat.
   * @param hostCount - Gets how many hosts share it.
   */
  constructor(allowance: RepeatAllowance, hostCount: () => number) {
    this.allowance = allowance;
    this.hostCount = hostCount;
  }

  /** Notes a request's first attempt, which earns part of a repeat. */
  attempted(service: ServiceId, now: Millis): void {
    this.countsOf(service).requests.add(now);
  }

  /** Pays for one repeat; false where there is none left. */
  tryRepeat(service: ServiceId, now: Millis): boolean {
    const { requests, repeats } = this.countsOf(service);
    const earned = requests.count(now) * this.allowance.ratio * USED_ALLOWANCE;
    if (repeats.count(now) + 1 > Math.max(1, this.slackPart() + earned)) return false;
    repeats.add(now);
    return true;
  }

  private countsOf(service: ServiceId): Counts {
    const known = this.counts.get(service);
    if (known !== undefined) return known;
    const { windowMs } = this.allowance;
    const counts = { requests: new WindowCount(windowMs), repeats: new WindowCount(windowMs) };
    this.counts.set(service, counts);
    return counts;
  }

  /** One repeat can always be paid, also where a host's part of the slack is below one. */
  private slackPart(): number {
    return (this.allowance.slack * USED_ALLOWANCE) / Math.max(1, this.hostCount());
  }
}
