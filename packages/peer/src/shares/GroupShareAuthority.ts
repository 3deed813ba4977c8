import type { TeamId } from '@camphorvane/core';
import {
  type GroupRecord,
  memberKey,
  type PastEpoch,
  type RecordMember,
  chooseCoordinator,
  type CoordinatorContext,
} from '@camphorvane/group';
import type { ShareAuthority, ShareMember } from './ShareAuthority.ts';

/** The part of the group membership that team rates depend on. */
export interface MembershipSource {
  /** Gets the newest group record known to this host. */
  record(): GroupRecord | undefined;
  mayAct(): boolean;
  mayCoordinate(key: string): boolean;
}

/** Gets the key under which a team's coordinator is chosen. */
export function teamCoordinatorKey(team: TeamId): string {
  return `team:${team}`;
}

/** Derives the authority of this host over team rates from the group's membership. */
export class GroupShareAuthority implements ShareAuthority {
  private readonly source: MembershipSource;

  private readonly selfKey: string;

  private coordinatorKeys = new Map<TeamId, string | undefined>();

  private lastRecord: GroupRecord | undefined;

  /** All incarnations that have been members of the group; undefined where some may be unknown. */
  private memberHistory: ReadonlySet<string> | undefined;

  /**
   * @param source - The membership of this host's group.
   * @param selfKey - Member key of this incarnation of this host.
   */
  constructor(source: MembershipSource, selfKey: string) {
    this.source = source;
    this.selfKey = selfKey;
  }

  self(): string {
    return this.selfKey;
  }

  epoch(): number {
    return this.record()?.epoch ?? 0;
  }

  members(): readonly ShareMember[] {
    return (this.record()?.members ?? []).map((member) => ({
      key: memberKey(member),
      address: { host: member.host, address: member.peerAddress },
    }));
  }

  coordinatorOf(team: TeamId): string | undefined {
    const record = this.record();
    if (record === undefined) return undefined;
    if (!this.coordinatorKeys.has(team)) {
      const coordinator = chooseCoordinator(teamCoordinatorKey(team), record.members);
      this.coordinatorKeys.set(team, coordinator && memberKey(coordinator));
    }
    return this.coordinatorKeys.get(team);
  }

  mayAct(): boolean {
    return this.source.mayAct();
  }

  isMemberThroughout(since: number): boolean {
    const record = this.record();
    if (record === undefined) return false;
    const isNamed = (members: readonly RecordMember[]): boolean =>
      members.some((member) => memberKey(member) === this.selfKey);
    return this.everyEpochSince(record, since, isNamed) && isNamed(record.members);
  }

  getCoordinatorContext(): CoordinatorContext {
    const record = this.record();
    const members = record?.members ?? [];
    const staying = members.filter((member) => !member.draining).map(memberKey);
    return {
      epoch: record?.epoch ?? 0,
      members: staying,
      possibleHolders: record && this.mayHold(record),
      isHistoryComplete: this.isWholeHistory(members),
      isFirstEpoch: record?.epoch === 1,
      mayCoordinate: (team) => this.source.mayCoordinate(teamCoordinatorKey(team)),
      isCoordinatorThroughout: (team, since) => this.coordinatedThroughout(team, since),
    };
  }

  private coordinatedThroughout(team: TeamId, since: number): boolean {
    const record = this.record();
    if (record === undefined || this.coordinatorOf(team) !== this.selfKey) return false;
    return this.everyEpochSince(record, since, (members) => {
      const coordinator = chooseCoordinator(teamCoordinatorKey(team), members);
      return coordinator !== undefined && memberKey(coordinator) === this.selfKey;
    });
  }

  /**
   * Checks all epochs between `since` and the newest; false where the record no longer lists one of
   * them.
   */
  private everyEpochSince(
    record: GroupRecord,
    since: number,
    check: (members: PastEpoch['members']) => boolean,
  ): boolean {
    const between = record.lineage.filter((past) => past.epoch > since);
    if (between.length !== Math.max(0, record.epoch - 1 - since)) return false;
    return between.every((past) => check(past.members));
  }

  /**
   * Gets the members that may still use a grant of an earlier coordinator. A host of an epoch under
   * which no host may act any more uses none, since it checks its permission before each admission.
   */
  private mayHold(record: GroupRecord): readonly string[] {
    const past = record.lineage
      .flatMap((epoch) => epoch.members.filter((member) => !member.ended))
      .map(memberKey);
    return [...new Set([...record.members.map(memberKey), ...past])];
  }

  private isWholeHistory(members: readonly RecordMember[]): boolean {
    if (this.memberHistory === undefined) return false;
    const present = new Set(members.map(memberKey));
    return [...this.memberHistory].every((key) => present.has(key));
  }

  private record(): GroupRecord | undefined {
    const record = this.source.record();
    if (record === undefined || record.epoch === this.lastRecord?.epoch) return record;
    this.coordinatorKeys = new Map();
    this.memberHistory = this.extendHistory(record);
    this.lastRecord = record;
    return record;
  }

  /** Adds a record's members to the member history; undefined where an epoch was missed. */
  private extendHistory(record: GroupRecord): ReadonlySet<string> | undefined {
    const since = this.lastRecord?.epoch ?? 0;
    if (!this.everyEpochSince(record, since, () => true)) return undefined;
    if (this.lastRecord !== undefined && this.memberHistory === undefined) return undefined;
    const past = record.lineage.flatMap((epoch) => epoch.members);
    const names = [...past, ...record.members].map(memberKey);
    return new Set([...(this.memberHistory ?? []), ...names]);
  }
}
