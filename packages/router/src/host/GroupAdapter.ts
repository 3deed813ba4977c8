import type { HostId } from '@camphorvane/core';
import type { GroupRunner, PeerAddress } from '@camphorvane/peer';
import type { GroupGate, GroupMate, Unsubscribe } from './ports.ts';

/** Shows a running group membership to the parts that serve. */
export class GroupAdapter implements GroupGate {
  private readonly runner: GroupRunner;

  private readonly self: GroupMate;

  /**
   * @param runner - The membership.
   * @param self - This host, which is named even before it has joined.
   */
  constructor(runner: GroupRunner, self: GroupMate) {
    this.runner = runner;
    this.self = self;
  }

  /** Gets all members, this host included. */
  members(): readonly GroupMate[] {
    const mates = this.runner.view().members.map((member) => ({
      host: member.host,
      zone: member.zone,
      callerAddress: member.callerAddress,
      peerAddress: member.peerAddress,
      leaving: member.draining,
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

  /** Calls back after each change of the epoch and of the permission to act. */
  onChange(changed: () => void): Unsubscribe {
    return this.runner.onChange(changed);
  }

  private addressOf(host: HostId): PeerAddress | undefined {
    const mate = this.members().find((one) => one.host === host);
    return mate === undefined ? undefined : { host, address: mate.peerAddress };
  }
}
