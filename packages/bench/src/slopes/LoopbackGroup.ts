import { type Clock, RandomSource, sleep, SystemClock, type TeamConfig } from '@camphorvane/core';
import { DEFAULT_MEMBERSHIP_SETTINGS, memberKey, type MemberIdentity } from '@camphorvane/group';
import {
  FleetCredential,
  GroupShareAuthority,
  GroupRunner,
  GrpcPeerLink,
  GrpcPeerServer,
  PEER_PROTOCOL,
  type PeerHandler,
  type PeerRequest,
  type PeerResponse,
  TeamRates,
} from '@camphorvane/peer';
import { MemoryObjectStore } from '@camphorvane/stand-ins';

/** The parts of one host that talk to other hosts. */
interface LoopbackHost {
  readonly server: GrpcPeerServer;
  readonly link: GrpcPeerLink;
  readonly runner: GroupRunner;
  readonly rates: TeamRates;
  readonly stopping: AbortController;
}

/** A group of hosts in this process that talk over real gRPC on loopback. */
export class LoopbackGroup {
  /** Messages that arrived at any host. */
  messages = 0;

  private readonly clock: Clock = new SystemClock();

  private readonly store = new MemoryObjectStore(this.clock);

  private readonly credential = new FleetCredential('measured fleet');

  private hosts: readonly LoopbackHost[] = [];

  /** Starts a group, and waits until it has formed. */
  static async start(size: number, teams: readonly TeamConfig[]): Promise<LoopbackGroup> {
    const group = new LoopbackGroup();
    const indices = Array.from({ length: size }, (_, i) => i);
    group.hosts = await Promise.all(indices.map((i) => group.startHost(i)));
    group.hosts.forEach(({ rates }) => rates.setTeams(teams));
    await group.formed(size);
    return group;
  }

  /** Gets the hosts' rates. */
  get rates(): readonly TeamRates[] {
    return this.hosts.map((host) => host.rates);
  }

  /** Gets how many calls the hosts asked of the platform for membership. */
  get platformCalls(): number {
    return this.hosts.reduce((sum, host) => sum + host.runner.dump().platformCalls, 0);
  }

  /** Ends all hosts and closes their connections. */
  async stop(): Promise<void> {
    this.hosts.forEach((host) => {
      host.stopping.abort();
      host.rates.stop();
      host.runner.stop();
      host.link.close();
    });
    await Promise.all(this.hosts.map((host) => host.server.stop()));
  }

  private async formed(size: number): Promise<void> {
    const isFormed = (): boolean =>
      this.hosts.every((host) => host.runner.view().members.length === size);
    while (!isFormed()) await sleep(this.clock, 100);
  }

  private async startHost(index: number): Promise<LoopbackHost> {
    const { clock, credential, store } = this;
    const id = `h${index}`;
    const parts: { host?: LoopbackHost } = {};
    const handler: PeerHandler = {
      answer: (from, req) => {
        this.messages += 1;
        return Promise.resolve(parts.host ? answer(parts.host, from, req) : { type: 'ok' });
      },
    };
    const peer = { host: id, incarnation: 'i1', protocol: PEER_PROTOCOL };
    const server = new GrpcPeerServer({ clock, self: peer, credential, handler });
    const port = (await server.start('127.0.0.1:0')).match(
      (bound) => bound,
      (error) => {
        throw error;
      },
    );
    const link = new GrpcPeerLink({ clock, self: peer, credential });
    const peerAddress = `127.0.0.1:${port}`;
    const self: MemberIdentity = {
      ...{ host: id, incarnation: 'i1', zone: `z${index % 3}` },
      ...{ peerAddress, callerAddress: peerAddress },
    };
    const random = new RandomSource(index);
    const settings = {
      ...DEFAULT_MEMBERSHIP_SETTINGS,
      urgentHostListIntervalMs: 300,
      writeStaggerMs: 100,
    };
    const runner = new GroupRunner({ group: 'g', self, settings, clock, random, store, link });
    const authority = new GroupShareAuthority(runner, memberKey(self));
    const rates = new TeamRates({ clock, link, authority });
    const stopping = new AbortController();
    parts.host = { server, link, runner, rates, stopping };
    await store.register({ id, zone: self.zone, ...addresses(peerAddress), state: 'live' });
    runner.start();
    rates.start();
    return parts.host;
  }
}

function addresses(address: string): { callerAddress: string; peerAddress: string } {
  return { callerAddress: address, peerAddress: address };
}

function answer(
  host: LoopbackHost,
  from: Parameters<PeerHandler['answer']>[0],
  req: PeerRequest,
): PeerResponse {
  if (req.type === 'share_sync') return host.rates.handleSync(from, req.message);
  if (req.type === 'share_nudge') return host.rates.handleNudge(from, req.teams);
  if (req.type === 'share_borrow') return host.rates.handleBorrow(req.team, req.tokens);
  if (req.type !== 'membership') return { type: 'ok' };
  const message = host.runner.answerHeartbeat(req.message);
  return message === undefined ? { type: 'ok' } : { type: 'membership', message };
}
