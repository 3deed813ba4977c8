import type { CallerBackend } from '@camphorvane/caller';
import type { Clock, Millis, RandomSource, VersionedConfig } from '@camphorvane/core';
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
import type { Metrics } from '../observe/Metrics.ts';
import { stateLog } from '../observe/StateLog.ts';
import { EngineWatch } from '../placing/EngineWatch.ts';
import { PlacementClient } from '../placing/PlacementClient.ts';
import { ReservationKeeper } from '../placing/ReservationKeeper.ts';
import { StewardDesk } from '../placing/StewardDesk.ts';
import { CompletionServing } from '../serving/CompletionServing.ts';
import { ServiceGates } from '../serving/ServiceGates.ts';
import { ServiceServing } from '../serving/ServiceServing.ts';
import { Authenticator } from './Authenticator.ts';
import type { ClaimBook } from './claims.ts';
import { GroupAdapter } from './GroupAdapter.ts';
import { HostBackend } from './HostBackend.ts';
import { InFlight } from './InFlight.ts';
import type { EngineFactory, GroupMate, PlainServerFactory } from './ports.ts';
import { StoreConfigSource } from './StoreConfigSource.ts';
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
  readonly drainGraceMs: Millis;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: ObjectStore & HostRegistry;
  readonly link: PeerLink;
  readonly engines: EngineFactory;
  readonly servers: PlainServerFactory;
  readonly claims: ClaimBook;
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

  private readonly config: StoreConfigSource;

  private readonly runner: GroupRunner;

  private readonly group: GroupAdapter;

  private readonly directory: UpstreamDirectory;

  private readonly authenticator: Authenticator;

  private readonly inFlight = new InFlight();

  private readonly rates: TeamRates;

  private readonly desk: StewardDesk;

  private readonly keeper: ReservationKeeper;

  private readonly watch: EngineWatch;

  private readonly gates: ServiceGates;

  private state: HostState = 'starting';

  /** @param options - What the host is made of. */
  constructor(options: HostOptions) {
    this.options = options;
    const { clock, random, store, link, metrics, identity, incarnation } = options;
    this.config = new StoreConfigSource(store, clock);
    this.runner = new GroupRunner({
      group: options.group,
      self: { ...identity, incarnation },
      settings: { ...DEFAULT_MEMBERSHIP, maxMembers: options.groupSize },
      clock,
      random,
      store,
      link,
    });
    this.group = new GroupAdapter(this.runner, { ...identity, leaving: false });
    this.directory = new UpstreamDirectory(options.engines, options.servers);
    this.authenticator = new Authenticator(this.config, clock);
    const { group, directory } = this;
    const authority = new GroupAuthority(
      this.runner,
      memberKey({ host: identity.host, incarnation }),
    );
    this.rates = new TeamRates({ clock, link, authority });
    this.desk = new StewardDesk({ clock, random, group, directory, incarnation });
    const placements = new PlacementClient({
      self: identity.host,
      clock,
      group,
      link,
      desk: this.desk,
    });
    this.keeper = new ReservationKeeper(clock, placements);
    this.watch = new EngineWatch(clock, placements);
    this.gates = new ServiceGates(clock, directory, () => group.members().length);
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
        claims: options.claims,
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
    void this.config.run(signal);
    this.runner.start();
    this.rates.start();
    void this.desk.run(signal);
    void this.keeper.run(signal);
    void this.watch.run(signal);
    this.enterState('serving');
  }

  /** Answers what other hosts ask. */
  async answer(from: PeerSender, req: PeerRequest): Promise<PeerResponse> {
    switch (req.type) {
      case 'membership': {
        const message = this.runner.answer(req.message);
        return message === undefined
          ? { type: 'not_steward', epoch: 0 }
          : { type: 'membership', message };
      }
      case 'share_sync':
        return this.rates.answerSync(from, req.message);
      case 'share_nudge':
        return this.rates.answerNudge(from, req.teams);
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
    await this.runner.leave(LEAVE_TIMEOUT_MS);
    await this.options.store.withdraw(this.options.identity.host);
    this.stop();
  }

  /** Ends all tasks at once. */
  stop(): void {
    this.enterState('stopped');
    this.stopping.abort();
    this.desk.stop();
    this.rates.stop();
    this.runner.stop();
  }

  /** Gets what the host is doing. */
  getState(): HostState {
    return this.state;
  }

  /** Gets the whole state in readable form, without any secret. */
  dump(): object {
    return {
      identity: this.options.identity,
      incarnation: this.options.incarnation,
      state: this.state,
      configVersion: this.config.current()?.version ?? 0,
      configConfirmedAgoMs: this.confirmedAgo(),
      inFlight: this.inFlight.size(),
      reservations: this.keeper.size(),
      group: this.runner.dump(),
      rates: this.rates.dump(),
      stewardOf: this.desk.dump(),
      serviceQueues: this.gates.dump(),
      counters: this.options.metrics.getCounts(),
    };
  }

  private confirmedAgo(): Millis | undefined {
    const at = this.config.confirmedAt();
    return at === undefined ? undefined : this.options.clock.now() - at;
  }

  private takeConfig({ version, config }: VersionedConfig): void {
    this.directory.reshape(config);
    this.authenticator.setTeams(config.teams);
    this.rates.setTeams(config.teams);
    this.desk.refresh();
    this.gates.refresh();
    const refusal = notRun('key_withdrawn', 'The key was withdrawn while the request ran.');
    const ended = this.inFlight.endWithdrawn((d) => this.authenticator.isInForce(d), refusal);
    this.options.metrics.count('config.changed');
    log('config_in_force', { version, ended });
  }

  private takeGroup(): void {
    this.desk.refresh();
    this.gates.refresh();
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
