import type { CallerBackend, ForwardBackend } from '@camphorvane/caller';
import type { RelayHandler } from '@camphorvane/peer/relay';
import type { ConnectObserver } from '@camphorvane/upstream';
import type { HostId, Millis, ModelId, Refusal, VersionedConfig } from '@camphorvane/core';
import { contain, notRun, runInBackground, sleep } from '@camphorvane/core';
import type { HostStatus } from '@camphorvane/operator';
import type { PeerHandler, PeerRequest, PeerResponse, PeerSender } from '@camphorvane/peer';
import { eventLog } from '../observe/EventLog.ts';
import { VERSION } from '../version.ts';
import type { HostComponents } from './assembleHost.ts';
import { assembleHost } from './assembleHost.ts';
import { slowStartBounds } from './slowStartBounds.ts';
import type { HostOptions } from './HostOptions.ts';

const log = eventLog('host');

/** Milliseconds for which a host that stops waits until the requests that it has cut off have ended. */
const CUT_OFF_MS: Millis = 50;

/** Retry-after in milliseconds of a host that has stopped; short, as the retry goes to another host. */
const STOPPED_RETRY_MS: Millis = 50;

/** Lifecycle state of a host. */
export type HostState = 'starting' | 'serving' | 'draining' | 'stopped';

/** One host of the router: owns its components and their lifecycle. */
export class Host implements PeerHandler {
  /** Serves requests on the router's native interface. */
  readonly backend: CallerBackend;

  /** Serves requests that are forwarded to upstreams. */
  readonly forwarding: ForwardBackend;

  /** Serves requests that peers pass on. */
  readonly serveRelayed: RelayHandler;

  /** Is told of all connections to upstreams. */
  readonly connects: ConnectObserver;

  private readonly options: HostOptions;

  private readonly stopController = new AbortController();

  private readonly components: HostComponents;

  private state: HostState = 'starting';

  private closed = false;

  /** @param options - Settings and dependencies of the host. */
  constructor(options: HostOptions) {
    this.options = options;
    this.components = assembleHost(options, {
      isDraining: () => this.state === 'draining' || this.state === 'stopped',
      isClosed: () => this.closed,
    });
    this.backend = this.components.backend;
    const { forwarding, reach } = this.components;
    this.forwarding = forwarding;
    this.serveRelayed = (request, signal, waitedMs) =>
      forwarding.serveRelayed(request, signal, waitedMs);
    this.connects = reach;
  }

  /** Starts all background tasks and enters the state `serving`. */
  start(): void {
    const { signal } = this.stopController;
    const { coordination } = this.components;
    coordination.config.onChange((config) => this.applyConfig(config));
    coordination.group.onChange(() => this.applyGroupChange());
    coordination.start(signal);
    runInBackground('host.task', () => this.components.renewer.run(signal));
    runInBackground('host.task', () => this.components.observer.run(signal));
    runInBackground('host.task', () => this.components.versions.run(signal));
    this.enterState('serving');
  }

  /** Answers a request from a peer. */
  answer(from: PeerSender, req: PeerRequest): Promise<PeerResponse> {
    return this.components.coordination.handlePeerRequest(from, req);
  }

  /**
   * Drains the host: refuses new requests, waits for those in flight, leaves the group and stops.
   *
   * @returns A promise that resolves when the host has stopped.
   */
  async drain(): Promise<void> {
    if (this.state !== 'serving') return;
    await this.beginDrain();
    await this.finishDrain(this.options.drainGraceMs);
  }

  /** Announces that this host is leaving; forwarded requests are still accepted. */
  async beginDrain(): Promise<void> {
    this.enterState('draining');
    await this.components.coordination.beginLeaving();
  }

  /**
   * Refuses all new requests, waits for those in flight, leaves the group and stops.
   *
   * @param graceMs - Longest wait for requests in flight, in milliseconds.
   * @returns A promise that resolves when the host has stopped.
   */
  async finishDrain(graceMs: Millis): Promise<void> {
    this.refuseNew();
    const grace = sleep(this.options.clock, graceMs, this.stopController.signal);
    await Promise.race([this.untilServed(), grace]);
    await this.leave();
  }

  /** Refuses all new requests from now on. */
  refuseNew(): void {
    this.closed = true;
  }

