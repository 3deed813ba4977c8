import { sleep } from '@camphorvane/core';
import type { Clock, HostId, Millis, RandomSource } from '@camphorvane/core';
import type {
  PeerAddress,
  PeerError,
  PeerHandler,
  PeerLink,
  PeerRequest,
  PeerResponse,
  PeerSender,
} from '@camphorvane/peer';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { waitOrAbort } from '../engine/waitOrAbort.ts';

/** Latency and loss of the links between hosts. */
export interface NetworkSettings {
  readonly latencyMs: Millis;
  /** Probability that a message is lost, from 0 to 1. */
  readonly loss: number;
}

type Answer = Result<PeerResponse, PeerError>;

/** Pending answer of a lost message. */
const NO_ANSWER = new Promise<Answer>(() => {});

const linkKey = (from: HostId, to: HostId): string => `${from}>${to}`;

/**
 * An in-memory network between hosts with latency, message loss and partitions. The sender of an
 * undelivered message learns of it only by its own timeout.
 */
export class MemoryNetwork {
  private readonly handlers = new Map<HostId, PeerHandler>();

  private readonly cuts = new Set<string>();

  private readonly silent = new Set<string>();

  constructor(
    private readonly settings: NetworkSettings,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Registers the handler of a host, replacing an earlier one. */
  attach(host: HostId, handler: PeerHandler): void {
    this.handlers.set(host, handler);
  }

  /** Removes the handler of a host: later messages to it are refused. */
  detach(host: HostId): void {
    this.handlers.delete(host);
  }

  /** Drops all messages from one host to another; the reverse direction stays up. */
  cutOneWay(from: HostId, to: HostId): void {
    this.cuts.add(linkKey(from, to));
  }

  /** Drops all messages between two hosts, in both directions. */
  cut(a: HostId, b: HostId): void {
    this.cutOneWay(a, b);
    this.cutOneWay(b, a);
  }

  /** Undoes {@link cut}, {@link cutOneWay} and {@link silence} between two hosts. */
  heal(a: HostId, b: HostId): void {
    [linkKey(a, b), linkKey(b, a)].forEach((key) => {
      this.cuts.delete(key);
      this.silent.delete(key);
    });
  }

  /**
   * Drops all messages on the open connection between two hosts without closing it. A direction
   * recovers after a timeout of its sender, as if it had reconnected.
   */
  silence(a: HostId, b: HostId): void {
    this.silent.add(linkKey(a, b));
    this.silent.add(linkKey(b, a));
  }

  /**
   * Creates the link of one host to all others.
   *
   * @param sender - The sending host.
   * @param clock - Clock of the sender, for its timeouts.
   * @returns The link.
   */
  link(sender: PeerSender, clock: Clock): PeerLink {
    return {
      ask: (to, req, timeoutMs) => new ResultAsync(this.ask(sender, clock, to, req, timeoutMs)),
    };
  }

  private async ask(
    sender: PeerSender,
    clock: Clock,
    to: PeerAddress,
    req: PeerRequest,
    timeoutMs: Millis,
  ): Promise<Answer> {
    const done = new AbortController();
    const timedOut = waitOrAbort(clock, timeoutMs, done.signal).then((): Answer => {
      this.silent.delete(linkKey(sender.host, to.host));
      return err({ type: 'timeout', message: `${to.host} did not answer in ${timeoutMs} ms` });
    });
    const answer = await Promise.race([this.roundTrip(sender, to.host, req), timedOut]);
    done.abort();
    return answer;
  }

  private async roundTrip(sender: PeerSender, to: HostId, req: PeerRequest): Promise<Answer> {
    const isDelivered = await this.deliver(sender.host, to);
    if (!isDelivered) return NO_ANSWER;
    const handler = this.handlers.get(to);
    if (handler === undefined) return err({ type: 'unreachable', message: `${to} is detached` });
    const copy = JSON.parse(JSON.stringify(req)) as PeerRequest;
    const res = await handler.answer(sender, copy);
    const isAnswered = await this.deliver(to, sender.host);
    return isAnswered ? ok(res) : NO_ANSWER;
  }

  private async deliver(from: HostId, to: HostId): Promise<boolean> {
    await sleep(this.clock, this.settings.latencyMs);
    const key = linkKey(from, to);
    const isLost = this.settings.loss > 0 && this.random.next() < this.settings.loss;
    return !isLost && !this.cuts.has(key) && !this.silent.has(key);
  }
}
