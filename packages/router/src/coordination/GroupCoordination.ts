import type { HostId, Incarnation, Millis, ModelId } from '@camphorvane/core';
import { runInBackground, runLoop, sleep, wallTimeOf } from '@camphorvane/core';
import { RetryBudget, UpstreamAdmission, UpstreamConstraints } from '@camphorvane/decisions';
import { DEFAULT_MEMBERSHIP_SETTINGS, memberKey } from '@camphorvane/group';
import type { PeerLink, PeerRequest, PeerResponse, PeerSender } from '@camphorvane/peer';
import { GroupShareAuthority, GroupRunner, TeamRates } from '@camphorvane/peer';
import type { HostRegistry, ObjectStore } from '@camphorvane/store';
import {
  BudgetedStore,
  CallBudget,
  ClaimSweeper,
  ConfigFollower,
  DEFAULT_RETENTION_MS,
  IdempotencyClaims,
} from '@camphorvane/store';
import { ConfigRelay } from '../host/ConfigRelay.ts';
import { GroupAdapter } from '../host/GroupAdapter.ts';
import type { RetryGate } from '../host/ports.ts';
import { UpstreamSignalRecorder } from '../host/UpstreamSignalRecorder.ts';
import { FallbackPlacer } from '../placing/FallbackPlacer.ts';
import { PlacementClient } from '../placing/PlacementClient.ts';
import { CoordinatorRegistry } from '../placing/CoordinatorRegistry.ts';
import { CrashGuard } from '../serving/CrashGuard.ts';
import { teamRetryGate } from '../serving/retryGates.ts';
import type {
  CoordinationContext,
  CoordinationFactory,
  HostCoordination,
} from './HostCoordination.ts';
import { OutageRateGate } from './OutageRateGate.ts';

/** Interval between two announcements in the store's host list, in milliseconds. */
const ANNOUNCE_PERIOD_MS: Millis = 5_000;

/** Timeout for leaving the group, in milliseconds; the host then ends without having left. */
const LEAVE_TIMEOUT_MS: Millis = 10_000;

/** Options of a {@link GroupCoordination}; store and link are interfaces, so that it also runs in memory. */
export interface GroupCoordinationOptions {
  readonly group: string;
  readonly groupSize: number;
  /** Number of hosts in the whole fleet, which share the rate limits of the store. */
  readonly fleetHosts: number;
  readonly store: ObjectStore & HostRegistry;
  readonly link: PeerLink;
}

/** Coordination as a group: epochs, exact shares of the rates and a coordinator for each pool. */
export class GroupCoordination implements HostCoordination {
  readonly config: ConfigFollower;

  readonly group: GroupAdapter;

  readonly rates: OutageRateGate;

  private readonly shares: TeamRates;

  readonly retryGate: RetryGate;

  readonly placer: PlacementClient;

  readonly crashGuard: CrashGuard;

  /** Without slow start: the configuration of a group has no settings for it. */
  readonly admission: UpstreamAdmission;

  readonly signals: UpstreamSignalRecorder;

  readonly claims: IdempotencyClaims;

  readonly abortsOnKeyWithdrawal = true;

  private readonly options: GroupCoordinationOptions;

  private readonly context: CoordinationContext;

  private readonly runner: GroupRunner;

  private readonly configRelay: ConfigRelay;

  private readonly claimSweeper: ClaimSweeper;

  private readonly coordinators: CoordinatorRegistry;

  private readonly fallback: FallbackPlacer;

  private leaving = false;

  /** Members that were told of the crashes before they joined. */
  private informedMembers: ReadonlySet<string> = new Set();

  /**
   * @param options - The group, the store and the link.
   * @param context - The host that is a member.
   */
  constructor(options: GroupCoordinationOptions, context: CoordinationContext) {
    this.options = options;
    this.context = context;
    const { clock, random, identity, incarnation, directory } = context;
    const { store, link } = options;
    const budget = new CallBudget(clock, CallBudget.ratesFor(options.fleetHosts));
    this.runner = new GroupRunner({
      group: options.group,
      self: { ...identity, incarnation },
      settings: { ...DEFAULT_MEMBERSHIP_SETTINGS, maxMembers: options.groupSize },
      clock,
      random,
      store: new BudgetedStore(store, budget, 'membership'),
      link,
    });
    const group = new GroupAdapter(
      this.runner,
      { ...identity, leaving: false, serving: true, cutOff: false },
      clock,
    );
    this.group = group;
    this.configRelay = new ConfigRelay({ self: identity.host, clock, group, link });
    this.config = new ConfigFollower({
      store: new BudgetedStore(store, budget, 'config'),
      clock,
      random,
      peers: this.configRelay,
    });
    this.claims = new IdempotencyClaims({
      store: new BudgetedStore(store, budget, 'claims'),
      clock,
      random,
      holderState: (host, holderIncarnation) => this.holderState(host, holderIncarnation),
    });
    this.claimSweeper = new ClaimSweeper({
      store: new BudgetedStore(store, budget, 'status'),
      clock,
      random,
      retentionMs: DEFAULT_RETENTION_MS,
    });
    const selfKey = memberKey({ host: identity.host, incarnation });
    this.shares = new TeamRates({
      clock,
      link,
      authority: new GroupShareAuthority(this.runner, selfKey),
    });
    this.rates = new OutageRateGate({
      clock,
      self: identity.host,
      shares: this.shares,
      members: () => group.members().map((member) => member.host),
      mayAct: () => group.mayAct(),
    });
    const { metrics } = context;
    this.retryGate = teamRetryGate(new RetryBudget(), metrics);
    this.crashGuard = new CrashGuard({ self: identity.host, clock, group, link, metrics });
    const constraints = new UpstreamConstraints({
      self: identity.host,
      getSharers: () =>
        group
          .members()
          .map((member) => member.host)
          .sort(),
      toTimeOfDay: wallTimeOf(clock),
    });
    this.admission = new UpstreamAdmission(undefined, constraints);
    this.signals = new UpstreamSignalRecorder(constraints, clock, metrics);
    const placing = { clock, random, directory, incarnation, metrics };
    this.coordinators = new CoordinatorRegistry({ ...placing, group });
    this.fallback = new FallbackPlacer({ ...placing, hostCount: () => group.members().length });
    this.placer = new PlacementClient({
      self: identity.host,
      clock,
      group,
      link,
      coordinators: this.coordinators,
      fallback: this.fallback,
    });
  }

