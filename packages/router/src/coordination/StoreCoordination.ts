import type { Clock, HostId, ModelId } from '@camphorvane/core';
import { runInBackground, wallTimeOf } from '@camphorvane/core';
import {
  EngineKnowledge,
  SlowStart,
  SlowStartQuotas,
  UpstreamAdmission,
  UpstreamConstraints,
  gossipTimings,
} from '@camphorvane/decisions';
import type { PeerResponse } from '@camphorvane/peer';
import type { FollowMode } from '@camphorvane/store';
import { minOutageMs, StoreContact } from '@camphorvane/store';
import type { GroupGate, FleetMember, RetryGate, Unsubscribe } from '../host/ports.ts';
import { UpstreamSignalRecorder } from '../host/UpstreamSignalRecorder.ts';
import { LocalPlacer } from '../placing/LocalPlacer.ts';
import type { RoleControl } from '../placing/RoleControl.ts';
import { CrashGuard } from '../serving/CrashGuard.ts';
import { applyReachChange } from './applyReachChange.ts';
import { buildHintContent } from './buildHintContent.ts';
import { DeploymentFeed } from './DeploymentFeed.ts';
import { GossipRateGate } from './GossipRateGate.ts';
import type { CoordinationContext, HostCoordination } from './HostCoordination.ts';
import { HintReceiver } from './HintReceiver.ts';
import { HostRecords } from './HostRecords.ts';
import { HostRoster } from './HostRoster.ts';
import { PeerGossip } from './PeerGossip.ts';
import { PeerSnapshots } from './PeerSnapshots.ts';
import { rankAmong } from './rankAmong.ts';
import { SharedRetryBudget } from './SharedRetryBudget.ts';
import { StorePolling } from './StorePolling.ts';
import type { StoreCoordinationOptions } from './StoreCoordinationOptions.ts';
import { UpstreamSharers } from './UpstreamSharers.ts';
import { createRoleControl } from './createRoleControl.ts';
import type { HintContent } from './PeerGossip.ts';

/** More crashes than by default before anything is blocked, and a second in which a sign of life withdraws one. */
const CRASH_SUSPICION = { minUpstreams: 3, certainCrashes: 3, confirmMs: 1_000 } as const;

/**
 * Coordination through the store and gossip, without coordinators.
 *
 * A host that crashes, freezes or is partitioned makes no other host wait. Each host places requests on
 * engines by itself, charges rates by the charges of all hosts, and gossips its load and its charges.
 */
export class StoreCoordination implements HostCoordination, GroupGate {
  readonly config: DeploymentFeed;

  readonly group: GroupGate = this;

  readonly rates: GossipRateGate;

  readonly retryGate: RetryGate;

  readonly retryBudget: SharedRetryBudget;

  readonly placer: LocalPlacer;

  readonly crashGuard: CrashGuard;

  readonly admission: UpstreamAdmission;

  readonly signals: UpstreamSignalRecorder;

  readonly claims = undefined;

  readonly abortsOnKeyWithdrawal: boolean;

  readonly context: CoordinationContext;

  readonly clock: Clock;

  private readonly hosts: HostRoster;

  private readonly records: HostRecords;

  private readonly snapshots: PeerSnapshots;

  private readonly storePolling: StorePolling;

  private readonly listeners = new Set<() => void>();

  private leaving = false;

  private readonly gossip: PeerGossip;

  readonly knowledge: EngineKnowledge;

  private readonly roles: RoleControl;

