import type { Clock, HostId, Incarnation, Millis } from '@camphorvane/core';
import { InterruptibleSleep, sleep } from '@camphorvane/core';
import type { GossipTimings } from '@camphorvane/decisions';
import { gossipTimings } from '@camphorvane/decisions';
import type { HintLink, HostDigest, HostHint } from '@camphorvane/peer/hints';
import { stateLog } from '../observe/StateLog.ts';
import type { HostRoster } from './HostRoster.ts';
import { DigestBuilder } from './DigestBuilder.ts';
import type { HintSums } from './DigestBuilder.ts';

const log = stateLog('hosts');

/** Digest periods without a digest after which another relay is listened to. */
const RELAY_SILENT_PERIODS = 3;

/** Part by which another relay must hear more hosts to be listened to instead. */
const RELAY_HEARS_MORE = 1.1;

/**
 * Milliseconds after its last news for which a host that stands by gets digests as often as one that
 * takes callers: some callers go on with an old answer of the directory.
 */
const BUSY_MS: Millis = 3_000;

/** What a host says of itself; who says it, and when, is added here. */
export type OwnReport = Omit<
  HostHint,
  'host' | 'incarnation' | 'sequence' | 'digests' | 'serving' | 'nextMs'
>;

/** What gossip is made of. */
export interface PeerGossipOptions {
  readonly self: HostId;
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly link: HintLink;
  readonly roster: HostRoster;
  /** Gets the content of this host's next hint. */
  readonly hint: () => OwnReport;
  /** Called with each hint of a peer that is newer than the last one. */
  readonly onHint: (hint: HostHint) => void;
  /** Called with each digest of the relay that this host follows. */
  readonly onDigest: (digest: HostDigest) => void;
}

interface FollowedRelay {
  readonly host: HostId;
  readonly heard: number;
  readonly at: Millis;
}

/**
 * Exchanges hints with the other hosts.
 *
 * A small fleet is a full mesh. In a larger one each host sends its hints to a few relays, one in each
 * zone, and asks the relay of its own zone for digests of all hints. Nobody is elected: each host chooses
 * its relays, and whoever is asked relays. When its relay falls silent, a host asks all of them.
 */
export class PeerGossip {
  private readonly options: PeerGossipOptions;

  private readonly builder = new DigestBuilder();

  private readonly lastHints = new Map<HostId, Pick<HostHint, 'incarnation' | 'sequence'>>();

  private sequence = 0;

  /** When each host was sent a digest last. */
  private readonly digestedAt = new Map<HostId, Millis>();

  private wasServing: boolean | undefined;

  private newsAt: Millis = -Infinity;

  /** Whether there is something that peers should learn before the next period. */
  private hasNews = false;

  private readonly pause: InterruptibleSleep;

  private relay: FollowedRelay | undefined;

  /** @param options - What it is made of. */
  constructor(options: PeerGossipOptions) {
    this.options = options;
    this.pause = new InterruptibleSleep(options.clock);
    options.link.onHint((hint) => this.receiveHint(hint));
    options.link.onDigest((digest) => this.receiveDigest(digest));
  }

  /** Talks until stopped. */
  start(signal: AbortSignal): void {
    void this.tell(signal);
    void this.relayHints(signal);
  }

  /** Has peers learn soon what has changed here. */
  noteNews(): void {
    this.hasNews = true;
    this.newsAt = this.options.clock.now();
    this.pause.interrupt();
  }

  /** Tells what this host has at once. */
  sendNow(): void {
    const { link, roster, clock } = this.options;
    this.hasNews = false;
    this.logServing();
    const hint = this.ownHint();
    if (!this.pace().isRelayed) {
      link.send(hint, roster.getPeerAddresses());
      return;
    }
    const { asked, others } = roster.getHintAddresses(clock.now());
    const isDeaf = this.isSilent();
    link.send(
      { ...hint, digests: this.isBusy() ? 'often' : 'seldom' },
      isDeaf ? [...asked, ...others] : asked,
    );
    if (!isDeaf) link.send(hint, others);
  }