  /** {@inheritDoc HostCoordination.start} */
  start(signal: AbortSignal): void {
    runInBackground('coordination', () => this.runAnnounceLoop(signal));
    this.config.start();
    this.claimSweeper.start();
    runInBackground('coordination', () => this.configRelay.run(this.config, signal));
    this.runner.start();
    this.shares.start();
    runInBackground('coordination', () => this.coordinators.run(signal));
    this.group.onChange(() => this.informNewMembers());
  }

  /** {@inheritDoc HostCoordination.beginLeaving} */
  async beginLeaving(): Promise<void> {
    this.leaving = true;
    this.runner.drain();
    await this.announceOnce();
  }

  /** {@inheritDoc HostCoordination.leave} */
  async leave(): Promise<void> {
    await this.shares.returnShares();
    await this.runner.leave(LEAVE_TIMEOUT_MS);
    await this.options.store.deregister(this.context.identity.host);
  }

  /** {@inheritDoc HostCoordination.stop} */
  stop(): void {
    runInBackground('coordination', () => this.config.stop());
    runInBackground('coordination', () => this.claims.stop());
    runInBackground('coordination', () => this.claimSweeper.stop());
    this.coordinators.stop();
    this.shares.stop();
    this.fallback.stop();
    this.runner.stop();
  }

  /** {@inheritDoc HostCoordination.handlePeerRequest} */
  async handlePeerRequest(from: PeerSender, req: PeerRequest): Promise<PeerResponse> {
    switch (req.type) {
      case 'membership': {
        const message = this.runner.answerHeartbeat(req.message);
        return message === undefined
          ? { type: 'not_steward', epoch: 0 }
          : { type: 'membership', message };
      }
      case 'crashes':
        this.crashGuard.receiveCrashes(req.reports);
        if (req.shared !== undefined) this.crashGuard.receive(req.shared);
        return { type: 'ok' };
      case 'share_sync':
        return this.shares.handleSync(from, req.message);
      case 'share_borrow':
        return this.shares.handleBorrow(req.team, req.tokens);
      case 'share_nudge':
        return this.shares.handleNudge(from, req.teams);
      case 'config_version':
      case 'config_root':
      case 'config_chunk':
        return this.configRelay.answer(req, this.config);
      case 'reserve':
      case 'withdraw':
      case 'renew':
      case 'prefill_ended':
      case 'release':
      case 'observe':
        return this.coordinators.answer(req);
      default:
        return req satisfies never;
    }
  }

  /** {@inheritDoc HostCoordination.getCoordinatedModels} */
  getCoordinatedModels(): readonly ModelId[] {
    return this.coordinators.getModels();
  }

  /** {@inheritDoc HostCoordination.getEpoch} */
  getEpoch(): number {
    return this.runner.view().epoch;
  }

  /** {@inheritDoc HostCoordination.dump} */
  dump(): object {
    return {
      group: this.runner.dump(),
      rates: this.shares.dump(),
      stewardOf: this.coordinators.dump(),
      fallback: this.fallback.dump(),
    };
  }

  private runAnnounceLoop(signal: AbortSignal): Promise<void> {
    return runLoop({ place: 'announce', clock: this.context.clock, signal }, async () => {
      await this.announceOnce();
      await sleep(this.context.clock, ANNOUNCE_PERIOD_MS, signal);
    });
  }

  /** A process that joins the group knows nothing of the crashes before, also under a name that was a member. */
  private informNewMembers(): void {
    const { members } = this.runner.view();
    const known = this.informedMembers;
    this.informedMembers = new Set(members.map(memberKey));
    members
      .filter((one) => one.host !== this.context.identity.host && !known.has(memberKey(one)))
      .forEach(({ host, peerAddress }) =>
        this.crashGuard.informPeer({ host, address: peerAddress }),
      );
  }

  private async announceOnce(): Promise<void> {
    const { host, ...rest } = this.context.identity;
    const state = this.leaving ? 'leaving' : 'live';
    await this.options.store.register({ id: host, ...rest, state });
  }

  /** A member of the epoch may still run its call; an incarnation that is not a member never will. */
  private holderState(host: HostId, incarnation: Incarnation): 'live' | 'gone' | 'unknown' {
    const view = this.runner.view();
    if (view.epoch === 0) return 'unknown';
    const isMember = view.members.some(
      (member) => member.host === host && member.incarnation === incarnation,
    );
    return isMember ? 'live' : 'gone';
  }
}

/**
 * Gets the factory of a {@link GroupCoordination}.
 *
 * @param options - The group, the store and the link.
 * @returns The factory.
 */
export function groupCoordination(options: GroupCoordinationOptions): CoordinationFactory {
  return (context) => new GroupCoordination(options, context);
}
