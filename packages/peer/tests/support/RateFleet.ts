import { rendezvousFirst, sleep, type TeamConfig, VirtualClock } from '@camphorvane/core';
import {
  type PeerError,
  type PeerHandler,
  type PeerLink,
  type PeerRequest,
  type PeerResponse,
  type PeerSender,
  type ShareAuthority,
  type ShareMember,
  TeamRates,
} from '@camphorvane/peer';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

/** One-way network latency between two hosts. */
const HOP_MS = 1;

/** One epoch of a test group. */
interface TestEpoch {
  readonly members: readonly string[];
}

/** A host of a test fleet. */
export interface RateHost {
  readonly name: string;
  readonly rates: TeamRates;
  alive: boolean;
}

/**
 * Hosts with the production {@link TeamRates} over in-memory links. The test sets the group's epochs;
 * a new coordinator may act from `settledAt` on, as the membership would allow it.
 */
export class RateFleet {
  readonly clock = new VirtualClock();

  readonly hosts: RateHost[] = [];

  messages = 0;

  private epochs: TestEpoch[] = [];

  private settledAt = 0;

  private teams: readonly TeamConfig[] = [];

  /** Starts a group of hosts in epoch 1. */
  static start(names: readonly string[], teams: readonly TeamConfig[]): RateFleet {
    const fleet = new RateFleet();
    fleet.teams = teams;
    fleet.epochs = [{ members: names }];
    names.forEach((name) => fleet.add(name));
    return fleet;
  }

  /** Gets a host. */
  host(name: string): RateHost {
    const host = this.hosts.find((one) => one.name === name);
    if (host === undefined) throw new Error(`no host ${name}`);
    return host;
  }

  /** Applies a team configuration on all hosts. */
  setTeams(teams: readonly TeamConfig[]): void {
    this.teams = teams;
    this.hosts.forEach((host) => host.rates.setTeams(teams));
  }

  /** Crashes a host. */
  crash(name: string): void {
    const host = this.host(name);
    host.alive = false;
    host.rates.stop();
  }

  /** Starts the next epoch; coordinators that are new in it may act after a wait. */
  startEpoch(members: readonly string[], waitMs: number): void {
    this.epochs.push({ members });
    this.settledAt = this.clock.now() + waitMs;
    members
      .filter((name) => !this.hosts.some((host) => host.name === name))
      .forEach((name) => this.add(name));
  }

  /** Gets the coordinator of a team under an epoch, by default the newest. */
  coordinatorOf(id: string, epoch = this.epochs.length): string {
    return rendezvousFirst(id, this.epochs[epoch - 1]?.members ?? []) ?? '';
  }

  private add(name: string): void {
    const options = { clock: this.clock, link: this.linkOf(name), authority: this.authority(name) };
    const rates = new TeamRates(options);
    rates.setTeams(this.teams);
    rates.start();
    this.hosts.push({ name, rates, alive: true });
  }

  private members(): readonly ShareMember[] {
    const names = this.epochs.at(-1)?.members ?? [];
    return names.map((host) => ({ key: `${host}/1`, address: { host, address: host } }));
  }

  private authority(self: string): ShareAuthority {
    const isMember = (epoch: TestEpoch): boolean => epoch.members.includes(self);
    const throughout = (id: string, since: number): boolean =>
      this.epochs.every((_, i) => i + 1 <= since || this.coordinatorOf(id, i + 1) === self);
    return {
      self: () => `${self}/1`,
      epoch: () => this.epochs.length,
      members: () => this.members(),
      coordinatorOf: (id) => `${this.coordinatorOf(id)}/1`,
      mayAct: () => this.epochs.at(-1)?.members.includes(self) ?? false,
      isMemberThroughout: (since) => this.epochs.slice(since).every(isMember),
      getCoordinatorContext: () => ({
        epoch: this.epochs.length,
        members: this.members().map((member) => member.key),
        possibleHolders: this.mayHold(),
        isHistoryComplete: this.epochs.length === 1,
        isFirstEpoch: this.epochs.length === 1,
        mayCoordinate: (id) =>
          this.coordinatorOf(id) === self &&
          (this.clock.now() >= this.settledAt || throughout(id, this.epochs.length - 1)) &&
          this.epochs.at(-1)?.members.includes(self) === true,
        isCoordinatorThroughout: throughout,
      }),
    };
  }

  private mayHold(): readonly string[] {
    const recent = this.clock.now() < this.settledAt ? this.epochs : this.epochs.slice(-1);
    return [...new Set(recent.flatMap((epoch) => epoch.members))].map((name) => `${name}/1`);
  }

  private linkOf(from: string): PeerLink {
    return {
      ask: (to, req, timeoutMs) => new ResultAsync(this.carry(from, to.host, req, timeoutMs)),
    };
  }

  private async carry(
    from: string,
    to: string,
    req: PeerRequest,
    timeoutMs: number,
  ): Promise<Result<PeerResponse, PeerError>> {
    this.messages += 1;
    await sleep(this.clock, HOP_MS);
    if (!this.host(to).alive) {
      await sleep(this.clock, timeoutMs - HOP_MS);
      return err({ type: 'timeout', message: 'no answer' });
    }
    const sender = { host: from, incarnation: '1', protocol: 1 };
    const res = await this.handler(to).answer(sender, req);
    await sleep(this.clock, HOP_MS);
    return ok(res);
  }

  private handler(name: string): PeerHandler {
    const { rates } = this.host(name);
    return {
      answer: (from: PeerSender, req: PeerRequest) => {
        if (req.type === 'share_sync') return Promise.resolve(rates.handleSync(from, req.message));
        if (req.type === 'share_borrow') {
          return Promise.resolve(rates.handleBorrow(req.team, req.tokens));
        }
        if (req.type === 'share_nudge') return Promise.resolve(rates.handleNudge(from, req.teams));
        return Promise.resolve({ type: 'ok' });
      },
    };
  }
}

/** Creates the configuration of a team with a rate. */
export function team(id: string, tokensPerSecond: number, burstTokens: number): TeamConfig {
  return { id, rate: { tokensPerSecond, burstTokens }, keyDigests: [], models: [], weight: 1 };
}
