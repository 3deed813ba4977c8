import type { CallerBackend } from '@camphorvane/caller';
import type {
  Clock,
  HostId,
  Incarnation,
  Millis,
  ModelId,
  RandomSource,
  VersionedConfig,
} from '@camphorvane/core';
import { notRun, sleep } from '@camphorvane/core';
import { DEFAULT_MEMBERSHIP, memberKey } from '@camphorvane/group';
import { GroupAuthority, GroupRunner, TeamRates } from '@camphorvane/peer';
import type {
  PeerHandler,
  PeerLink,
  PeerRequest,
  PeerResponse,
  PeerSender,
} from '@camphorvane/peer';
import type { HostRegistry, ObjectStore } from '@camphorvane/platform';
import {
  BudgetedStore,
  CallBudget,
  ConfigFollower,
  IdempotencyClaims,
  KeyRing,
} from '@camphorvane/platform';
import type { Metrics } from '../observe/Metrics.ts';
import { stateLog } from '../observe/StateLog.ts';
import { EngineWatch } from '../placing/EngineWatch.ts';
import { FallbackPlacer } from '../placing/FallbackPlacer.ts';
import { PlacementClient } from '../placing/PlacementClient.ts';
import { ReservationKeeper } from '../placing/ReservationKeeper.ts';
import { StewardDesk } from '../placing/StewardDesk.ts';
import { CompletionServing } from '../serving/CompletionServing.ts';
import { ServiceGates } from '../serving/ServiceGates.ts';
import { ServiceServing } from '../serving/ServiceServing.ts';
import { Authenticator } from './Authenticator.ts';
import { ConfigRelay } from './ConfigRelay.ts';
import { GroupAdapter } from './GroupAdapter.ts';
import { HostBackend } from './HostBackend.ts';
import { InFlight } from './InFlight.ts';
import type { EngineFactory, GroupMate, PlainServerFactory } from './ports.ts';
import { answerPeer } from './answerPeer.ts';
import { UpstreamDirectory } from './UpstreamDirectory.ts';

/** Milliseconds between two announcements in the platform's host list. */
const ANNOUNCE_PERIOD_MS: Millis = 5_000;

/** Milliseconds that leaving the group may take before the host ends without it. */
const LEAVE_TIMEOUT_MS: Millis = 10_000;

const log = stateLog('host');

/** What a host is made of; every edge is an interface, so that a host also runs in memory. */
export interface HostOptions {
  readonly identity: Omit<GroupMate, 'leaving'>;
  /** Names this start of the host; never repeats. */
  readonly incarnation: string;
  readonly group: string;
  readonly groupSize: number;
  /** Hosts of the whole fleet, which share the platform's rates. */
  readonly fleetHosts: number;
  readonly drainGraceMs: Millis;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: ObjectStore & HostRegistry;
  readonly link: PeerLink;
  readonly engines: EngineFactory;
  readonly servers: PlainServerFactory;
  readonly metrics: Metrics;
}

/** What a host is doing. */
export type HostState = 'starting' | 'serving' | 'draining' | 'stopped';

/** One host: the parts that serve callers, wired together. */
export class Host implements PeerHandler {
  /** Serves what callers ask. */
  readonly backend: CallerBackend;

  private readonly options: HostOptions;

  private readonly stopping = new AbortController();

  private readonly config: ConfigFollower;

  private readonly relay: ConfigRelay;

  private readonly keys = new KeyRing();

  private readonly runner: GroupRunner;

  private readonly group: GroupAdapter;

  private readonly directory: UpstreamDirectory;

  private readonly authenticator: Authenticator;

  private readonly inFlight = new InFlight();

  private readonly rates: TeamRates;

  private readonly desk: StewardDesk;

  private readonly fallback: FallbackPlacer;

  private readonly keeper: ReservationKeeper;

  private readonly watch: EngineWatch;

  private readonly gates: ServiceGates;

  private readonly claims: IdempotencyClaims;

  private state: HostState = 'starting';

  /** @param options - What the host is made of. */
  constructor(options: HostOptions) {
    this.options = options;
    const { clock, random, store, link, metrics, identity, incarnation } = options;
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
    this.group = new GroupAdapter(this.runner, { ...identity, leaving: false });
    this.relay = new ConfigRelay({ self: identity.host, clock, group: this.group, link });
    this.config = new ConfigFollower({
      store: new BudgetedStore(store, budget, 'config'),
      clock,
      random,
      peers: this.relay,
    });
    this.directory = new UpstreamDirectory(options.engines, options.servers);
    this.authenticator = new Authenticator(this.config, this.keys);
    const { group, directory } = this;
    const authority = new GroupAuthority(
      this.runner,
      memberKey({ host: identity.host, incarnation }),
    );
    this.rates = new TeamRates({ clock, link, authority });
    this.desk = new StewardDesk({ clock, random, group, directory, incarnation });
    const hostCount = (): number => group.members().length;
    this.fallback = new FallbackPlacer({ clock, random, directory, hostCount, incarnation });
    const placements = new PlacementClient({
      self: identity.host,
      clock,
      group,
      link,
      desk: this.desk,
      fallback: this.fallback,
    });
    this.keeper = new ReservationKeeper(clock, placements);
    this.watch = new EngineWatch(clock, placements);
    this.gates = new ServiceGates(clock, directory, hostCount);
    this.claims = new IdempotencyClaims({
      store: new BudgetedStore(store, budget, 'claims'),
      clock,
      random,
      holderState: (host, start) => this.holderState(host, start),
    });
    this.backend = new HostBackend({
      clock,
      random,
      incarnation,
      authenticator: this.authenticator,
      config: this.config,
      group,
      directory,
      inFlight: this.inFlight,
      completions: new CompletionServing({
        self: identity.host,
        clock,
        directory,
        placements,
        keeper: this.keeper,
        watch: this.watch,
        metrics,
        rates: this.rates,
      }),
      services: new ServiceServing({
        clock,
        directory,
        gates: this.gates,
        rates: this.rates,
        claims: this.claims,
        self: { host: identity.host, incarnation },
        metrics,
      }),
      metrics,
      isDraining: () => this.state === 'draining' || this.state === 'stopped',
    });
  }

