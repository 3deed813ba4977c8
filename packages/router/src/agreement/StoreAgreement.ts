import type { Clock, HostId, Millis, ModelId } from '@camphorvane/core';
import type { RateTolerance, RetryAllowance, GossipTimings } from '@camphorvane/decisions';
import {
  EngineKnowledge,
  ServiceRetryBudget,
  SlowStart,
  SlowStartQuotas,
  gossipTimings,
} from '@camphorvane/decisions';
import type { PeerResponse } from '@camphorvane/peer';
import type { HintLink } from '@camphorvane/peer/hints';
import { LEAST_POLL_MS } from '@camphorvane/store';
import type { WatchableStore, DeploymentFormat, FollowMode } from '@camphorvane/store';
import type { GroupGate, FleetMember, RepeatGate, Unsubscribe } from '../host/ports.ts';
import type { Metrics } from '../observe/Metrics.ts';
import { LocalPlacer } from '../placing/LocalPlacer.ts';
import type { RoleControl } from '../placing/RoleControl.ts';
import { CrashGuard } from '../serving/CrashGuard.ts';
import { serviceRetryGate } from '../serving/retryGates.ts';
import { DeploymentFeed } from './DeploymentFeed.ts';
import { SharedRates } from './SharedRates.ts';
import type { AgreementContext, AgreementFactory, HostAgreement } from './HostAgreement.ts';
import { HintReceiver } from './HintReceiver.ts';
import { HostRecords } from './HostRecords.ts';
import { HostRoster } from './HostRoster.ts';
import { PeerGossip } from './PeerGossip.ts';
import { roleControlOf } from './roleControlOf.ts';
import type { OwnReport } from './PeerGossip.ts';

/** Upstreams that one request must crash to be held back: with fewer, chance would do it. */
const CRASHES_TO_HOLD_BACK = 3;

/** Milliseconds for which such a request is held back; its caller sends it for some seconds. */
const HOLD_BACK_MS: Millis = 60_000;

/** What hosts that share nothing but a store are made of. */
export interface StoreAgreementOptions {
  readonly store: WatchableStore;
  readonly format: DeploymentFormat;
  readonly hints: HintLink;
  /** See {@link HostRecord.strength}. */
  readonly strength: number;
  readonly tolerance: RateTolerance;
  readonly repeats: RetryAllowance;
  /** See {@link DeploymentFeed}; also whether requests end when their key is withdrawn. */
  readonly strictKeysMs: Millis | undefined;
  /** See {@link DeploymentFeedOptions.watchMs}. */
  readonly watchMs: Millis;
  /** Whether operators may drain availability zones; see {@link ZoneDrains}. */
  readonly drainsZones: boolean;
  /** Milliseconds for which a lease holds that lets one host act for all. */
  readonly leaseMs: Millis;
  readonly metrics: Metrics;
}

/**
 * Hosts that each act on their own knowledge, with the store as the only common truth.
 *
 * Nobody coordinates, so no host's death, freeze or cut makes others wait. Each places on engines by
 * itself, charges rates by what all have charged, and tells the others what it has and has charged.
 */
export class StoreAgreement implements HostAgreement, GroupGate {
  readonly config: DeploymentFeed;

  readonly group: GroupGate = this;

  readonly rates: SharedRates;

  readonly repeats: RepeatGate;

  readonly placer: LocalPlacer;

  readonly crashes: CrashGuard;

  readonly slowStart: SlowStart;

  readonly claims = undefined;

  readonly endsWithdrawn: boolean;

  private readonly options: StoreAgreementOptions;

  private readonly context: AgreementContext;

  private readonly clock: Clock;

  private readonly hosts: HostRoster;

  private readonly records: HostRecords;

  private readonly listeners = new Set<() => void>();

  private leaving = false;

  private readonly talk: PeerGossip;

  private readonly knowledge: EngineKnowledge;

  private readonly roles: RoleControl;

  /**
   * @param options - The store and the bounds that hold for all hosts together.
   * @param context - This host.
   */
  constructor(options: StoreAgreementOptions, context: AgreementContext) {
    this.options = options;
    this.context = context;
    const { clock, random, identity, incarnation, directory } = context;
    const { store, format } = options;
    this.clock = clock;
    this.hosts = new HostRoster(identity.host, identity.zone);
    const quotas = new SlowStartQuotas(identity.host);
    this.slowStart = new SlowStart((upstream, perSecond) =>
      quotas.get(upstream, this.hosts.getExpectedServing(), perSecond),
    );
    this.knowledge = new EngineKnowledge(this.slowStart);
    this.endsWithdrawn = options.strictKeysMs !== undefined;
    this.config = new DeploymentFeed({
      store,
      format,
      clock,
      random,
      strictKeysMs: options.strictKeysMs,
      watchMs: options.watchMs,
      mode: () => this.followMode(),
      pollMs: () => this.pollMs(),
      onNews: () => this.talk.noteNews(),
      drainsZones: options.drainsZones,
      slowStart: this.slowStart,
    });
    this.records = new HostRecords({
      ...{ store, clock, identity, incarnation, strength: options.strength },
      kind: format.hostKind,
      roster: this.hosts,
      isLeaving: () => this.leaving,
      onSharers: (others) => this.takeSharers(others),
    });
    const sharers = (): number => this.hosts.countSharers();
    this.rates = new SharedRates(clock, options.tolerance);
    this.repeats = serviceRetryGate(new ServiceRetryBudget(options.repeats, sharers));
    this.placer = new LocalPlacer({
      ...{ clock, random, directory, knowledge: this.knowledge, incarnation },
      onStateChange: () => this.talk.noteNews(),
    });
    this.crashes = new CrashGuard({
      self: identity.host,
      clock,
      group: this,
      suspicion: { minUpstreams: CRASHES_TO_HOLD_BACK, retentionMs: HOLD_BACK_MS },
    });
    const { config, hosts, rates, knowledge } = this;
    const received = new HintReceiver({
      ...{ clock, hosts, rates, config, knowledge },
      ...{ probes: this.placer.probes, calls: context.calls },
    });
    this.talk = new PeerGossip({
      self: identity.host,
      incarnation,
      clock,
      link: options.hints,
      roster: this.hosts,
      hint: () => this.ownReport(),
      onHint: (hint) => received.receive(hint),
      onDigest: (digest) => received.receiveSum(digest),
    });
    this.roles = roleControlOf({
      ...{ options, context, knowledge: this.knowledge },
      rank: () => this.rank(),
      announce: () => this.talk.sendNow(),
    });
  }

