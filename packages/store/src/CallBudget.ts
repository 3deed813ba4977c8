import type { Clock, Millis } from '@camphorvane/core';
import { err, ok, type Result } from 'neverthrow';
import type { PlatformError } from './ObjectStore.ts';

/** The component that makes a call; determines which part of the budget it may use. */
export type CallPriority = 'membership' | 'config' | 'claims' | 'status';

/** Whether a call reads or writes; the platform has a separate rate limit for each. */
export type CallKind = 'read' | 'write';

/** Call rates to the platform. */
export interface CallRates {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

/**
 * Call rates of all hosts together: the platform's limits of 2000 reads and several hundred (taken as
 * 300) writes a second, less a fifth for operators' tools and for hosts that are not listed yet.
 */
export const FLEET_RATES: CallRates = { readsPerSecond: 1600, writesPerSecond: 240 };

/** Token bucket size of a host, in seconds of its rate; fits the calls of a start or a group change. */
const BURST_SECONDS = 4;

/**
 * Multiple of its share that a host may use while the platform accepts every call. Callers stay with
 * one host for a while, so that one host may need several shares while others need none.
 */
const MAX_SHARE_FACTOR = 4;

/**
 * Milliseconds for which a host keeps to its share after its start, a rate-limited call or a call
 * without a response: all hosts may call at once then, and only their shares fit the platform's rate.
 */
const SHARE_ONLY_MS = 10_000;

/** Minimum burst, in calls: at 350 hosts the share of one host is less than one write a second. */
const MIN_BURST = 8;

/**
 * Fraction of the burst that is reserved for higher priorities. When the budget runs low, status calls
 * stop first and claims second (their callers are refused as not run). Membership may use the last
 * call: without it a host could not serve at all.
 */
const RESERVED_FRACTION: Readonly<Record<CallPriority, number>> = {
  membership: 0,
  config: 0.125,
  claims: 0.25,
  status: 0.5,
};

interface Bucket {
  rate: number;
  burst: number;
  tokens: number;
  refilledAt: Millis;
}

/**
 * Token buckets for the platform calls of all components of a host.
 *
 * The rate limits of the platform grow more slowly than the fleet. A call over the budget is refused
 * at once: a queue in front of a slow platform would grow without bound and send its backlog just
 * when the platform recovers.
 */
export class CallBudget {
  private readonly clock: Clock;

  private readonly buckets: Readonly<Record<CallKind, Bucket>>;

  private pausedUntil: Millis;

  private shareOnlyUntil: Millis;

  /**
   * @param clock - Times the refill of the buckets.
   * @param rates - The call rates of this host.
   */
  constructor(clock: Clock, rates: CallRates) {
    this.clock = clock;
    this.buckets = {
      read: newBucket(rates.readsPerSecond, clock.now()),
      write: newBucket(rates.writesPerSecond, clock.now()),
    };
    this.pausedUntil = clock.now();
    this.shareOnlyUntil = clock.now() + SHARE_ONLY_MS;
  }

  /**
   * Gets one host's share of the platform's rates.
   *
   * @param hosts - Number of live hosts, including this one; less than one counts as one.
   * @param fleet - The rates of all hosts together.
   * @returns The rates of one host.
   */
  static ratesFor(hosts: number, fleet: CallRates = FLEET_RATES): CallRates {
    const shares = Math.max(1, hosts);
    return {
      readsPerSecond: fleet.readsPerSecond / shares,
      writesPerSecond: fleet.writesPerSecond / shares,
    };
  }

  /**
   * Sets new rates after a change of the fleet's size; the tokens are kept, up to the new burst.
   *
   * @param rates - The new call rates of this host.
   */
  setRates(rates: CallRates): void {
    this.refill('read');
    this.refill('write');
    resize(this.buckets.read, rates.readsPerSecond);
    resize(this.buckets.write, rates.writesPerSecond);
  }

  /**
   * Takes one call from the budget.
   *
   * @param kind - Whether the call reads or writes.
   * @param priority - The component that makes the call.
   * @returns Nothing, or `over_budget` with the milliseconds after which the call would fit.
   */
  take(kind: CallKind, priority: CallPriority): Result<void, PlatformError> {
    const bucket = this.refill(kind);
    const reserved = RESERVED_FRACTION[priority] * bucket.burst;
    const pause = priority === 'membership' ? 0 : this.pausedUntil - this.clock.now();
    const missing = reserved + 1 - bucket.tokens;
    if (pause <= 0 && missing <= 0) {
      bucket.tokens -= 1;
      return ok(undefined);
    }
    const refillMs = (Math.max(0, missing) / bucket.rate) * 1000;
    return err({ type: 'over_budget', retryAfterMs: Math.ceil(Math.max(pause, refillMs)) });
  }

  /**
   * Pauses all calls but those of membership after the platform itself has rate-limited a call.
   *
   * @param retryAfterMs - Retry delay that the platform asked for, in milliseconds.
   */
  pause(retryAfterMs: Millis): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.clock.now() + retryAfterMs);
    this.recordFailure();
  }

  /** Restricts the host to its share, after a rate-limited call or one without a response. */
  recordFailure(): void {
    this.refill('read');
    this.refill('write');
    this.shareOnlyUntil = this.clock.now() + SHARE_ONLY_MS;
  }

  /**
   * Gets the remaining budget.
   *
   * @param kind - Reads or writes.
   * @returns Number of calls that the highest priority could make now.
   */
  getRemaining(kind: CallKind): number {
    return this.refill(kind).tokens;
  }

  private refill(kind: CallKind): Bucket {
    const bucket = this.buckets[kind];
    const now = this.clock.now();
    const factor = bucket.refilledAt >= this.shareOnlyUntil ? MAX_SHARE_FACTOR : 1;
    const refilled = bucket.tokens + ((now - bucket.refilledAt) / 1000) * bucket.rate * factor;
    bucket.tokens = Math.min(bucket.burst, refilled);
    bucket.refilledAt = now;
    return bucket;
  }
}

function burstFor(rate: number): number {
  return Math.max(MIN_BURST, rate * BURST_SECONDS);
}

function newBucket(rate: number, now: Millis): Bucket {
  return { rate, burst: burstFor(rate), tokens: burstFor(rate), refilledAt: now };
}

/** Changes a bucket's rate in place; limits the tokens to the new burst and never adds any. */
function resize(bucket: Bucket, rate: number): void {
  const target = bucket;
  target.rate = rate;
  target.burst = burstFor(rate);
  target.tokens = Math.min(bucket.tokens, target.burst);
}