  /**
   * @param options - The store and the limits of the whole fleet.
   * @param context - This host.
   */
  constructor(options: StoreCoordinationOptions, context: CoordinationContext) {
    this.context = context;
    const { clock, random, identity, incarnation, directory, fairQueues, reach } = context;
    const { store, format } = options;
    this.clock = clock;
    this.hosts = new HostRoster(identity.host, identity.zone, (host, now) =>
      reach.peers.isCutOff(host, now),
    );
    reach.setPeers(() => this.getRelayPeers());
    reach.onChange((change) => {
      this.gossip.recordStateChange();
      applyReachChange(change, { ...this, directory });
    });
    this.storePolling = new StorePolling(identity.host, clock, random, this.hosts);
    this.snapshots = new PeerSnapshots({
      ...{ clock, random, metrics: options.metrics, exchange: options.snapshots },
      roster: this.hosts,
    });
    const quotas = new SlowStartQuotas(identity.host);
    const sharers = new UpstreamSharers(
      identity.host,
      () => this.hosts.getExpectedServing(),
      reach.peers,
    );
    const getSharers = (): readonly HostId[] => sharers.get(clock.now());
    const slowStart = new SlowStart((upstream, perSecond) =>
      quotas.get(upstream, getSharers(), perSecond),
    );
    const toTimeOfDay = wallTimeOf(clock);
    const constraints = new UpstreamConstraints({ self: identity.host, getSharers, toTimeOfDay });
    this.admission = new UpstreamAdmission(slowStart, constraints);
    this.signals = new UpstreamSignalRecorder(constraints, clock, options.metrics);
    this.signals.onChange(() => this.gossip.recordStateChange());
    this.knowledge = new EngineKnowledge(this.admission, context.speeds);
    this.abortsOnKeyWithdrawal = options.strictKeysMs !== undefined;
    const contact = new StoreContact(clock.now(), minOutageMs(options.heartbeatMs));
    this.config = new DeploymentFeed({
      ...{ contact, heartbeatMs: options.heartbeatMs },
      store,
      format,
      clock,
      random,
      strictKeysMs: options.strictKeysMs,
      watchMs: options.watchMs,
      mode: () => this.followMode(),
      nextPoll: (isUnavailable) => this.storePolling.next(isUnavailable),
      pollFreshness: () => this.storePolling.freshness(),
      isUnwatched: () => this.storePolling.isUnwatched(),
      isWatchedByPeers: () => this.storePolling.isWatched(),
      onStateChange: () => this.gossip.recordStateChange(),
      drainsZones: options.drainsZones,
      overload: options.overload,
      readFromPeers: (...wanted) => this.snapshots.read(...wanted),
      admission: this.admission,
    });
    this.retryBudget = new SharedRetryBudget(identity.host, options, clock);
    this.retryGate = this.retryBudget.gate;
    this.records = new HostRecords({
      ...{ store, contact, clock, identity, incarnation, strength: options.strength },
      kind: format.hostKind,
      roster: this.hosts,
      isLeaving: () => this.leaving,
      getQuarantine: () => this.crashGuard.getQuarantine(),
      onQuarantine: (crashes, from) =>
        from === identity.host
          ? this.crashGuard.receiveStored(crashes)
          : this.crashGuard.receiveCrashes(crashes),
      onPeersChange: (peers) => this.applyPeers(peers),
      onEarlierProcess: (earlier) =>
        [this.retryBudget, this.rates].forEach((limit) => limit.recordEarlierProcess(earlier)),
    });
    this.rates = new GossipRateGate(clock, options.tolerance, context.turns);
    this.placer = new LocalPlacer({
      ...{ clock, random, directory, knowledge: this.knowledge, incarnation, fairQueues },
      ...{ metrics: options.metrics, onStateChange: () => this.gossip.recordStateChange() },
      order: (model) => fairQueues.orderOf({ type: 'pool', id: model }),
      turns: (model) => context.turns.forPool(model),
      refusalFor: (model) => reach.refusalFor(model),
    });
    this.crashGuard = new CrashGuard({
      ...{ self: identity.host, clock, group: this, metrics: options.metrics },
      suspicion: CRASH_SUSPICION,
      getStartTime: (upstream) => this.config.getStartTime(upstream),
    });
    this.signals.onAnswer((upstream, origin) => this.crashGuard.recordSignOfLife(upstream, origin));
    this.crashGuard.onCrash((isSuspect) => {
      this.gossip.recordStateChange();
      if (isSuspect) runInBackground('coordination', () => this.records.write());
    });
    this.crashGuard.onNews(() => this.gossip.recordStateChange());
    const { config, hosts, rates, knowledge, signals } = this;
    const hintReceiver = new HintReceiver({
      ...{ clock, hosts, rates, config, knowledge, signals },
      ...{ probes: this.placer.probes, calls: context.concurrencyShares, fairQueues },
      turns: context.turns,
      crashGuard: this.crashGuard,
      reach,
      retryBudget: this.retryBudget,
    });
    this.gossip = new PeerGossip({
      self: identity.host,
      incarnation,
      clock,
      link: options.hints,
      roster: this.hosts,
      hint: () => this.buildHint(),
      getContact: () => this.config.getContact(),
      getRelayedSuspicion: () => this.crashGuard.getReports('relayed'),
      onHint: (hint) => hintReceiver.receive(hint),
      getEndedProcesses: () => this.retryBudget.getEnded(),
      onRelayedHint: (hint) => hintReceiver.receiveRelayed(hint),
      onDigest: (digest) => {
        hintReceiver.receiveDigest(digest);
        if (this.storePolling.hasLostWatchers()) this.config.pollNow();
      },
    });
    this.roles = createRoleControl({
      ...{ options, context, knowledge: this.knowledge },
      rank: () => this.rank(),
      announce: () => this.gossip.sendNow(),
    });
  }

