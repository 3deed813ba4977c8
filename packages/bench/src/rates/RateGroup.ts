import {
  type Clock,
  type HostId,
  type Millis,
  RandomSource,
  sleep,
  type TeamConfig,
  type VirtualClock,
} from '@camphorvane/core';
import { DEFAULT_MEMBERSHIP_SETTINGS, memberKey, type MemberIdentity } from '@camphorvane/group';
import {
  GroupShareAuthority,
  GroupRunner,
  type PeerHandler,
  type PeerResponse,
  teamCoordinatorKey,
  TeamRates,
} from '@camphorvane/peer';
import { MemoryNetwork, MemoryObjectStore } from '@camphorvane/stand-ins';

/** One way between two hosts, in milliseconds (brief: zones about a millisecond apart). */
const HOP_MS = 1;

/** How often a host renews its entry in the host list, in milliseconds. */
const ANNOUNCE_MS: Millis = 2000;

/** A host as far as rates concern it. */
interface RateHost {
  readonly id: HostId;
  readonly rates: TeamRates;
  readonly runner: GroupRunner;
  readonly stopping: AbortController;
}

/** Hosts with the real membership and rates, over a platform and links in memory. */
export class RateGroup {
  private readonly clock: VirtualClock;

  private readonly store: MemoryObjectStore;

  private readonly network: MemoryNetwork;

  private readonly hosts: readonly RateHost[];

  private readonly dead = new Set<HostId>();

  /**
   * @param clock - The time of the run.
   * @param size - Number of hosts.
   * @param teams - Teams in force from the start.
   * @param seed - Seed of all that is random in the hosts.
   */
  constructor(clock: VirtualClock, size: number, teams: readonly TeamConfig[], seed: number) {
    this.clock = clock;
    this.store = new MemoryObjectStore(clock);
    const net = { latencyMs: HOP_MS, loss: 0 };
    this.network = new MemoryNetwork(net, clock, new RandomSource(seed));
    this.hosts = Array.from({ length: size }, (_, i) => this.start(i, seed));
    this.hosts.forEach((host) => host.rates.setTeams(teams));
  }

  /** Gets the hosts that live. */
  get live(): readonly HostId[] {
    return this.hosts.map((host) => host.id).filter((id) => !this.dead.has(id));
  }

  /** Gets a host's rates. */
  ratesOf(id: HostId): TeamRates {
    return this.host(id).rates;
  }

  /** Gets the steward of a team, as the first living host knows it. */
  stewardOf(team: string): HostId | undefined {
    const [first] = this.live;
    return first === undefined
      ? undefined
      : this.host(first).runner.coordinatorOf(teamCoordinatorKey(team));
  }

  /** Gets how many members the group's record names. */
  get memberCount(): number {
    const [first] = this.live;
    return first === undefined ? 0 : this.host(first).runner.view().members.length;
  }

  /** Ends a host without a word. */
  kill(id: HostId): void {
    const host = this.host(id);
    this.dead.add(id);
    this.network.detach(id);
    host.rates.stop();
    host.runner.stop();
    host.stopping.abort();
  }

  /** Ends all hosts. */
  stop(): void {
    this.live.forEach((id) => this.kill(id));
  }

  private host(id: HostId): RateHost {
    const host = this.hosts.find((one) => one.id === id);
    if (host === undefined) throw new Error(`no host ${id}`);
    return host;
  }

  private start(index: number, seed: number): RateHost {
    const { clock, store } = this;
    const id = `h${index}`;
    const self: MemberIdentity = {
      host: id,
      incarnation: 'i1',
      peerAddress: `10.0.0.${index}:7000`,
      callerAddress: `10.0.0.${index}:8000`,
      zone: `z${index % 3}`,
    };
    const link = this.network.link({ ...self, protocol: 1 }, clock);
    const random = new RandomSource(seed * 1000 + index);
    const settings = DEFAULT_MEMBERSHIP_SETTINGS;
    const base = { group: 'g', self, settings, clock, random, store, link };
    const runner = new GroupRunner(base);
    const authority = new GroupShareAuthority(runner, memberKey(self));
    const rates = new TeamRates({ clock, link, authority });
    const stopping = new AbortController();
    this.network.attach(id, handlerOf(runner, rates));
    void this.announce(self, stopping.signal, clock);
    runner.start();
    rates.start();
    return { id, rates, runner, stopping };
  }

  private async announce(self: MemberIdentity, signal: AbortSignal, clock: Clock): Promise<void> {
    const { host: id, zone, callerAddress, peerAddress } = self;
    while (!signal.aborted) {
      await this.store.register({ id, zone, callerAddress, peerAddress, state: 'live' });
      await sleep(clock, ANNOUNCE_MS, signal);
    }
  }
}

function handlerOf(runner: GroupRunner, rates: TeamRates): PeerHandler {
  return {
    answer: (from, req) => {
      const answer = (): PeerResponse => {
        if (req.type === 'share_sync') return rates.handleSync(from, req.message);
        if (req.type === 'share_borrow') return rates.handleBorrow(req.team, req.tokens);
        if (req.type === 'share_nudge') return rates.handleNudge(from, req.teams);
        if (req.type !== 'membership') return { type: 'ok' };
        const message = runner.answerHeartbeat(req.message);
        return message === undefined ? { type: 'ok' } : { type: 'membership', message };
      };
      return Promise.resolve(answer());
    },
  };
}
