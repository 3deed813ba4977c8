import type { Clock, HostId, Incarnation, Millis } from '@camphorvane/core';
import { InterruptibleSleep, runInBackground, runLoop, sleep } from '@camphorvane/core';
import type { GossipTimings, RetrySummary, SuspicionReports } from '@camphorvane/decisions';
import { gossipTimings } from '@camphorvane/decisions';
import type { HintLink, HostDigest, HostHint } from '@camphorvane/peer/hints';
import type { ContactReport } from '@camphorvane/store';
import { eventLog } from '../observe/EventLog.ts';
import type { HostRoster } from './HostRoster.ts';
import { DigestBuilder } from './DigestBuilder.ts';
import type { AggregatedHints } from './DigestBuilder.ts';
import { UsagePace } from './UsagePace.ts';

const log = eventLog('hosts');

/** Digest intervals without a digest after which the relay has timed out. */
const RELAY_TIMEOUT_INTERVALS = 3;

/** A host switches to a relay that receives the hints of more hosts than the present one by this factor. */
const RELAY_SWITCH_FACTOR = 1.1;

/**
 * Milliseconds after its last state change for which a standby host gets digests as often as one that
 * takes callers: some callers still use a stale answer of the directory.
 */
const BUSY_HOLD_MS: Millis = 3_000;

/** Content of a hint without its header. */
export type HintContent = Omit<
  HostHint,
  'host' | 'incarnation' | 'sequence' | 'digests' | 'serving' | 'nextMs'
>;

/** Options of a {@link PeerGossip}. */
export interface PeerGossipOptions {
  readonly self: HostId;
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly link: HintLink;
  readonly roster: HostRoster;
  /** Gets the content of this host's next hint. */
  readonly hint: () => HintContent;
  /** Gets when the store responded to this host. */
  readonly getContact: () => ContactReport | undefined;
  /** Gets what a relay reports to all hosts of requests that crash upstreams. */
  readonly getRelayedSuspicion: () => SuspicionReports;
  /** Gets what a relay reports to all hosts of processes that have ended. */
  readonly getEndedProcesses: () => Omit<RetrySummary, 'used'>;
  /** Called in a full mesh with each hint of a peer that is newer than the last one. */
  readonly onHint: (hint: HostHint) => void;
  /** Called on a relay with each hint that it adds to its digests. */
  readonly onRelayedHint: (hint: HostHint) => void;
  /** Called with each digest of the relay that this host follows. */
  readonly onDigest: (digest: HostDigest) => void;
}

interface FollowedRelay {
  readonly host: HostId;
  readonly hostCount: number;
  readonly receivedAt: Millis;
}

/**
 * Exchanges hints with the peers.
 *
 * A small fleet is a full mesh. In a larger one each host sends its hints to a few relays, one in each
 * zone, and subscribes to the digests of the relay in its own zone. There is no election: each host
 * chooses its relays, and any host that is asked relays. A host whose relay has timed out asks all its
 * relays.
 */
export class PeerGossip {
  private readonly options: PeerGossipOptions;

  private readonly builder = new DigestBuilder();

  private readonly lastHints = new Map<HostId, Pick<HostHint, 'incarnation' | 'sequence'>>();

  private sequence = 0;

  /** Time of the last digest sent to each host. */
  private readonly digestSentAt = new Map<HostId, Millis>();

  private readonly hintUsage = new UsagePace();

  private readonly digestUsage = new UsagePace();

  private wasServing: boolean | undefined;

  private changedAt: Millis = -Infinity;

  /** Whether a state change is to be sent before the next regular hint. */
  private hasStateChange = false;

  private readonly sendDelay: InterruptibleSleep;

  private relay: FollowedRelay | undefined;

  /** @param options - This host, the link and the callbacks. */
  constructor(options: PeerGossipOptions) {
    this.options = options;
    this.sendDelay = new InterruptibleSleep(options.clock);
    options.link.onHint((hint) => this.receiveHint(hint));
    options.link.onDigest((digest) => this.receiveDigest(digest));
  }

