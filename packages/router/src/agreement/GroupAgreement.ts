import type { HostId, Incarnation, Millis, ModelId } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import { RetryBudget, SlowStart } from '@camphorvane/decisions';
import { DEFAULT_MEMBERSHIP, memberKey } from '@camphorvane/group';
import type { PeerLink, PeerRequest, PeerResponse, PeerSender } from '@camphorvane/peer';
import { GroupAuthority, GroupRunner, TeamRates } from '@camphorvane/peer';
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
import type { RepeatGate } from '../host/ports.ts';
import { FallbackPlacer } from '../placing/FallbackPlacer.ts';
import { PlacementClient } from '../placing/PlacementClient.ts';
import { CoordinatorRegistry } from '../placing/CoordinatorRegistry.ts';
import { CrashGuard } from '../serving/CrashGuard.ts';
import { teamRetryGate } from '../serving/retryGates.ts';
import type { AgreementContext, AgreementFactory, HostAgreement } from './HostAgreement.ts';
import { OutageRates } from './OutageRates.ts';

/** Milliseconds between two announcements in the store's host list. */
const ANNOUNCE_PERIOD_MS: Millis = 5_000;

/** Milliseconds that leaving the group may take before the host ends without it. */
const LEAVE_TIMEOUT_MS: Millis = 10_000;

/** What a group of hosts is made of; every edge is an interface, so that it also runs in memory. */
export interface GroupOptions {
  readonly group: string;
  readonly groupSize: number;
  /** Hosts of the whole fleet, which share the store's rates. */
  readonly fleetHosts: number;
  readonly store: ObjectStore & HostRegistry;
  readonly link: PeerLink;
}

/** Hosts that agree as a group: epochs, exact shares of rates, a coordinator for each pool. */
export class GroupAgreement implements HostAgreement {
  readonly config: ConfigFollower;

  readonly group: GroupAdapter;

  readonly rates: OutageRates;

  private readonly shares: TeamRates;

  readonly repeats: RepeatGate;

  readonly placer: PlacementClient;

  readonly crashes: CrashGuard;

  /** The configuration of our own interface has no bounds for servers that start. */
  readonly slowStart = new SlowStart();

  readonly claims: IdempotencyClaims;

  readonly endsWithdrawn = true;

  private readonly options: GroupOptions;

  private readonly context: AgreementContext;

  private readonly runner: GroupRunner;

  private readonly relay: ConfigRelay;

  private readonly sweeper: ClaimSweeper;

  private readonly desk: CoordinatorRegistry;

  private readonly fallback: FallbackPlacer;

  private leaving = false;

  /**
   * @param options - The group, the store and the link.
   * @param context - The host that is a member.
   */
  constructor(options: GroupOptions, context: AgreementContext) {
    this.options = options;
    this.context = context;
    const { clock, random, identity, incarnation, directory } = context;
    const { store, link } = options;
    const budget = new CallBudget(clock, CallBudget.ratesFor(options.fleetHosts));
    this.runner = new GroupRunner({
      group: options.group,
      self: { ...identity, incarnation },
      settings: { ...DEFAULT_MEMBERSHIP, maxMembers: options.groupSize },
      clock,
      random,
      store: new BudgetedStore(store, budget, 'membership'),
      link,
    });
    const group = new GroupAdapter(
      this.runner,
      { ...identity, leaving: false, serving: true },
      clock,
    );
    this.group = group;
    this.relay = new ConfigRelay({ self: identity.host, clock, group, link });
    this.config = new ConfigFollower({
      store: new BudgetedStore(store, budget, 'config'),
      clock,
      random,
      peers: this.relay,
    });
    this.claims = new IdempotencyClaims({
      store: new BudgetedStore(store, budget, 'claims'),
      clock,
      random,
      holderState: (host, start) => this.holderState(host, start),
    });
    this.sweeper = new ClaimSweeper({
      store: new BudgetedStore(store, budget, 'status'),
      clock,
      random,
      retentionMs: DEFAULT_RETENTION_MS,
    });
    const selfKey = memberKey({ host: identity.host, incarnation });
    this.shares = new TeamRates({
      clock,
      link,
      authority: new GroupAuthority(this.runner, selfKey),
    });
    this.rates = new OutageRates({
      clock,
      self: identity.host,
      shares: this.shares,
      members: () => group.members().map((member) => member.host),
      mayAct: () => group.mayAct(),
    });
    this.repeats = teamRetryGate(new RetryBudget());
    this.crashes = new CrashGuard({ self: identity.host, clock, group, link });
    this.desk = new CoordinatorRegistry({ clock, random, group, directory, incarnation });
    this.fallback = new FallbackPlacer({
      clock,
      random,
      directory,
      hostCount: () => group.members().length,
      incarnation,
    });
    this.placer = new PlacementClient({
      self: identity.host,
      clock,
      group,
      link,
      coordinators: this.desk,
      fallback: this.fallback,
    });
  }

