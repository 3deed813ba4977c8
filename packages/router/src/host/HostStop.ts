import type { Clock, Millis } from '@camphorvane/core';
import { runInBackground, sleep } from '@camphorvane/core';
import type { DeliverySummary, UndeliveredAnswer } from '../observe/DeliveryLog.ts';
import { summarizeDelivery } from '../observe/DeliveryLog.ts';
import { eventLog } from '../observe/EventLog.ts';
import type { Host } from './Host.ts';

const log = eventLog('host');

/**
 * Longest time in milliseconds for which a leaving host still accepts requests. Callers stop using it after their
 * next response or host list; requests accepted later might not finish within the grace period.
 */
const MAX_LEAVING_MS: Millis = 2_500;

/** Largest part of the grace period in which a leaving host still accepts requests. */
const MAX_LEAVING_RATIO = 1 / 3;

/** Milliseconds before the end of the grace period at which requests in flight are abandoned. */
const GRACE_END_MARGIN_MS: Millis = 400;

/** A server of the host. */
export interface StoppableServer {
  /** Closes the listener once no connection waits to be accepted; open connections are served on. */
  stopListening(): Promise<void>;

  /** Waits until all answers are taken, and nothing more has arrived. */
  untilDelivered(): Promise<void>;
}

/** The server of the callers. */
export interface CallerIngress extends StoppableServer {
  /** Gets the answers that callers have not taken as a whole. */
  getUndelivered(): readonly UndeliveredAnswer[];

  /** Closes all connections; gets the answers that had ended, and are cut. */
  closeNow(): readonly UndeliveredAnswer[];
}

/** What a stop has cut off. */
export interface CutOff extends DeliverySummary {
  /** Requests that were in flight. */
  readonly cutOff: number;
}

/** Options of a {@link HostStop}. */
export interface HostStopOptions {
  readonly clock: Clock;
  readonly host: Host;
  /** The server of the callers. */
  readonly ingress: CallerIngress;
  /** The servers of peers and operators; they serve until nothing is in flight. */
  readonly others: readonly StoppableServer[];
  /** Milliseconds from the begin of the stop until the process is killed. */
  readonly graceMs: Millis;
}

/**
 * Stops a host within its grace period.
 *
 * What is accepted is served until its caller's socket has taken the last byte, what comes late is refused, and what is
 * left shortly before the end of the grace period is refused or broken off visibly, whatever callers, the store and
 * the load of the machine do.
 */
export class HostStop {
  private readonly options: HostStopOptions;

  /** @param options - The host, its servers and the grace period. */
  constructor(options: HostStopOptions) {
    this.options = options;
  }

  /**
   * Drains and stops the host.
   *
   * @returns What was cut off at the end of the grace period.
   */
  async run(): Promise<CutOff> {
    const { clock, host, graceMs } = this.options;
    const endsAt = clock.now() + graceMs;
    runInBackground('host.task', () => host.beginDrain());
    await sleep(clock, Math.min(MAX_LEAVING_MS, graceMs * MAX_LEAVING_RATIO));
    host.refuseNew();
    const stopped = new AbortController();
    const isServed = await Promise.race([
      this.untilServed().then(() => true),
      sleep(clock, endsAt - GRACE_END_MARGIN_MS - clock.now(), stopped.signal).then(() => false),
    ]);
    stopped.abort();
    const cut = isServed ? { cutOff: 0, ...summarizeDelivery([]) } : await this.cutOff();
    const left = sleep(clock, Math.max(0, endsAt - clock.now() - GRACE_END_MARGIN_MS / 2));
    await Promise.race([host.leave(), left]);
    return cut;
  }

  /**
   * Ends what is left: requests that wait are refused, answers that have begun break off, and connections close.
   *
   * @returns What was cut off.
   */
  async cutOff(): Promise<CutOff> {
    const { host, ingress } = this.options;
    const cutOff = await host.cutOff();
    return { cutOff, ...summarizeDelivery(ingress.closeNow()) };
  }

  /** Waits until callers and peers have taken all answers, and nothing more has arrived. */
  async untilDelivered(): Promise<void> {
    const { ingress, others } = this.options;
    await Promise.all([ingress, ...others].map((server) => server.untilDelivered()));
  }

  private async untilServed(): Promise<void> {
    const { host, ingress, others } = this.options;
    await this.closeListener();
    await host.untilServed();
    await ingress.untilDelivered();
    await Promise.all(others.map((server) => server.stopListening()));
    await this.untilDelivered();
  }

  private async closeListener(): Promise<void> {
    const { clock, ingress } = this.options;
    const from = clock.now();
    await ingress.stopListening();
    const tookMs = Math.round(clock.now() - from);
    log('listener_closed', { ...summarizeDelivery(ingress.getUndelivered()), tookMs });
  }
}