  private async tell(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      this.sendNow();
      const { gapMs } = this.pace();
      await sleep(clock, gapMs, signal);
      if (!this.hasNews) await this.pause.wait(this.periodMs() - gapMs, signal);
    }
  }

  private async relayHints(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(this.options.clock, this.pace().digestMs, signal);
      if (this.pace().isRelayed) this.sendDigests();
    }
  }

  private sendDigests(): void {
    const { self, clock, link, roster } = this.options;
    const now = clock.now();
    this.builder.forget(now);
    const listeners = this.builder.getAsking().filter(({ host }) => host !== self);
    if (this.builder.getHeard().every((host) => host === self)) return;
    this.builder.receive(this.ownHint(), now);
    const sums = this.builder.sumUp();
    const heard = new Set(this.builder.getHeard());
    const silent = roster.getOthers().filter((host) => !heard.has(host));
    const due = listeners.filter((listener) => this.isDue(listener, now));
    due.forEach(({ host }) => {
      this.digestedAt.set(host, now);
      const address = roster.getPeerAddress(host);
      if (address !== undefined) link.sendDigest(this.digestFor(host, sums, silent), address);
    });
    this.receiveDigest(this.digestFor(self, sums, silent));
  }

  /** A digest that is due within half a period is sent now: the next round would be too late. */
  private isDue({ host, digests }: Pick<HostHint, 'host' | 'digests'>, now: Millis): boolean {
    const { digestMs, standbyDigestMs } = this.pace();
    const sinceMs = now - (this.digestedAt.get(host) ?? -Infinity);
    return digests === 'often' || sinceMs >= standbyDigestMs - digestMs / 2;
  }

  private digestFor(receiver: HostId, sums: HintSums, silent: readonly HostId[]): HostDigest {
    const { self, incarnation } = this.options;
    this.sequence += 1;
    const head = { host: self, incarnation, sequence: this.sequence, silent };
    return this.builder.digestFor(receiver, sums, head);
  }

  private ownHint(): HostHint {
    const { self, incarnation, hint } = this.options;
    this.sequence += 1;
    return {
      ...{ host: self, incarnation, sequence: this.sequence, digests: 'none' as const },
      ...{ serving: this.isServing(), nextMs: this.periodMs() },
      ...hint(),
    };
  }

  private receiveHint(hint: HostHint): void {
    const { self, clock, roster, onHint } = this.options;
    if (hint.host === self || this.isOld(hint)) return;
    if (!this.pace().isRelayed) {
      onHint(hint);
      return;
    }
    roster.receive(hint, clock.now());
    this.builder.receive(hint, clock.now());
  }

  private receiveDigest(digest: HostDigest): void {
    if (!this.pace().isRelayed) return;
    this.options.roster.sawAlive(digest.host, this.options.clock.now());
    if (!this.goesBy(digest)) return;
    this.relay = { host: digest.host, heard: digest.heard, at: this.options.clock.now() };
    this.options.onDigest(digest);
  }

  /** One relay is followed at a time: sums of two can't be added or compared. */
  private goesBy(digest: HostDigest): boolean {
    const { relay } = this;
    const { roster, clock } = this.options;
    if (this.isOld(digest)) return false;
    if (relay === undefined || relay.host === digest.host || this.isSilent()) return true;
    // The one that this host asks goes on sending; what others were asked for once ends.
    const isHome = digest.host === roster.getHomeRelay(clock.now());
    const heardEnough = isHome ? relay.heard / RELAY_HEARS_MORE : relay.heard * RELAY_HEARS_MORE;
    return digest.heard > heardEnough;
  }

  /** Tells whether no digest came for a while; a single lost one is no reason to change relays. */
  private isSilent(): boolean {
    const { digestMs, standbyDigestMs } = this.pace();
    const expectedMs = this.isBusy() ? digestMs : standbyDigestMs;
    const silentMs = expectedMs * RELAY_SILENT_PERIODS;
    return this.relay === undefined || this.options.clock.now() - this.relay.at > silentMs;
  }

  /** Tells whether this host takes callers, or has had some lately although it stands by. */
  private isBusy(): boolean {
    return this.isServing() || this.options.clock.now() - this.newsAt < BUSY_MS;
  }

  private logServing(): void {
    const isServing = this.isServing();
    if (isServing === this.wasServing) return;
    this.wasServing = isServing;
    log(isServing ? 'takes_callers' : 'stands_by', { hosts: this.options.roster.countSharers() });
  }

  private isServing(): boolean {
    return this.options.roster.isServing(this.options.clock.now());
  }

  /** Gets the time within which the next hint of this host follows the last one. */
  private periodMs(): Millis {
    const { periodMs, standbyPeriodMs } = this.pace();
    return this.isServing() ? periodMs : standbyPeriodMs;
  }

  /** Datagrams can overtake each other; an older hint would take back what a newer one said. */
  private isOld({
    host,
    incarnation,
    sequence,
  }: Pick<HostHint, 'host' | 'incarnation' | 'sequence'>): boolean {
    const last = this.lastHints.get(host);
    if (last?.incarnation === incarnation && last.sequence >= sequence) return true;
    this.lastHints.set(host, { incarnation, sequence });
    return false;
  }

  private pace(): GossipTimings {
    return gossipTimings(this.options.roster.countSharers());
  }
}