  /** {@inheritDoc HostAgreement.start} */
  start(signal: AbortSignal): void {
    void this.announce(signal);
    this.config.start();
    this.sweeper.start();
    void this.relay.run(this.config, signal);
    this.runner.start();
    this.shares.start();
    void this.desk.run(signal);
  }

  /** {@inheritDoc HostAgreement.beginLeaving} */
  async beginLeaving(): Promise<void> {
    this.leaving = true;
    this.runner.drain();
    await this.announceOnce();
  }

  /** {@inheritDoc HostAgreement.leave} */
  async leave(): Promise<void> {
    await this.shares.handBack();
    await this.runner.leave(LEAVE_TIMEOUT_MS);
    await this.options.store.withdraw(this.context.identity.host);
  }

  /** {@inheritDoc HostAgreement.stop} */
  stop(): void {
    void this.config.stop();
    void this.claims.stop();
    void this.sweeper.stop();
    this.desk.stop();
    this.shares.stop();
    this.fallback.stop();
    this.runner.stop();
  }

  /** {@inheritDoc HostAgreement.answer} */
  async answer(from: PeerSender, req: PeerRequest): Promise<PeerResponse> {
    switch (req.type) {
      case 'membership': {
        const message = this.runner.answer(req.message);
        return message === undefined
          ? { type: 'not_steward', epoch: 0 }
          : { type: 'membership', message };
      }
      case 'crashes':
        this.crashes.receiveReports(req.reports);
        return { type: 'ok' };
      case 'share_sync':
        return this.shares.answerSync(from, req.message);
      case 'share_borrow':
        return this.shares.answerBorrow(req.team, req.tokens);
      case 'share_nudge':
        return this.shares.answerNudge(from, req.teams);
      case 'config_version':
      case 'config_root':
      case 'config_chunk':
        return this.relay.answer(req, this.config);
      case 'reserve':
      case 'withdraw':
      case 'renew':
      case 'prefill_ended':
      case 'release':
      case 'observe':
        return this.desk.answer(req);
      default:
        return req satisfies never;
    }
  }

  /** {@inheritDoc HostAgreement.getCoordinated} */
  getCoordinated(): readonly ModelId[] {
    return this.desk.getModels();
  }

  /** {@inheritDoc HostAgreement.getEpoch} */
  getEpoch(): number {
    return this.runner.view().epoch;
  }

  /** {@inheritDoc HostAgreement.dump} */
  dump(): object {
    return {
      group: this.runner.dump(),
      rates: this.shares.dump(),
      stewardOf: this.desk.dump(),
      fallback: this.fallback.dump(),
    };
  }

  private async announce(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.announceOnce();
      await sleep(this.context.clock, ANNOUNCE_PERIOD_MS, signal);
    }
  }

  private async announceOnce(): Promise<void> {
    const { host, ...rest } = this.context.identity;
    const state = this.leaving ? 'leaving' : 'live';
    await this.options.store.announce({ id: host, ...rest, state });
  }

  /** A member of the epoch may still be running its call; one that is not there never will. */
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
 * Gets the factory of an agreement as a group.
 *
 * @param options - The group, the store and the link.
 * @returns The factory.
 */
export function groupAgreement(options: GroupOptions): AgreementFactory {
  return (context) => new GroupAgreement(options, context);
}
