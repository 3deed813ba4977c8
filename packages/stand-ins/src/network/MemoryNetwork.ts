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
import { interruptible } from '../engine/interruptible.ts';

/** How the links between hosts behave. */
export interface NetworkSettings {
  readonly latencyMs: Millis;
  /** Share of messages that are lost, from 0 to 1. */
  readonly loss: number;
}

type Answer = Result<PeerResponse, PeerError>;

/** What a sender gets of a message that did not arrive. */
const NEVER = new Promise<Answer>(() => {});

const directed = (from: HostId, to: HostId): string => `${from}>${to}`;

/**
 * Links between hosts in memory: each message takes the latency, may be lost, and does not pass a
 * cut. A lost or cut message is not noticed by its sender other than by its own timeout.
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

  /** Starts to listen for a host; a second call replaces the first. */
  attach(host: HostId, handler: PeerHandler): void {
    this.handlers.set(host, handler);
  }

  /** Stops listening for a host: later messages to it are refused. */
  detach(host: HostId): void {
    this.handlers.delete(host);
  }

  /** Cuts the way from one host to another; the way back stays. */
  cutOneWay(from: HostId, to: HostId): void {
    this.cuts.add(directed(from, to));
  }

  /** Cuts both ways between two hosts. */
  cut(a: HostId, b: HostId): void {
    this.cutOneWay(a, b);
    this.cutOneWay(b, a);
  }

  /** Undoes all cuts and silences between two hosts. */
  heal(a: HostId, b: HostId): void {
    [directed(a, b), directed(b, a)].forEach((way) => {
      this.cuts.delete(way);
      this.silent.delete(way);
    });
  }

  /** Lets the open connection between two hosts go silent; one opened after a timeout works. */
  silence(a: HostId, b: HostId): void {
    this.silent.add(directed(a, b));
    this.silent.add(directed(b, a));
  }

  /**
   * Gets the link of one host to all others.
   *
   * @param sender - Who sends.
   * @param clock - The sender's clock, which times its calls out.
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
    const timedOut = interruptible(clock, timeoutMs, done.signal).then((): Answer => {
      this.silent.delete(directed(sender.host, to.host));
      return err({ type: 'timeout', message: `${to.host} did not answer in ${timeoutMs} ms` });
    });
    const answer = await Promise.race([this.roundTrip(sender, to.host, req), timedOut]);
    done.abort();
    return answer;
  }

  private async roundTrip(sender: PeerSender, to: HostId, req: PeerRequest): Promise<Answer> {
    const arrived = await this.pass(sender.host, to);
    if (!arrived) return NEVER;
    const handler = this.handlers.get(to);
    if (handler === undefined) return err({ type: 'unreachable', message: `${to} is not there` });
    const copy = JSON.parse(JSON.stringify(req)) as PeerRequest;
    const res = await handler.answer(sender, copy);
    const returned = await this.pass(to, sender.host);
    return returned ? ok(res) : NEVER;
  }

  private async pass(from: HostId, to: HostId): Promise<boolean> {
    await sleep(this.clock, this.settings.latencyMs);
    const way = directed(from, to);
    const lost = this.settings.loss > 0 && this.random.next() < this.settings.loss;
    return !lost && !this.cuts.has(way) && !this.silent.has(way);
  }
}