  /** Waits until no request is in flight, and the outcomes of those that must not repeat are stored. */
  async untilServed(): Promise<void> {
    const { coordination, inFlight } = this.components;
    await inFlight.waitUntilIdle();
    await coordination.claims?.whenDrained();
  }

  /** Leaves the group and stops. */
  async leave(): Promise<void> {
    await this.components.coordination.leave();
    this.stop();
  }

  /**
   * Ends the requests that are still in flight before the process does: an answer that has begun breaks off, and a
   * request that waits is refused, which its caller may send again.
   *
   * @returns The number of requests that were in flight.
   */
  async cutOff(): Promise<number> {
    const { inFlight } = this.components;
    const count = inFlight.size();
    inFlight.abortOwn(hostStopping());
    await Promise.race([inFlight.waitUntilIdle(), sleep(this.options.clock, CUT_OFF_MS)]);
    return count;
  }

  /** Stops all background tasks immediately. */
  stop(): void {
    this.enterState('stopped');
    this.stopController.abort();
    this.components.coordination.stop();
    this.components.reach.stop();
  }

  /** Gets the lifecycle state. */
  getState(): HostState {
    return this.state;
  }

  /** Gets the id of the host. */
  getId(): HostId {
    return this.options.identity.host;
  }

  /** Gets the models whose pools this host currently coordinates. */
  getCoordinatedModels(): readonly ModelId[] {
    return this.components.coordination.getCoordinatedModels();
  }

  /** Gets the version of the configuration in force; 0 before there is one. */
  configVersion(): number {
    return this.components.coordination.config.state().version;
  }

  /** Gets a summary of the state. */
  status(): HostStatus {
    const { identity } = this.options;
    return {
      host: identity.host,
      zone: identity.zone,
      program: VERSION,
      state: this.state,
      configVersion: this.configVersion(),
      configConfirmed: this.components.coordination.config.isConfirmed(),
      epoch: this.components.coordination.getEpoch(),
      inFlight: this.components.inFlight.size(),
    };
  }

  /** Gets the full state for the state dump, without secrets. */
  dump(): object {
    return {
      identity: this.options.identity,
      incarnation: this.options.incarnation,
      state: this.state,
      config: this.components.coordination.config.state(),
      inFlight: this.components.inFlight.size(),
      reservations: this.components.renewer.size(),
      ...this.components.coordination.dump(),
      crashes: this.components.coordination.crashGuard.dump(),
      serviceQueues: this.components.serviceQueues.dump(),
      fairShares: this.components.fairQueues.dump(),
      streamVersions: this.components.versions.dump(),
      buffers: this.options.buffers?.dump(),
      counters: this.options.metrics.getCounts(),
    };
  }

  private applyConfig({ version, config }: VersionedConfig): void {
    const { coordination, directory, reach, versions, keys, fairQueues } = this.components;
    const steps: readonly (() => void)[] = [
      () => directory.reconfigure(config),
      () => reach.refresh(),
      () => versions.recordVersions(),
      () => keys.update(config),
      () => fairQueues.reconfigure(config),
      () => coordination.rates.setTeams(config.teams),
      () => coordination.admission.slowStart.setBounds(slowStartBounds(config)),
      () => coordination.placer.refresh(),
      () => this.components.serviceQueues.refresh(),
    ];
    steps.forEach((step) => contain('host.configure', step));
    const ended = this.components.coordination.abortsOnKeyWithdrawal ? this.abortWithdrawn() : 0;
    this.options.metrics.count('config.changed');
    log('config_in_force', { version, ended });
  }

  private applyGroupChange(): void {
    this.components.coordination.placer.refresh();
    this.components.serviceQueues.refresh();
  }

  private abortWithdrawn(): number {
    return this.components.inFlight.abortWithdrawn(
      (digest, team) => this.components.keys.isActive(digest, team),
      notRun('key_withdrawn', 'The API key was withdrawn during the request.'),
    );
  }

  private enterState(state: HostState): void {
    if (this.state === state) return;
    this.state = state;
    log('state', { host: this.options.identity.host, state });
  }
}

function hostStopping(): Refusal {
  const refusal = notRun('host_draining', 'This host has stopped.', STOPPED_RETRY_MS);
  return { ...refusal, cause: 'host_stopping' };
}
