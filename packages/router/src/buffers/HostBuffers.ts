import type {
  ArrivingReservation,
  BufferKind,
  BufferOwner,
  Buffers,
  Clock,
  Millis,
  Refusal,
  Reservation,
} from '@camphorvane/core';
import { notRun, UNCOUNTED_RESERVATION } from '@camphorvane/core';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { ArrivingBodies } from './ArrivingBodies.ts';
import { BufferBudget } from './BufferBudget.ts';

/** Bounds of `Retry-After`: a new connection takes some ms, and callers give up after some seconds. */
const MIN_RETRY_MS: Millis = 100;
const MAX_RETRY_MS: Millis = 5_000;

/** Retry-after in milliseconds where no release was measured. */
const DEFAULT_RETRY_MS: Millis = 1_000;

/** Time constant of the measured release rate. */
const RATE_WINDOW_MS: Millis = 1_000;

/** Milliseconds between two updates of the gauge. */
const GAUGE_INTERVAL_MS: Millis = 250;

/** Milliseconds between two lines about refusals, and between two about evictions; the counters count all. */
const LOG_INTERVAL_MS: Millis = 100;

const KINDS: readonly BufferKind[] = ['request', 'response', 'stream', 'sent'];

const log = eventLog('buffers');

/** The buffers of a host: what they take of its memory is bounded always, what upstreams hold where the configuration says so. */
export class HostBuffers implements Buffers {
  private readonly clock: Clock;

  private readonly metrics: Metrics;

  private readonly budget: BufferBudget;

  private isSwitchedOn: () => boolean = () => false;

  private readonly arriving = new ArrivingBodies();

  private isGaugeScheduled = false;

  private refusalLoggedAt: Millis = -Infinity;

  private evictionLoggedAt: Millis = -Infinity;

  /** Bytes released lately, decaying with {@link RATE_WINDOW_MS}. */
  private released = 0;

  private releasedAt: Millis;

  /**
   * @param clock - Times the release rate and the gauge.
   * @param metrics - Metrics of the host.
   * @param memoryMb - Memory limit of the host.
   */
  constructor(clock: Clock, metrics: Metrics, memoryMb: number) {
    this.clock = clock;
    this.metrics = metrics;
    this.budget = new BufferBudget(memoryMb);
    this.releasedAt = clock.now();
  }

  /** Sets what tells whether the configuration also bounds what upstreams hold; see {@link Buffers.isBounded}. */
  setSwitch(isSwitchedOn: () => boolean): void {
    this.isSwitchedOn = isSwitchedOn;
  }

  /** {@inheritDoc Buffers.isBounded} */
  isBounded(): boolean {
    return this.isSwitchedOn();
  }

  /** {@inheritDoc Buffers.tryReserve} */
  tryReserve(kind: BufferKind, owner: BufferOwner, bytes: number): Reservation | undefined {
    // What an upstream holds takes no memory here.
    if (kind === 'sent' && !this.isSwitchedOn()) return UNCOUNTED_RESERVATION;
    const reservation = this.makeRoom(() => this.budget.tryReserve(kind, owner.owner, bytes));
    this.scheduleGauge();
    if (reservation === undefined) {
      this.recordRefused(kind, owner, bytes);
      return undefined;
    }
    let isReleased = false;
    return {
      tryGrow: (more) => {
        const hasGrown = this.makeRoom(
          () => !isReleased && (reservation.tryGrow(more) || undefined),
        );
        if (hasGrown !== true) this.recordRefused(kind, owner, more);
        return hasGrown === true;
      },
      release: () => {
        isReleased = true;
        const before = this.budget.getTotal();
        reservation.release();
        this.recordReleased(before - this.budget.getTotal());
        this.scheduleGauge();
      },
    };
  }

  /** {@inheritDoc Buffers.tryReserveBody} */
  tryReserveBody(
    owner: BufferOwner,
    bytes: number,
    evict: () => void,
  ): ArrivingReservation | undefined {
    const reservation = this.tryReserve('request', owner, bytes);
    if (reservation === undefined) return undefined;
    const body = this.arriving.add(this.clock.now(), () => {
      this.recordEvicted(owner);
      evict();
    });
    return {
      tryGrow: (more) => reservation.tryGrow(more),
      release: () => {
        body.end();
        reservation.release();
      },
      recordProgress: (arrived) => body.recordProgress(arrived, this.clock.now()),
      recordWhole: () => body.end(),
    };
  }

  /** {@inheritDoc Buffers.refusal} */
  refusal(bytes: number): Refusal {
    return bytes > this.budget.totalBound
      ? notRun('body_too_large', 'The body is larger than this host can buffer.')
      : notRun(
          'no_capacity',
          'This host has no room to buffer the request.',
          this.retryAfterMs(bytes),
        );
  }

  /** {@inheritDoc Buffers.recordCutOff} */
  recordCutOff({ owner, request }: BufferOwner): void {
    this.metrics.count('buffers.cut_off');
    log('cut_off', { id: request, owner });
  }

  /** Gets the reserved bytes by kind, for the state dump. */
  dump(): Readonly<Record<BufferKind, number>> {
    const { budget } = this;
    return {
      request: budget.getBytes('request'),
      response: budget.getBytes('response'),
      stream: budget.getBytes('stream'),
      sent: budget.getBytes('sent'),
    };
  }

  /** Repeats an attempt to reserve room while slow bodies can make way for it. */
  private makeRoom<T>(attempt: () => T | undefined): T | undefined {
    let reserved = attempt();
    while (reserved === undefined && this.arriving.evictSlowest(this.clock.now())) {
      reserved = attempt();
    }
    return reserved;
  }

  private recordEvicted({ owner, request }: BufferOwner): void {
    this.metrics.count('buffers.evicted');
    if (this.clock.now() - this.evictionLoggedAt < LOG_INTERVAL_MS) return;
    this.evictionLoggedAt = this.clock.now();
    log('evicted', { id: request, owner, held: this.budget.getTotal() });
  }

  private recordRefused(kind: BufferKind, { owner, request }: BufferOwner, bytes: number): void {
    this.metrics.count('buffers.refused', { kind });
    if (this.clock.now() - this.refusalLoggedAt < LOG_INTERVAL_MS) return;
    this.refusalLoggedAt = this.clock.now();
    const { totalBound } = this.budget;
    const held = this.budget.getTotal();
    log('refused', { id: request, kind, owner, bytes, held, bound: totalBound });
  }

  /** Gets the time in which as many bytes as are missing have been released at the measured rate. */
  private retryAfterMs(bytes: number): Millis {
    const missing = Math.max(bytes, this.budget.getTotal() + bytes - this.budget.totalBound);
    const perMs = this.decayedRelease() / RATE_WINDOW_MS;
    const expected = perMs > 0 ? missing / perMs : DEFAULT_RETRY_MS;
    return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, expected)));
  }

  private recordReleased(bytes: number): void {
    this.released = this.decayedRelease() + bytes;
    this.releasedAt = this.clock.now();
  }

  private decayedRelease(): number {
    return this.released * Math.exp((this.releasedAt - this.clock.now()) / RATE_WINDOW_MS);
  }

  /** Updates the gauge soon, instead of on every reservation. */
  private scheduleGauge(): void {
    if (this.isGaugeScheduled) return;
    this.isGaugeScheduled = true;
    this.clock.after(GAUGE_INTERVAL_MS, () => {
      this.isGaugeScheduled = false;
      KINDS.forEach((kind) =>
        this.metrics.gauge('buffers.bytes', this.budget.getBytes(kind), { kind }),
      );
    });
  }
}
