import type { Millis, ServiceId } from '@camphorvane/core';

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

/** Part of the slack that may be spent at once; the rest comes back over the window. */
const SAVED_SLACK = 0.5;

interface Level {
  readonly value: number;
  readonly at: Millis;
}

/**
 * Bounds how often this host sends requests to a service once more.
 *
 * Made for a service whose servers fail or are full: repeats then add to the load that made the first
 * attempts fail. The allowance holds for all hosts together, so each takes an equal part of the slack
 * and what its own requests earn.
 */
export class RepeatBudget {
  private readonly allowance: RepeatAllowance;

  private readonly hostCount: () => number;

  private readonly levels = new Map<ServiceId, Level>();

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
    this.add(service, this.allowance.ratio * USED_ALLOWANCE, now);
  }

  /** Pays for one repeat; false where there is none left. */
  tryRepeat(service: ServiceId, now: Millis): boolean {
    if (this.levelOf(service, now) < 1) return false;
    this.add(service, -1, now);
    return true;
  }

  private add(service: ServiceId, change: number, now: Millis): void {
    const value = Math.min(this.most(), this.levelOf(service, now) + change);
    this.levels.set(service, { value, at: now });
  }

  private levelOf(service: ServiceId, now: Millis): number {
    const level = this.levels.get(service);
    if (level === undefined) return this.most();
    const perMs = (this.slackPart() * (1 - SAVED_SLACK)) / this.allowance.windowMs;
    return Math.min(this.most(), level.value + (now - level.at) * perMs);
  }

  /** A repeat can always be saved up, also where a host's part of the slack is below one. */
  private most(): number {
    return Math.max(1, this.slackPart() * SAVED_SLACK);
  }

  private slackPart(): number {
    return (this.allowance.slack * USED_ALLOWANCE) / Math.max(1, this.hostCount());
  }
}