  /** Starts all tasks of the host. */
  start(): void {
    const { signal } = this.stopping;
    this.config.onChange((config) => this.takeConfig(config));
    this.group.onChange(() => this.takeGroup());
    void this.announce(signal);
    this.config.start();
    void this.relay.run(this.config, signal);
    this.runner.start();
    this.rates.start();
    void this.desk.run(signal);
    void this.keeper.run(signal);
    void this.watch.run(signal);
    this.enterState('serving');
  }

  /** Answers what other hosts ask. */
  async answer(from: PeerSender, req: PeerRequest): Promise<PeerResponse> {
    const { runner, rates, relay, config, desk } = this;
    return answerPeer({ runner, rates, relay, config, desk }, from, req);
  }

  /**
   * Leaves without cutting a request: takes no new work, lets what runs end, then leaves the group.
   *
   * @returns A promise that resolves when the host has stopped.
   */
  async drain(): Promise<void> {
    if (this.state !== 'serving') return;
    this.enterState('draining');
    this.runner.drain();
    await this.announceOnce('leaving');
    const grace = sleep(this.options.clock, this.options.drainGraceMs, this.stopping.signal);
    await Promise.race([this.inFlight.whenIdle(), grace]);
    await this.rates.handBack();
    await Promise.race([this.claims.drained(), grace]);
    await this.runner.leave(LEAVE_TIMEOUT_MS);
    await this.options.store.withdraw(this.options.identity.host);
    this.stop();
  }

  /** Ends all tasks at once. */
  stop(): void {
    this.enterState('stopped');
    this.stopping.abort();
    void this.config.stop();
    void this.claims.stop();
    this.desk.stop();
    this.rates.stop();
    this.fallback.stop();
    this.runner.stop();
  }

  /** Gets what the host is doing. */
  getState(): HostState {
    return this.state;
  }

  /** Gets the name of the host. */
  getName(): HostId {
    return this.options.identity.host;
  }

  /** Gets the models whose pools this host coordinates now. */
  getCoordinated(): readonly ModelId[] {
    return this.desk.getModels();
  }

  /** Gets the version of the configuration in force; 0 before the first. */
  configVersion(): number {
    return this.config.state().version;
  }

  /** Gets the whole state in readable form, without any secret. */
  dump(): object {
    return {
      identity: this.options.identity,
      incarnation: this.options.incarnation,
      state: this.state,
      config: this.config.state(),
      inFlight: this.inFlight.size(),
      reservations: this.keeper.size(),
      group: this.runner.dump(),
      rates: this.rates.dump(),
      stewardOf: this.desk.dump(),
      fallback: this.fallback.dump(),
      serviceQueues: this.gates.dump(),
      counters: this.options.metrics.getCounts(),
    };
  }

  private takeConfig({ version, config }: VersionedConfig): void {
    this.directory.reshape(config);
    this.keys.update(config);
    this.rates.setTeams(config.teams);
    this.desk.refresh();
    this.gates.refresh();
    const refusal = notRun('key_withdrawn', 'The key was withdrawn while the request ran.');
    const ended = this.inFlight.endWithdrawn((d, team) => this.keys.isInForce(d, team), refusal);
    this.options.metrics.count('config.changed');
    log('config_in_force', { version, ended });
  }

  private takeGroup(): void {
    this.desk.refresh();
    this.gates.refresh();
  }

  /** A member of the epoch may still be running its call; one that is no longer there never will. */
  private holderState(host: HostId, incarnation: Incarnation): 'live' | 'gone' | 'unknown' {
    const view = this.runner.view();
    if (view.epoch === 0) return 'unknown';
    const isMember = view.members.some(
      (member) => member.host === host && member.incarnation === incarnation,
    );
    return isMember ? 'live' : 'gone';
  }

  private async announce(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.announceOnce(this.state === 'draining' ? 'leaving' : 'live');
      await sleep(this.options.clock, ANNOUNCE_PERIOD_MS, signal);
    }
  }

  private async announceOnce(state: 'live' | 'leaving'): Promise<void> {
    const { host, ...rest } = this.options.identity;
    await this.options.store.announce({ id: host, ...rest, state });
  }

  private enterState(state: HostState): void {
    if (this.state === state) return;
    this.state = state;
    log('state', { host: this.options.identity.host, state });
  }
}
