import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { RandomSource, sleep, VirtualClock, type HostId, type Millis } from '@camphorvane/core';
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  type MemberIdentity,
  type MembershipSettings,
} from '@camphorvane/group';
import {
  GroupRunner,
  type PeerAddress,
  type PeerError,
  type PeerLink,
  type PeerRequest,
  type PeerResponse,
} from '../../src/index.ts';
import { FakePlatform } from './FakePlatform.ts';
import { HostClock } from './HostClock.ts';

export const SETTINGS: MembershipSettings = DEFAULT_MEMBERSHIP_SETTINGS;

const ZONES = ['north', 'middle', 'south'];

/** One-way network latency between two hosts. */
const LATENCY_MS = 1;

/** Keys whose coordinators are checked after each time step. */
export const KEYS = Array.from({ length: 12 }, (_, index) => `team-${index}`);

/** A host that runs in a test. */
export interface RunningHost {
  readonly self: MemberIdentity;
  readonly clock: HostClock;
  readonly runner: GroupRunner;
  crashed: boolean;
}

/** A simulated group of hosts, with a platform and a network into which a test injects failures. */
export class SimulatedGroup {
  readonly clock = new VirtualClock(1_000);

  readonly platform = new FakePlatform();

  readonly hosts = new Map<HostId, RunningHost>();

  /** All processes ever started, since a paused one must not act after its host restarted. */
  readonly processes: RunningHost[] = [];

  /** Tells whether the network between two endpoints, a host or `platform` each, is partitioned. */
  isPartitioned: (from: string, to: string) => boolean = () => false;

  messages = 0;

  /** Total size of all messages as JSON, without transport framing. */
  bytes = 0;

  private readonly settings: MembershipSettings;

  private starts = 0;

  constructor(settings: Partial<MembershipSettings> = {}) {
    this.settings = { ...SETTINGS, ...settings };
  }

  /** Starts a host, or restarts it as a new incarnation. */
  start(id: HostId, rate = 1): RunningHost {
    this.starts += 1;
    const number = Number(id.replace(/\D/g, ''));
    const self: MemberIdentity = {
      host: id,
      incarnation: `i${this.starts}`,
      peerAddress: `10.0.0.${number}:7000`,
      callerAddress: `10.0.0.${number}:8000`,
      zone: ZONES[number % ZONES.length] ?? 'north',
    };
    const clock = new HostClock(this.clock, rate);
    const runner = new GroupRunner({
      group: 'g0',
      self,
      settings: this.settings,
      clock,
      random: new RandomSource(this.starts),
      store: this.platform.storeFor(() => this.isPartitioned(id, 'platform')),
      link: this.linkOf(id),
    });
    const host = { self, clock, runner, crashed: false };
    this.hosts.set(id, host);
    this.processes.push(host);
    this.list(id, 'live');
    runner.start();
    return host;
  }

  /** Starts several hosts and waits until they have formed one group. */
  async startGroup(count: number): Promise<readonly HostId[]> {
    const ids = Array.from({ length: count }, (_, index) => `h${index + 1}`);
    ids.forEach((id) => this.start(id));
    await this.run(15_000);
    return ids;
  }

  host(id: HostId): RunningHost {
    const host = this.hosts.get(id);
    if (host === undefined) throw new Error(`no host ${id}`);
    return host;
  }

  runner(id: HostId): GroupRunner {
    return this.host(id).runner;
  }

  /** Crashes a host's process. */
  crash(id: HostId): void {
    const host = this.host(id);
    host.crashed = true;
    host.runner.stop();
  }

  /** Sets the state of a host in the platform's host list. */
  list(id: HostId, state: 'live' | 'leaving' | 'gone'): void {
    const rest = this.platform.hosts.filter((entry) => entry.id !== id);
    const { zone, callerAddress, peerAddress } = this.host(id).self;
    const entry = { id, zone, callerAddress, peerAddress };
    this.platform.hosts = state === 'gone' ? rest : [...rest, { ...entry, state }];
  }

  /** Advances the clock, and checks at each step that no key has two coordinators. */
  async run(span: Millis, step: Millis = 50): Promise<void> {
    const until = this.clock.now() + span;
    while (this.clock.now() < until) {
      await this.clock.advance(step);
      KEYS.forEach((key) => this.checkKey(key));
    }
  }

  /** Gets the hosts that may act as a key's coordinator now. */
  coordinatorsOf(key: string): readonly HostId[] {
    return this.processes
      .filter((host) => !host.crashed && !host.clock.paused && host.runner.mayCoordinate(key))
      .map((host) => host.self.host);
  }

  /** Gets the sorted ids of the members in a host's view. */
  membersAt(id: HostId): readonly HostId[] {
    return [
      ...this.runner(id)
        .view()
        .members.map((member) => member.host),
    ].sort();
  }

  private checkKey(key: string): void {
    const coordinators = this.coordinatorsOf(key);
    if (coordinators.length > 1) {
      throw new Error(`${key} has coordinators ${coordinators.join(', ')} at ${this.clock.now()}`);
    }
  }

  private linkOf(from: HostId): PeerLink {
    return {
      ask: (to, req, timeoutMs) => new ResultAsync(this.carry(from, to, req, timeoutMs)),
    };
  }

  private async carry(from: HostId, to: PeerAddress, req: PeerRequest, timeoutMs: Millis) {
    this.messages += 1;
    this.bytes += JSON.stringify(req).length;
    const target = this.hosts.get(to.host);
    const isLost = (): boolean => this.isPartitioned(from, to.host) || target?.crashed !== false;
    await sleep(this.clock, LATENCY_MS);
    if (isLost() || target === undefined) return this.timeout(timeoutMs);
    const answer = await Promise.race([
      new Promise<PeerResponse | undefined>((resolve) => {
        target.clock.whenAwake(() => {
          const isMembership = req.type === 'membership' && !target.crashed;
          const message = isMembership ? target.runner.answerHeartbeat(req.message) : undefined;
          resolve(message === undefined ? undefined : { type: 'membership', message });
        });
      }),
      sleep(this.clock, timeoutMs).then(() => undefined),
    ]);
    await sleep(this.clock, LATENCY_MS);
    if (answer === undefined || isLost()) return this.timeout(timeoutMs);
    this.bytes += JSON.stringify(answer).length;
    const back = await this.onceAwake(from, answer);
    return okAsync<PeerResponse, PeerError>(back);
  }

  private onceAwake<T>(id: HostId, value: T): Promise<T> {
    return new Promise((resolve) => {
      this.host(id).clock.whenAwake(() => resolve(value));
    });
  }

  private async timeout(timeoutMs: Millis) {
    await sleep(this.clock, timeoutMs);
    return errAsync<PeerResponse, PeerError>({ type: 'timeout', message: 'no answer' });
  }
}
