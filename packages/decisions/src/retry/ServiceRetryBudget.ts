import type { Millis, ServiceId } from '@camphorvane/core';
import type { SlackUse } from './RetryReport.ts';
import type { SlackShare } from './SlackShares.ts';
import { SlidingWindowCounter } from './SlidingWindowCounter.ts';

/** Retries that all hosts together may send to a service. */
export interface RetryAllowance {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed beyond that in any window. */
  readonly slack: number;
  /** Length of a window in milliseconds. */
  readonly windowMs: Millis;
}

/** Fraction of the allowance that is used; the rest covers requests whose retries are in flight. */
const USED_FRACTION = 0.85;

/** What a host has charged to a service's budget in the last window, and what it may charge. */
export interface RetryBudgetState {
  /** Retries charged in the window. */
  readonly used: number;
  /** Retries that it may charge in the window: its part of the slack and what its requests have earned. */
  readonly allowed: number;
  readonly earned: number;
  /** Its part of the slack, which may be less than one retry. */
  readonly slack: SlackShare;
}

/** Divides the slack among hosts. */
export interface SlackDivider {
  /** Gets this host's part of the slack of a service. */
  getShare(service: ServiceId, slack: number, now: Millis): SlackShare;
}

interface Counts {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

/**
 * Limits the retries that this host sends to each service.
 *
 * Guards against retry storms on a service whose servers fail or are full, where retries add to the
 * load that made the first attempts fail. The allowance is for all hosts together, so each host has a
 * part of the slack plus what its own requests earn. Requests and retries are counted over the
 * allowance's own window, so that all retries of a window may be sent at once: a server that crashes
 * fails all its requests, on all hosts, at the same moment.
 */
export class ServiceRetryBudget {
  private readonly allowance: RetryAllowance;

  private readonly divider: SlackDivider;

  private readonly counts = new Map<ServiceId, Counts>();

  /**
   * @param allowance - Retries of all hosts together.
   * @param divider - Divides the slack among the hosts.
   */
  constructor(allowance: RetryAllowance, divider: SlackDivider) {
    this.allowance = allowance;
    this.divider = divider;
  }

  /** Records the first attempt of a request, which earns part of a retry. */
  recordAttempt(service: ServiceId, now: Millis): void {
    this.countsOf(service).requests.add(now);
  }

  /** Charges one retry to a service; false if its budget is exhausted. */
  tryRetry(service: ServiceId, now: Millis): boolean {
    const { used, allowed } = this.inspect(service, now);
    if (used + 1 > allowed) return false;
    this.recordRetry(service, now);
    return true;
  }

  /** Charges a retry to a service that was sent without having been asked for. */
  recordRetry(service: ServiceId, now: Millis): void {
    this.countsOf(service).retries.add(now);
  }

  /** Gets what was charged to a service's budget, and what may be. */
  inspect(service: ServiceId, now: Millis): RetryBudgetState {
    const { requests, retries } = this.countsOf(service);
    const earned = requests.count(now) * this.allowance.ratio * USED_FRACTION;
    const slack = this.divider.getShare(service, this.allowance.slack * USED_FRACTION, now);
    // Each host is allowed one retry in a window, even if its share is below one, unless one before it may have sent it.
    const allowed = Math.max(slack.isSettled ? 1 : 0, slack.retries + earned);
    return { used: retries.count(now), allowed, earned, slack };
  }

  /** Gets what this host has used of the slack of each service in the last window. */
  getUsedSlack(now: Millis): SlackUse {
    return [...this.counts].flatMap(([service, { requests, retries }]) => {
      const earned = requests.count(now) * this.allowance.ratio * USED_FRACTION;
      const used = Math.ceil(retries.count(now) - earned);
      return used > 0 ? [[service, used] as const] : [];
    });
  }

  private countsOf(service: ServiceId): Counts {
    const known = this.counts.get(service);
    if (known !== undefined) return known;
    const { windowMs } = this.allowance;
    const counts = {
      requests: new SlidingWindowCounter(windowMs),
      retries: new SlidingWindowCounter(windowMs),
    };
    this.counts.set(service, counts);
    return counts;
  }
}
