import type { Clock, HostId, Millis } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { GroupRunner, PeerAddress } from '@camphorvane/peer';
import type { GroupGate, FleetMember, Unsubscribe } from './ports.ts';

/** Milliseconds between checks while a caller waits for the permission to act. */
const POLL_INTERVAL_MS: Millis = 20;

/** Adapts the group membership protocol to the {@link GroupGate} that request handling uses. */
export class GroupAdapter implements GroupGate {
  private readonly runner: GroupRunner;

  private readonly self: FleetMember;

  private readonly clock: Clock;

  /**
   * @param runner - Runs the membership protocol.
   * @param self - This host, which is listed as a member even before it has joined.
   * @param clock - Clock for waits.
   */
  constructor(runner: GroupRunner, self: FleetMember, clock: Clock) {
    this.runner = runner;
    this.self = self;
    this.clock = clock;
  }

  /** Gets all members of the group, including this host. */
  members(): readonly FleetMember[] {
    const members = this.runner.view().members.map((member) => ({
      host: member.host,
      zone: member.zone,
      callerAddress: member.callerAddress,
      peerAddress: member.peerAddress,
      leaving: member.draining,
      serving: true,
      cutOff: false,
    }));
    return members.some((member) => member.host === this.self.host)
      ? members
      : [...members, this.self];
  }

  /** Gets the peer address of the coordinator of a key, if known. */
  coordinatorOf(key: string): PeerAddress | undefined {
    const host = this.runner.coordinatorOf(key);
    return host === undefined ? undefined : this.addressOf(host);
  }

  /** Checks whether this host may coordinate a key now. */
  mayCoordinate(key: string): boolean {
    return this.runner.mayCoordinate(key);
  }

  /** Checks whether this host may use the capacity and rates granted to it. */
  mayAct(): boolean {
    return this.runner.mayAct();
  }

  /**
   * Waits until this host may act.
   *
   * @param waitMs - Longest wait, in milliseconds.
   */
  async waitToAct(waitMs: Millis): Promise<void> {
    const until = this.clock.now() + waitMs;
    while (!this.mayAct() && this.clock.now() < until) await sleep(this.clock, POLL_INTERVAL_MS);
  }

  /** Subscribes to changes of the epoch and of the permission to act. */
  onChange(changed: () => void): Unsubscribe {
    return this.runner.onChange(changed);
  }

  private addressOf(host: HostId): PeerAddress | undefined {
    const member = this.members().find((candidate) => candidate.host === host);
    return member === undefined ? undefined : { host, address: member.peerAddress };
  }
}
