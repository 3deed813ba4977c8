import type { CallerBackend } from '@camphorvane/caller';
import type { HostId, Millis, ModelId, VersionedConfig } from '@camphorvane/core';
import { notRun, sleep } from '@camphorvane/core';
import type { HostStatus } from '@camphorvane/operator';
import type { PeerHandler, PeerRequest, PeerResponse, PeerSender } from '@camphorvane/peer';
import { stateLog } from '../observe/StateLog.ts';
import { VERSION } from '../version.ts';
import type { HostParts } from './assembleHost.ts';
import { assembleHost } from './assembleHost.ts';
import type { HostOptions } from './HostOptions.ts';

/** Milliseconds between two announcements in the platform's host list. */
const ANNOUNCE_PERIOD_MS: Millis = 5_000;

/** Milliseconds that leaving the group may take before the host ends without it. */
const LEAVE_TIMEOUT_MS: Millis = 10_000;

const log = stateLog('host');

/** What a host is doing. */
export type HostState = 'starting' | 'serving' | 'draining' | 'stopped';

/** One host: the parts that serve callers, wired together. */
export class Host implements PeerHandler {
  /** Serves what callers ask. */
  readonly backend: CallerBackend;

  private readonly options: HostOptions;

  private readonly stopping = new AbortController();

  private readonly parts: HostParts;

  private state: HostState = 'starting';

  /** @param options - What the host is made of. */
  constructor(options: HostOptions) {
    this.options = options;
    this.parts = assembleHost(options, () => this.state === 'draining' || this.state === 'stopped');
    this.backend = this.parts.backend;
  }

  /** Starts all tasks of the host. */
  start(): void {
    const { signal } = this.stopping;
    this.parts.config.onChange((config) => this.takeConfig(config));
    this.parts.group.onChange(() => this.takeGroup());
    void this.announce(signal);
    this.parts.config.start();
    void this.parts.relay.run(this.parts.config, signal);
    this.parts.runner.start();
    this.parts.rates.start();
    void this.parts.desk.run(signal);
    void this.parts.keeper.run(signal);
    void this.parts.watch.run(signal);
    this.enterState('serving');
  }

  /** Answers what other hosts ask. */
  async answer(from: PeerSender, req: PeerRequest): Promise<PeerResponse> {
    switch (req.type) {
      case 'membership': {
        const message = this.parts.runner.answer(req.message);
        return message === undefined
          ? { type: 'not_steward', epoch: 0 }
          : { type: 'membership', message };
      }
      case 'share_sync':
        return this.parts.rates.answerSync(from, req.message);
      case 'share_borrow':
        return this.parts.rates.answerBorrow(req.team, req.tokens);
      case 'share_nudge':
        return this.parts.rates.answerNudge(from, req.teams);
      case 'config_version':
      case 'config_root':
      case 'config_chunk':
        return this.parts.relay.answer(req, this.parts.config);
      case 'reserve':
      case 'withdraw':
      case 'renew':
      case 'prefill_ended':
      case 'release':
      case 'observe':
        return this.parts.desk.answer(req);
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
    this.parts.runner.drain();
    await this.announceOnce('leaving');
    const grace = sleep(this.options.clock, this.options.drainGraceMs, this.stopping.signal);
    await Promise.race([this.parts.inFlight.whenIdle(), grace]);
    await Promise.race([this.parts.claims.drained(), grace]);
    await this.parts.rates.handBack();
    await this.parts.runner.leave(LEAVE_TIMEOUT_MS);
    await this.options.store.withdraw(this.options.identity.host);
    this.stop();
  }

  /** Ends all tasks at once. */
  stop(): void {
    this.enterState('stopped');
    this.stopping.abort();
    void this.parts.config.stop();
    void this.parts.claims.stop();
    this.parts.desk.stop();
    this.parts.rates.stop();
    this.parts.fallback.stop();
    this.parts.runner.stop();
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
    return this.parts.desk.getModels();
  }

  /** Gets the version of the configuration in force; 0 before the first. */
  configVersion(): number {
    return this.parts.config.state().version;
  }

  /** Gets the state in a line. */
  status(): HostStatus {
    const { identity } = this.options;
    return {
      host: identity.host,
      zone: identity.zone,
      program: VERSION,
      state: this.state,
      configVersion: this.configVersion(),
      configConfirmed: this.parts.config.isConfirmed(),
      epoch: this.parts.runner.view().epoch,
      inFlight: this.parts.inFlight.size(),
    };
  }

  /** Gets the whole state in readable form, without any secret. */
  dump(): object {
    return {
      identity: this.options.identity,
      incarnation: this.options.incarnation,
      state: this.state,
      config: this.parts.config.state(),
      inFlight: this.parts.inFlight.size(),
      reservations: this.parts.keeper.size(),
      group: this.parts.runner.dump(),
      rates: this.parts.rates.dump(),
      stewardOf: this.parts.desk.dump(),
      fallback: this.parts.fallback.dump(),
      serviceQueues: this.parts.gates.dump(),
      counters: this.options.metrics.getCounts(),
    };
  }

  private takeConfig({ version, config }: VersionedConfig): void {
    this.parts.directory.reshape(config);
    this.parts.keys.update(config);
    this.parts.rates.setTeams(config.teams);
    this.parts.desk.refresh();
    this.parts.gates.refresh();
    const refusal = notRun('key_withdrawn', 'The key was withdrawn while the request ran.');
    const ended = this.parts.inFlight.endWithdrawn(
      (d, team) => this.parts.keys.isInForce(d, team),
      refusal,
    );
    this.options.metrics.count('config.changed');
    log('config_in_force', { version, ended });
  }

  private takeGroup(): void {
    this.parts.desk.refresh();
    this.parts.gates.refresh();
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
