import type { Clock, HostId, Millis } from '@camphorvane/core';
import { sleep } from '@camphorvane/core';
import type { GroupRunner, PeerAddress } from '@camphorvane/peer';
import type { GroupGate, FleetMember, Unsubscribe } from './ports.ts';

/** Milliseconds between two looks for the permission to act that somebody waits for. */
const WAIT_STEP_MS: Millis = 20;

/** Shows a running group membership to the parts that serve. */
export class GroupAdapter implements GroupGate {
  private readonly runner: GroupRunner;

  private readonly self: FleetMember;

  private readonly clock: Clock;

  /**
   * @param runner - The membership.
   * @param self - This host, which is named even before it has joined.
   * @param clock - Times waits.
   */
  constructor(runner: GroupRunner, self: FleetMember, clock: Clock) {
    this.runner = runner;
    this.self = self;
    this.clock = clock;
  }

  /** Gets all members, this host included. */
  members(): readonly FleetMember[] {
    const mates = this.runner.view().members.map((member) => ({
      host: member.host,
      zone: member.zone,
      callerAddress: member.callerAddress,
      peerAddress: member.peerAddress,
      leaving: member.draining,
      serving: true,
    }));
    return mates.some((mate) => mate.host === this.self.host) ? mates : [...mates, this.self];
  }

  /** Gets where the coordinator of a key listens, if this host knows. */
  stewardOf(key: string): PeerAddress | undefined {
    const host = this.runner.stewardOf(key);
    return host === undefined ? undefined : this.addressOf(host);
  }

  /** Tells whether this host may coordinate a key now. */
  maySteward(key: string): boolean {
    return this.runner.maySteward(key);
  }

  /** Tells whether this host may use what it was given. */
  mayAct(): boolean {
    return this.runner.mayAct();
  }

  /** Waits so many milliseconds at most until this host may act. */
  async waitToAct(waitMs: Millis): Promise<void> {
    const until = this.clock.now() + waitMs;
    while (!this.mayAct() && this.clock.now() < until) await sleep(this.clock, WAIT_STEP_MS);
  }

  /** Calls back after each change of the epoch and of the permission to act. */
  onChange(changed: () => void): Unsubscribe {
    return this.runner.onChange(changed);
  }

  private addressOf(host: HostId): PeerAddress | undefined {
    const mate = this.members().find((one) => one.host === host);
    return mate === undefined ? undefined : { host, address: mate.peerAddress };
  }
}
