import type { Clock, Millis } from '@camphorvane/core';
import { err, ok, type Result } from 'neverthrow';
import type { PlatformError } from './ObjectStore.ts';

/** Whose call it is; the order in which parts of a host may use up the budget. */
export type CallPriority = 'membership' | 'config' | 'claims' | 'status';

/** Whether a call changes the store; the platform limits both apart. */
export type CallKind = 'read' | 'write';

/** What a host may ask of the platform. */
export interface CallRates {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

/**
 * What the platform takes from all hosts together, less a fifth for operators' tools and for hosts
 * that are not listed yet: two thousand reads and several (counted as three) hundred writes a
 * second.
 */
export const FLEET_RATES: CallRates = { readsPerSecond: 1600, writesPerSecond: 240 };

/** Seconds of its rate that a host may use at once, so that a start or a change of group fits. */
const BURST_SECONDS = 4;

/**
 * How many times its part a host may use while the platform takes every call. Callers keep to one
 * host for a while, so that one host may need several parts while the others need none.
 */
const SKEW_FACTOR = 4;

/**
 * Milliseconds for which a host keeps to its part after its start, after a refused call and after a
 * call without an answer: then all hosts may ask at once, and their parts together just fit.
 */
const STRICT_MS = 10_000;

/** Least burst, in calls: at 350 hosts a second of the rate is less than one write. */
const MIN_BURST = 8;

/**
 * Part of the burst that stays out of reach of a priority. When the budget runs low, status stops
 * first and claims second (their callers are told "not run"), while membership can use the last
 * call: without it a host would lose its right to serve at all.
 */
const RESERVED: Readonly<Record<CallPriority, number>> = {
  membership: 0,
  config: 0.125,
  claims: 0.25,
  status: 0.5,
};

interface Bucket {
  rate: number;
  burst: number;
  tokens: number;
  at: Millis;
}

/**
 * The calls to the platform that all parts of a host share.
 *
 * It is made for a platform whose rates grow more slowly than the fleet. A call that does not fit is
 * refused at once: a queue before a slow platform would grow without bound and then send its
 * backlog just when the platform comes back.
 */
export class CallBudget {
  private readonly clock: Clock;

  private readonly buckets: Readonly<Record<CallKind, Bucket>>;

  private pausedUntil: Millis;

  private strictUntil: Millis;

  /**
   * @param clock - The clock that refills the budget.
   * @param rates - What this host may ask of the platform.
   */
  constructor(clock: Clock, rates: CallRates) {
    this.clock = clock;
    this.buckets = {
      read: newBucket(rates.readsPerSecond, clock.now()),
      write: newBucket(rates.writesPerSecond, clock.now()),
    };
    this.pausedUntil = clock.now();
    this.strictUntil = clock.now() + STRICT_MS;
  }

  /**
   * Gets the part of the platform's rates that falls to one host.
   *
   * @param hosts - Live hosts, this one included; less than one counts as one.
   * @param fleet - What all hosts may use together.
   * @returns The rates of one host.
   */
  static ratesFor(hosts: number, fleet: CallRates = FLEET_RATES): CallRates {
    const parts = Math.max(1, hosts);
    return {
      readsPerSecond: fleet.readsPerSecond / parts,
      writesPerSecond: fleet.writesPerSecond / parts,
    };
  }

  /**
   * Sets new rates, after the fleet has grown or shrunk; what is left of the budget is kept.
   *
   * @param rates - What this host may ask of the platform from now on.
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
   * @param priority - Whose call it is.
   * @returns Nothing, or `over_budget` with the time after which the call would fit.
   */
  take(kind: CallKind, priority: CallPriority): Result<void, PlatformError> {
    const bucket = this.refill(kind);
    const floor = RESERVED[priority] * bucket.burst;
    const pause = priority === 'membership' ? 0 : this.pausedUntil - this.clock.now();
    const missing = floor + 1 - bucket.tokens;
    if (pause <= 0 && missing <= 0) {
      bucket.tokens -= 1;
      return ok(undefined);
    }
    const refillMs = (Math.max(0, missing) / bucket.rate) * 1000;
    return err({ type: 'over_budget', retryAfterMs: Math.ceil(Math.max(pause, refillMs)) });
  }

  /**
   * Notes that the platform itself refused a call for its rate: only membership goes on until then.
   *
   * @param retryAfterMs - Milliseconds for which the platform asked to be left alone.
   */
  pause(retryAfterMs: Millis): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.clock.now() + retryAfterMs);
    this.noteTrouble();
  }

  /** Notes that the platform refused a call or did not answer: the host keeps to its part. */
  noteTrouble(): void {
    this.refill('read');
    this.refill('write');
    this.strictUntil = this.clock.now() + STRICT_MS;
  }

  /**
   * Gets what is left.
   *
   * @param kind - Reads or writes.
   * @returns Calls that the highest priority could make now.
   */
  left(kind: CallKind): number {
    return this.refill(kind).tokens;
  }

  private refill(kind: CallKind): Bucket {
    const bucket = this.buckets[kind];
    const now = this.clock.now();
    const factor = bucket.at >= this.strictUntil ? SKEW_FACTOR : 1;
    const grown = bucket.tokens + ((now - bucket.at) / 1000) * bucket.rate * factor;
    bucket.tokens = Math.min(bucket.burst, grown);
    bucket.at = now;
    return bucket;
  }
}

function burstFor(rate: number): number {
  return Math.max(MIN_BURST, rate * BURST_SECONDS);
}

function newBucket(rate: number, now: Millis): Bucket {
  return { rate, burst: burstFor(rate), tokens: burstFor(rate), at: now };
}

/** Changes a rate in place; the tokens are cut to the new burst and never grow by the change. */
function resize(bucket: Bucket, rate: number): void {
  const target = bucket;
  target.rate = rate;
  target.burst = burstFor(rate);
  target.tokens = Math.min(bucket.tokens, target.burst);
}
