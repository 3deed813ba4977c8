import type { CallerBackend, ForwardBackend } from '@camphorvane/caller';
import type { HostId, Millis, ModelId, VersionedConfig } from '@camphorvane/core';
import { notRun, sleep } from '@camphorvane/core';
import type { HostStatus } from '@camphorvane/operator';
import type { PeerHandler, PeerRequest, PeerResponse, PeerSender } from '@camphorvane/peer';
import { stateLog } from '../observe/StateLog.ts';
import { VERSION } from '../version.ts';
import type { HostParts } from './assembleHost.ts';
import { assembleHost } from './assembleHost.ts';
import { slowStartBounds } from './slowStartBounds.ts';
import type { HostOptions } from './HostOptions.ts';

const log = stateLog('host');

/** What a host is doing. */
export type HostState = 'starting' | 'serving' | 'draining' | 'stopped';

/** One host: the parts that serve callers, wired together. */
export class Host implements PeerHandler {
  /** Serves what callers ask. */
  readonly backend: CallerBackend;

  /** Serves calls that are passed on. */
  readonly forwarding: ForwardBackend;

  private readonly options: HostOptions;

  private readonly stopping = new AbortController();

  private readonly parts: HostParts;

  private state: HostState = 'starting';

  private closed = false;

  /** @param options - What the host is made of. */
  constructor(options: HostOptions) {
    this.options = options;
    this.parts = assembleHost(options, {
      isDraining: () => this.state === 'draining' || this.state === 'stopped',
      isClosed: () => this.closed,
    });
    this.backend = this.parts.backend;
    this.forwarding = this.parts.forwarding;
  }

  /** Starts all tasks of the host. */
  start(): void {
    const { signal } = this.stopping;
    const { agreement } = this.parts;
    agreement.config.onChange((config) => this.takeConfig(config));
    agreement.group.onChange(() => this.takeGroup());
    agreement.start(signal);
    void this.parts.keeper.run(signal);
    void this.parts.watch.run(signal);
    this.enterState('serving');
  }

  /** Answers what other hosts ask. */
  answer(from: PeerSender, req: PeerRequest): Promise<PeerResponse> {
    return this.parts.agreement.answer(from, req);
  }

  /**
   * Leaves without cutting a request: takes no new work, lets what runs end, then leaves the group.
   *
   * @returns A promise that resolves when the host has stopped.
   */
  async drain(): Promise<void> {
    if (this.state !== 'serving') return;
    await this.beginDrain();
    await this.finishDrain(this.options.drainGraceMs);
  }

  /** Tells everybody that this host leaves; calls that are passed on are still served. */
  async beginDrain(): Promise<void> {
    this.enterState('draining');
    await this.parts.agreement.beginLeaving();
  }

  /**
   * Takes nothing any more, lets what runs end, and stops.
   *
   * @param graceMs - Milliseconds that running requests may take.
   * @returns A promise that resolves when the host has stopped.
   */
  async finishDrain(graceMs: Millis): Promise<void> {
    this.closed = true;
    const { agreement, inFlight } = this.parts;
    const grace = sleep(this.options.clock, graceMs, this.stopping.signal);
    await Promise.race([inFlight.whenIdle(), grace]);
    if (agreement.claims !== undefined) await Promise.race([agreement.claims.drained(), grace]);
    await agreement.leave();
    this.stop();
  }

  /** Ends all tasks at once. */
  stop(): void {
    this.enterState('stopped');
    this.stopping.abort();
    this.parts.agreement.stop();
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
    return this.parts.agreement.getCoordinated();
  }

  /** Gets the version of the configuration in force; 0 before the first. */
  configVersion(): number {
    return this.parts.agreement.config.state().version;
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
      configConfirmed: this.parts.agreement.config.isConfirmed(),
      epoch: this.parts.agreement.getEpoch(),
      inFlight: this.parts.inFlight.size(),
    };
  }

  /** Gets the whole state in readable form, without any secret. */
  dump(): object {
    return {
      identity: this.options.identity,
      incarnation: this.options.incarnation,
      state: this.state,
      config: this.parts.agreement.config.state(),
      inFlight: this.parts.inFlight.size(),
      reservations: this.parts.keeper.size(),
      ...this.parts.agreement.dump(),
      crashes: this.parts.agreement.crashes.dump(),
      serviceQueues: this.parts.gates.dump(),
      counters: this.options.metrics.getCounts(),
    };
  }

  private takeConfig({ version, config }: VersionedConfig): void {
    this.parts.directory.reshape(config);
    this.parts.keys.update(config);
    this.parts.agreement.rates.setTeams(config.teams);
    this.parts.agreement.slowStart.setBounds(slowStartBounds(config));
    this.parts.agreement.placer.refresh();
    this.parts.gates.refresh();
    const ended = this.parts.agreement.endsWithdrawn ? this.endWithdrawn() : 0;
    this.options.metrics.count('config.changed');
    log('config_in_force', { version, ended });
  }

  private takeGroup(): void {
    this.parts.agreement.placer.refresh();
    this.parts.gates.refresh();
  }

  private endWithdrawn(): number {
    return this.parts.inFlight.endWithdrawn(
      (digest, team) => this.parts.keys.isInForce(digest, team),
      notRun('key_withdrawn', 'The key was withdrawn while the request ran.'),
    );
  }

  private enterState(state: HostState): void {
    if (this.state === state) return;
    this.state = state;
    log('state', { host: this.options.identity.host, state });
  }
}