  /** {@inheritDoc HostCoordination.start} */
  start(signal: AbortSignal): void {
    this.snapshots.start((kind) => this.config.getCopy(kind));
    this.config.start(signal);
    this.records.start(signal);
    this.gossip.start(signal);
    runInBackground('coordination', () => this.roles.run(signal));
  }

  /** Tells whether this host has a configuration and the host records, and can serve callers. */
  isReady(): boolean {
    return this.config.current() !== undefined && this.hosts.isKnown() && !this.config.isOutdated();
  }

  /** {@inheritDoc HostCoordination.beginLeaving} */
  async beginLeaving(): Promise<void> {
    this.leaving = true;
    this.gossip.sendNow();
    await this.records.write();
  }

  /** {@inheritDoc HostCoordination.leave} */
  async leave(): Promise<void> {
    this.gossip.sendNow();
  }

  /** Stops everything; background tasks end with their signal. */
  stop(): void {
    this.placer.stop();
    this.listeners.clear();
  }

  /** Rejects all requests: hosts that coordinate through the store send each other only gossip. */
  async handlePeerRequest(): Promise<PeerResponse> {
    return { type: 'not_steward', epoch: 0 };
  }

  /** {@inheritDoc HostCoordination.getCoordinatedModels} */
  getCoordinatedModels(): readonly ModelId[] {
    return [];
  }

  /** {@inheritDoc HostCoordination.getEpoch} */
  getEpoch(): number {
    return 0;
  }

  /** {@inheritDoc GroupGate.members} */
  members(): readonly FleetMember[] {
    const now = this.clock.now();
    const serving = this.hosts.isServing(now);
    const cutOff = this.context.reach.isCutOff();
    const self = { ...this.context.identity, leaving: this.leaving, serving, cutOff };
    const members = this.hosts.getMembers(now);
    return [self, ...members.filter((member) => member.host !== self.host)];
  }

  /** No host coordinates. */
  coordinatorOf(): undefined {
    return undefined;
  }

  /** No host coordinates. */
  mayCoordinate(): boolean {
    return false;
  }

  /** This host may always use its own share. */
  mayAct(): boolean {
    return true;
  }

  /** {@inheritDoc GroupGate.waitToAct} */
  async waitToAct(): Promise<void> {
    // mayAct() is always true.
  }

  /** {@inheritDoc GroupGate.onChange} */
  onChange(changed: () => void): Unsubscribe {
    this.listeners.add(changed);
    return () => this.listeners.delete(changed);
  }

  /** {@inheritDoc HostCoordination.dump} */
  dump(): object {
    return {
      hosts: this.hosts.getMembers(this.clock.now()).map((member) => member.host),
      sharers: this.hosts.countHosts(),
      rates: this.rates.dump(),
      placing: this.placer.dump(),
      constraints: this.admission.constraints.dump(this.clock.now()),
      reach: this.context.reach.dump(),
      turns: this.context.turns.dump(),
    };
  }

  private applyPeers(peers: readonly HostId[]): void {
    this.rates.setPeers(peers);
    this.retryBudget.setPeers(peers);
    this.listeners.forEach((changed) => changed());
  }

  /** Relays watch the store; the other hosts learn of changes by gossip and poll at long intervals. */
  private followMode(): FollowMode {
    return !gossipTimings(this.hosts.countHosts()).isRelayed || this.hosts.isRelay(this.clock.now())
      ? 'watch'
      : 'poll';
  }

  private isWatchingStore(): boolean {
    return this.followMode() === 'watch' && this.config.isStoreAvailable();
  }

  private buildHint(): HintContent {
    return buildHintContent(this, { leaving: this.leaving, watching: this.isWatchingStore() });
  }

  /** Gets the live hosts that serve callers and have not lost their links. */
  private getRelayPeers(): readonly FleetMember[] {
    const { host: self } = this.context.identity;
    return this.hosts
      .getMembers(this.clock.now())
      .filter(
        ({ host, leaving, serving, cutOff }) => host !== self && serving && !leaving && !cutOff,
      );
  }

  private rank(): number | undefined {
    return rankAmong(this.members(), this.context.identity.host);
  }
}