  /** Sends hints and digests until the signal is aborted. */
  start(signal: AbortSignal): void {
    runInBackground('gossip', () => this.runSendLoop(signal));
    runInBackground('gossip', () => this.runRelayLoop(signal));
  }

  /** Sends the next hint early, since the state of this host has changed. */
  recordStateChange(): void {
    this.hasStateChange = true;
    this.changedAt = this.options.clock.now();
    this.sendDelay.interrupt();
  }

  /** Sends a hint immediately. */
  sendNow(): void {
    const { link, roster, clock } = this.options;
    this.hasStateChange = false;
    this.logServing();
    const hint = this.withDueUsage(this.buildHint());
    if (!this.timings().isRelayed) {
      link.sendHint(hint, roster.getPeerAddresses());
      return;
    }
    const { digestSources, hintOnly } = roster.getHintAddresses(clock.now());
    const isRelayLost = this.isRelayTimedOut();
    link.sendHint(
      { ...hint, digests: this.isBusy() ? 'often' : 'seldom' },
      isRelayLost ? [...digestSources, ...hintOnly] : digestSources,
    );
    if (!isRelayLost) link.sendHint(hint, hintOnly);
  }

  private withDueUsage(hint: HostHint): HostHint {
    if (hint.usage === undefined) return hint;
    const isDue = this.hintUsage.takeTurn(this.timings(), this.options.clock.now());
    return isDue ? hint : { ...hint, usage: undefined };
  }

  private runSendLoop(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    return runLoop({ place: 'gossip.send', clock, signal }, async () => {
      this.sendNow();
      const { gapMs } = this.timings();
      await sleep(clock, gapMs, signal);
      if (!this.hasStateChange) await this.sendDelay.wait(this.hintIntervalMs() - gapMs, signal);
    });
  }

  private runRelayLoop(signal: AbortSignal): Promise<void> {
    return runLoop({ place: 'gossip.relay', clock: this.options.clock, signal }, async () => {
      await sleep(this.options.clock, this.timings().digestMs, signal);
      if (this.timings().isRelayed) this.sendDigests();
    });
  }

  private sendDigests(): void {
    const { self, clock, link, roster } = this.options;
    const now = clock.now();
    this.builder.removeExpired(now);
    const subscribers = this.builder.getSubscribers().filter(({ host }) => host !== self);
    if (this.builder.getLiveHosts().every((host) => host === self)) return;
    this.builder.receive(this.buildHint(), now);
    const sums = this.builder.aggregate(now);
    const isUsageDue = sums.usage !== undefined && this.digestUsage.takeTurn(this.timings(), now);
    const withoutUsage = { ...sums, usage: undefined };
    const received = new Set(this.builder.getLiveHosts());
    const silent = roster.getPeers().filter((host) => !received.has(host));
    const suspicion = this.options.getRelayedSuspicion();
    const due = subscribers.filter((subscriber) => this.isDue(subscriber, now));
    due.forEach(({ host, digests }) => {
      this.digestSentAt.set(host, now);
      const address = roster.getPeerAddress(host);
      // A standby host places no requests, and needs no usage.
      const hostSums = isUsageDue && digests === 'often' ? sums : withoutUsage;
      if (address === undefined) return;
      link.sendDigest(this.buildDigest(host, hostSums, silent, suspicion), address);
    });
    this.receiveDigest(this.buildDigest(self, sums, silent, suspicion));
  }

  /** Tells whether a digest is due; one due within half an interval is sent now: the next round is late. */
  private isDue({ host, digests }: Pick<HostHint, 'host' | 'digests'>, now: Millis): boolean {
    const { digestMs, standbyDigestMs } = this.timings();
    const sinceMs = now - (this.digestSentAt.get(host) ?? -Infinity);
    return digests === 'often' || sinceMs >= standbyDigestMs - digestMs / 2;
  }