  /** {@inheritDoc HostAgreement.start} */
  start(signal: AbortSignal): void {
    this.config.start(signal);
    this.records.start(signal);
    this.talk.start(signal);
    void this.roles.run(signal);
  }

  /** Tells whether this host knows enough to serve callers. */
  isReady(): boolean {
    return this.config.current() !== undefined && this.hosts.isKnown();
  }

  /** {@inheritDoc HostAgreement.beginLeaving} */
  async beginLeaving(): Promise<void> {
    this.leaving = true;
    this.talk.sendNow();
    await this.records.write();
  }

  /** {@inheritDoc HostAgreement.leave} */
  async leave(): Promise<void> {
    this.talk.sendNow();
  }

  /** Ends everything; tasks end with their signal. */
  stop(): void {
    this.placer.stop();
    this.listeners.clear();
  }

  /** Hosts that share a store ask each other nothing. */
  async answer(): Promise<PeerResponse> {
    return { type: 'not_steward', epoch: 0 };
  }

  /** {@inheritDoc HostAgreement.getCoordinated} */
  getCoordinated(): readonly ModelId[] {
    return [];
  }

  /** {@inheritDoc HostAgreement.getEpoch} */
  getEpoch(): number {
    return 0;
  }

  /** {@inheritDoc GroupGate.members} */
  members(): readonly FleetMember[] {
    const now = this.clock.now();
    const serving = this.hosts.isServing(now);
    const self = { ...this.context.identity, leaving: this.leaving, serving };
    const members = this.hosts.getMembers(now);
    return [self, ...members.filter((member) => member.host !== self.host)];
  }

  /** Nobody coordinates. */
  stewardOf(): undefined {
    return undefined;
  }

  /** Nobody coordinates. */
  maySteward(): boolean {
    return false;
  }

  /** A share that is this host's own may always be used. */
  mayAct(): boolean {
    return true;
  }

  /** {@inheritDoc GroupGate.waitToAct} */
  async waitToAct(): Promise<void> {
    // There is nothing to wait for.
  }

  /** {@inheritDoc GroupGate.onChange} */
  onChange(changed: () => void): Unsubscribe {
    this.listeners.add(changed);
    return () => this.listeners.delete(changed);
  }

  /** {@inheritDoc HostAgreement.dump} */
  dump(): object {
    return {
      hosts: this.hosts.getMembers(this.clock.now()).map((member) => member.host),
      sharers: this.hosts.countSharers(),
      rates: this.rates.dump(),
      placing: this.placer.dump(),
    };
  }

  private takeSharers(sharers: readonly HostId[]): void {
    this.rates.setSharers(sharers);
    this.listeners.forEach((changed) => changed());
  }

  private pace(): GossipTimings {
    return gossipTimings(this.hosts.countSharers());
  }

  /** A few hosts watch; the others are told by them, and read now and then. */
  private followMode(): FollowMode {
    return !this.pace().isRelayed || this.hosts.isRelay(this.clock.now()) ? 'watch' : 'poll';
  }

  /** Any host that reads a change tells all others, so each reads the less often the more there are. */
  private pollMs(): Millis {
    const isTold = this.hosts.isToldByRelay(this.clock.now());
    return isTold ? this.pace().pollMs : LEAST_POLL_MS;
  }

  private ownReport(): OwnReport {
    return {
      leaving: this.leaving,
      engines: [...this.knowledge.inFlight.getOwn()].map(([engine, use]) => ({ engine, ...use })),
      charged: this.rates.getCharged(),
      demand: this.knowledge.demand
        .getOwnTotals()
        .map((one) => ({ ...one, onTimeWaiting: this.placer.countOnTime(one.model) })),
      moves: this.knowledge.roleChanges.getOwnChanges(this.clock.now()),
      down: this.placer.probes.getDownEngines(),
      calls: [...this.context.calls.countLocal()],
      versions: this.config.getVersions(),
      drained: this.config.drains.get(),
    };
  }

  /** Gets how many hosts come before this one by name, among those that are there to stay. */
  private rank(): number | undefined {
    if (this.leaving) return undefined;
    const { host } = this.context.identity;
    return this.members().filter((member) => !member.leaving && member.host < host).length;
  }
}

/**
 * Gets the factory of an agreement over a store.
 *
 * @param options - The store and the bounds.
 * @param made - Told of the agreement, whose readiness the edges ask for.
 * @returns The factory.
 */
export function storeAgreement(
  options: StoreAgreementOptions,
  made: (agreement: StoreAgreement) => void,
): AgreementFactory {
  return (context) => {
    const agreement = new StoreAgreement(options, context);
    made(agreement);
    return agreement;
  };
}
