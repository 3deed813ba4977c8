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

/** The part of a running membership that rates rest on. */
export interface GroupSource {
  /** Gets the newest record known. */
  record(): GroupRecord | undefined;
  mayAct(): boolean;
  maySteward(key: string): boolean;
}

/** Names a team among all that has a steward. */
export function teamKey(team: TeamId): string {
  return `team:${team}`;
}

/** Gives rates what they need of the group's membership. */
export class GroupAuthority implements ShareAuthority {
  private readonly source: GroupSource;

  private readonly selfKey: string;

  private stewards = new Map<TeamId, string | undefined>();

  private known: GroupRecord | undefined;

  /** All incarnations that ever were in the group; undefined where some may be unknown. */
  private everMembers: ReadonlySet<string> | undefined;

  /**
   * @param source - The running membership.
   * @param selfKey - Key of this start of this host.
   */
  constructor(source: GroupSource, selfKey: string) {
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

  stewardOf(team: TeamId): string | undefined {
    const record = this.record();
    if (record === undefined) return undefined;
    if (!this.stewards.has(team)) {
      const steward = chooseCoordinator(teamKey(team), record.members);
      this.stewards.set(team, steward && memberKey(steward));
    }
    return this.stewards.get(team);
  }

  mayAct(): boolean {
    return this.source.mayAct();
  }

  memberThroughout(since: number): boolean {
    const record = this.record();
    if (record === undefined) return false;
    const isNamed = (members: readonly RecordMember[]): boolean =>
      members.some((member) => memberKey(member) === this.selfKey);
    return this.coveredSince(record, since, isNamed) && isNamed(record.members);
  }

  context(): CoordinatorContext {
    const record = this.record();
    const members = record?.members ?? [];
    const staying = members.filter((member) => !member.draining).map(memberKey);
    return {
      epoch: record?.epoch ?? 0,
      members: staying,
      possibleHolders: record && this.mayHold(record),
      isHistoryComplete: this.isWholeHistory(members),
      isFirstEpoch: record?.epoch === 1,
      mayCoordinate: (team) => this.source.maySteward(teamKey(team)),
      isCoordinatorThroughout: (team, since) => this.stewardThroughout(team, since),
    };
  }

  private stewardThroughout(team: TeamId, since: number): boolean {
    const record = this.record();
    if (record === undefined || this.stewardOf(team) !== this.selfKey) return false;
    return this.coveredSince(record, since, (members) => {
      const steward = chooseCoordinator(teamKey(team), members);
      return steward !== undefined && memberKey(steward) === this.selfKey;
    });
  }

  /** Checks all epochs between one and the newest; false where the record no longer names one. */
  private coveredSince(
    record: GroupRecord,
    since: number,
    check: (members: PastEpoch['members']) => boolean,
  ): boolean {
    const between = record.lineage.filter((past) => past.epoch > since);
    if (between.length !== Math.max(0, record.epoch - 1 - since)) return false;
    return between.every((past) => check(past.members));
  }

  /**
   * Gets everybody who may still use a grant of an earlier steward. A host of an epoch that nobody
   * can act under any more uses none, since it checks its permission before each admission.
   */
  private mayHold(record: GroupRecord): readonly string[] {
    const past = record.lineage
      .flatMap((epoch) => epoch.members.filter((member) => !member.ended))
      .map(memberKey);
    return [...new Set([...record.members.map(memberKey), ...past])];
  }

  private isWholeHistory(members: readonly RecordMember[]): boolean {
    if (this.everMembers === undefined) return false;
    const present = new Set(members.map(memberKey));
    return [...this.everMembers].every((key) => present.has(key));
  }

  private record(): GroupRecord | undefined {
    const record = this.source.record();
    if (record === undefined || record.epoch === this.known?.epoch) return record;
    this.stewards = new Map();
    this.everMembers = this.historyWith(record);
    this.known = record;
    return record;
  }

  /** Follows who ever was a member, as long as no epoch is missed. */
  private historyWith(record: GroupRecord): ReadonlySet<string> | undefined {
    const since = this.known?.epoch ?? 0;
    if (!this.coveredSince(record, since, () => true)) return undefined;
    if (this.known !== undefined && this.everMembers === undefined) return undefined;
    const past = record.lineage.flatMap((epoch) => epoch.members);
    const names = [...past, ...record.members].map(memberKey);
    return new Set([...(this.everMembers ?? []), ...names]);
  }
}
