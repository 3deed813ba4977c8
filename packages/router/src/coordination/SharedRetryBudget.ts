import type { Clock, HostId, Incarnation, Millis } from '@camphorvane/core';
import { ServiceRetryBudget, SlackShares } from '@camphorvane/decisions';
import type { RetryAllowance, RetryReport, RetrySummary } from '@camphorvane/decisions';
import type { HostDigest, HostHint } from '@camphorvane/peer/hints';
import type { RetryGate } from '../host/ports.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { serviceRetryGate } from '../serving/retryGates.ts';

/** Options of a {@link SharedRetryBudget}. */
export interface SharedRetryBudgetOptions {
  /** Retries of all hosts together. */
  readonly retryAllowance: RetryAllowance;
  readonly metrics: Metrics;
}

/** What all hosts together may retry, divided among them by what they report to each other. */
export class SharedRetryBudget {
  readonly gate: RetryGate;

  private readonly clock: Clock;

  private readonly shares: SlackShares;

  private readonly budget: ServiceRetryBudget;

  /**
   * @param self - This host.
   * @param options - The allowance, and what counts retries.
   * @param clock - Clock of the windows.
   */
  constructor(self: HostId, options: SharedRetryBudgetOptions, clock: Clock) {
    const { retryAllowance, metrics } = options;
    const { windowMs } = retryAllowance;
    this.clock = clock;
    this.shares = new SlackShares({ self, windowMs, startedAt: clock.now() });
    this.budget = new ServiceRetryBudget(retryAllowance, this.shares);
    this.gate = serviceRetryGate(this.budget, metrics);
  }

  /** Sets the other hosts that share the allowance. */
  setPeers(hosts: readonly HostId[]): void {
    this.shares.setPeers(hosts, this.clock.now());
  }

  /** Records the process of this host before this one. */
  recordEarlierProcess(incarnation: Incarnation): void {
    this.shares.recordEarlierProcess(incarnation, this.clock.now());
  }

  /** Receives what a peer reports. */
  receive(hint: HostHint): void {
    this.shares.receive(hint, this.clock.now());
  }

  /** Receives what all peers report together, from a relay. */
  receiveDigest({ retries, hostCount }: HostDigest): void {
    this.shares.receiveSummary(retries, hostCount, this.clock.now());
  }

  /** Gets what this host reports to its peers. */
  getReport(now: Millis): RetryReport {
    return this.shares.getReport(this.budget.getUsedSlack(now), now);
  }

  /** Gets what a relay reports of processes that have ended. */
  getEnded(): Omit<RetrySummary, 'used'> {
    return this.shares.getEnded(this.clock.now());
  }
}