  private buildDigest(
    receiver: HostId,
    sums: AggregatedHints,
    silent: readonly HostId[],
    suspicion: SuspicionReports,
  ): HostDigest {
    const { self, incarnation, getContact, getEndedProcesses } = this.options;
    this.sequence += 1;
    const head = { host: self, incarnation, sequence: this.sequence, silent, suspicion };
    return this.builder.digestFor(receiver, sums, {
      ...{ ...head, contact: getContact(), ended: getEndedProcesses() },
    });
  }

  private buildHint(): HostHint {
    const { self, incarnation, hint } = this.options;
    this.sequence += 1;
    return {
      ...{ host: self, incarnation, sequence: this.sequence, digests: 'none' as const },
      ...{ serving: this.isServing(), nextMs: this.hintIntervalMs() },
      ...hint(),
    };
  }

  private receiveHint(hint: HostHint): void {
    const { self, clock, roster, onHint } = this.options;
    if (hint.host === self || this.isStale(hint)) return;
    if (!this.timings().isRelayed) {
      onHint(hint);
      return;
    }
    roster.receive(hint, clock.now());
    this.builder.receive(hint, clock.now());
    this.options.onRelayedHint(hint);
  }

  private receiveDigest(digest: HostDigest): void {
    if (!this.timings().isRelayed) return;
    this.options.roster.recordSignOfLife(digest.host, this.options.clock.now());
    if (!this.acceptsDigest(digest)) return;
    this.relay = {
      host: digest.host,
      hostCount: digest.hostCount,
      receivedAt: this.options.clock.now(),
    };
    this.options.onDigest(digest);
  }

  /** Accepts the digests of one relay at a time: the sums of two relays can't be added or compared. */
  private acceptsDigest(digest: HostDigest): boolean {
    const { relay } = this;
    const { roster, clock } = this.options;
    if (this.isStale(digest)) return false;
    if (relay === undefined || relay.host === digest.host || this.isRelayTimedOut()) return true;
    // The home relay goes on sending; other relays stop once this host no longer asks them for digests.
    const isHome = digest.host === roster.getHomeRelay(clock.now());
    const minHosts = isHome
      ? relay.hostCount / RELAY_SWITCH_FACTOR
      : relay.hostCount * RELAY_SWITCH_FACTOR;
    return digest.hostCount > minHosts;
  }

  /** Tells whether the relay has timed out; a single lost digest is no reason to change relays. */
  private isRelayTimedOut(): boolean {
    const { digestMs, standbyDigestMs } = this.timings();
    const expectedMs = this.isBusy() ? digestMs : standbyDigestMs;
    const timeoutMs = expectedMs * RELAY_TIMEOUT_INTERVALS;
    return this.relay === undefined || this.options.clock.now() - this.relay.receivedAt > timeoutMs;
  }

  /** Tells whether this host takes callers, or is on standby and has changed its state lately. */
  private isBusy(): boolean {
    return this.isServing() || this.options.clock.now() - this.changedAt < BUSY_HOLD_MS;
  }

  private logServing(): void {
    const isServing = this.isServing();
    if (isServing === this.wasServing) return;
    this.wasServing = isServing;
    log(isServing ? 'takes_callers' : 'stands_by', { hosts: this.options.roster.countHosts() });
  }

  private isServing(): boolean {
    return this.options.roster.isServing(this.options.clock.now());
  }

  /** Gets the longest interval between two hints of this host. */
  private hintIntervalMs(): Millis {
    const { periodMs, standbyPeriodMs } = this.timings();
    return this.isServing() ? periodMs : standbyPeriodMs;
  }

  /** Tells whether a datagram arrived after a newer one of its host, and records its sequence. */
  private isStale({
    host,
    incarnation,
    sequence,
  }: Pick<HostHint, 'host' | 'incarnation' | 'sequence'>): boolean {
    const last = this.lastHints.get(host);
    if (last?.incarnation === incarnation && last.sequence >= sequence) return true;
    this.lastHints.set(host, { incarnation, sequence });
    return false;
  }

  private timings(): GossipTimings {
    return gossipTimings(this.options.roster.countHosts());
  }
}
