import { performance } from 'node:perf_hooks';
import { untilArrivedIsRead } from './callerDisconnect.ts';
import type { Millis } from './Clock.ts';
import { runInBackground } from './contain.ts';
import type { ReadLag } from './ReadLag.ts';
import { untilPolled } from './turns.ts';

/** Most polls of all connections before the next request starts; each accepts one connection of each listener. */
const MAX_POLLS = 16;

/** A request that is to start. */
export interface IntakeRequest {
  /** Aborted when its caller leaves. */
  readonly signal: AbortSignal;
  /** Gets the longest time that it may wait for its start, in milliseconds. */
  readonly getMaxWaitMs: () => Millis;
}

/** What becomes of a request: it starts, or it has waited too long. */
export type IntakeDecision = 'start' | 'late';

interface WaitingRequest {
  readonly signal: AbortSignal;
  readonly lateAt: Millis;
  readonly resolve: (decision: IntakeDecision) => void;
}

/**
 * Starts the requests of a process, one after the other where the event loop is late.
 *
 * A request costs more to serve than to refuse, and one new connection is accepted a turn of the event loop. Served as
 * they come, requests beyond what the process can do wait in the operating system, unseen and without end. So all that
 * has arrived is read before another one starts; the newest starts first, as the others are late already, and those
 * behind it that have waited too long are refused.
 */
export class RequestIntake {
  private readonly lag: ReadLag;

  private waiting: WaitingRequest[] = [];

  private arrivals = 0;

  private isStarting = false;

  /** @param lag - Tells how long requests have waited before they are read. */
  constructor(lag: ReadLag) {
    this.lag = lag;
  }

  /** Records that a connection was accepted, or a request read. */
  recordArrival(): void {
    this.arrivals += 1;
  }

  /**
   * Records that a periodic timer has fired. A process that is busy with other work is never idle, and still reads all
   * that arrives: a poll that brings nothing shows that.
   *
   * @param periodMs - Milliseconds until it is due again.
   */
  recordTick(periodMs: Millis): void {
    this.lag.recordTick(periodMs);
    if (this.lag.getLagMs() > 0) runInBackground('request.intake', () => this.readOnce());
  }

  /** Gets for how long what is read now has waited, in milliseconds; see {@link ReadLag.getLagMs}. */
  getLagMs(): Millis {
    return this.lag.getLagMs();
  }

  /** Gets when what is read now arrived, as a time of `performance.now`. */
  getArrivalTime(): Millis {
    return performance.now() - this.lag.getLagMs();
  }

  /**
   * Tells whether what is read now has waited for too long to be served.
   *
   * @param getMaxWaitMs - Gets the longest wait, in milliseconds; asked only where the event loop is late.
   */
  isLate(getMaxWaitMs: () => Millis): boolean {
    const lagMs = this.lag.getLagMs();
    return lagMs > 0 && lagMs >= getMaxWaitMs();
  }

  /**
   * Waits until a request may start.
   *
   * @param request - The request, which has just been read.
   * @returns Whether it starts; one whose caller has left does as well, as nothing is left to be refused.
   */
  async untilStart(request: IntakeRequest): Promise<IntakeDecision> {
    const lagMs = this.lag.getLagMs();
    if (!this.isStarting && lagMs === 0) {
      await untilArrivedIsRead();
      return 'start';
    }
    const lateAt = performance.now() - lagMs + request.getMaxWaitMs();
    return new Promise((resolve) => {
      this.waiting.push({ signal: request.signal, lateAt, resolve });
      if (!this.isStarting) runInBackground('request.intake', () => this.startWaiting());
    });
  }

  private async startWaiting(): Promise<void> {
    this.isStarting = true;
    while (this.waiting.length > 0) {
      await this.readArrived();
      this.releaseUnserved(performance.now());
      this.waiting.pop()?.resolve('start');
    }
    this.isStarting = false;
  }

  /** Has the event loop accept and read what has arrived, until nothing more comes or there is too much of it. */
  private async readArrived(): Promise<void> {
    let isCaughtUp = false;
    for (let polls = 0; polls < MAX_POLLS && !isCaughtUp; polls += 1) {
      isCaughtUp = await this.readOnce();
    }
  }

  /** Waits for a poll of all connections; gets whether it brought nothing, so that all that had arrived is read. */
  private async readOnce(): Promise<boolean> {
    const before = this.arrivals;
    await untilPolled();
    const isCaughtUp = this.arrivals === before;
    if (isCaughtUp) this.lag.recordCaughtUp();
    return isCaughtUp;
  }

  /** Releases those whose callers have left, and those that are late, but for the newest: nothing else waits then. */
  private releaseUnserved(now: Millis): void {
    const [gone, staying] = partition(this.waiting, ({ signal }) => signal.aborted);
    const newest = staying.at(-1);
    const [late, served] = partition(staying, (one) => one !== newest && one.lateAt <= now);
    this.waiting = served;
    gone.forEach(({ resolve }) => resolve('start'));
    late.forEach(({ resolve }) => resolve('late'));
  }
}

function partition<T>(all: readonly T[], matches: (one: T) => boolean): readonly [T[], T[]] {
  return [all.filter(matches), all.filter((one) => !matches(one))];
}
