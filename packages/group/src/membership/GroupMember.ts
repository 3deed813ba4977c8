import type { HostId, Millis } from '@camphorvane/core';
import {
  getActExpiry,
  mayCoordinate,
  withPreviousEpochClosed,
  withConfirmation,
  withVouches,
} from './authority.ts';
import { createView, getCoordinator, type GroupView } from './GroupView.ts';
import {
  getTimedOutMembers,
  withEnded,
  withHello,
  withHostList,
  withoutStaleApplicants,
  withRecord,
  withReplacement,
  withPauseDetection,
  withWelcome,
} from './stateUpdates.ts';
import type { MemberEffect } from './MemberEffect.ts';
import { memberKey, type MemberIdentity } from './MemberIdentity.ts';
import type { MemberInput, ReadOutcome, WriteOutcome } from './MemberInput.ts';
import type { Hello, MemberIntent, Welcome } from './MembershipMessage.ts';
import {
  MEMBERSHIP_RULES,
  type MembershipRules,
  type MembershipSettings,
} from './MembershipSettings.ts';
import { hasEnded, initialState, getKnownEpoch, type MemberState } from './MemberState.ts';
import {
  getReadBackoffMs,
  firstRecord,
  isWriteDue,
  mayWrite,
  nextRecord,
  withChangeWanted,
} from './proposal.ts';

interface Stepped {
  readonly state: MemberState;
  readonly effects: readonly MemberEffect[];
}

/**
 * State machine of one host in its group's membership protocol, without I/O. Each step replaces the
 * state, an immutable value, so that the model checker can store it, compare it and branch from it.
 */
export class GroupMember {
  private current: MemberState;

  private readonly settings: MembershipSettings;

  private readonly rules: MembershipRules;

  /**
   * @param state - Initial state, such as {@link initialState}.
   * @param settings - Intervals and bounds; the same for all hosts of a group.
   * @param rules - Safety rules; only the model checker passes others.
   */
  constructor(
    state: MemberState,
    settings: MembershipSettings,
    rules: MembershipRules = MEMBERSHIP_RULES,
  ) {
    this.current = state;
    this.settings = settings;
    this.rules = rules;
  }

  /** Creates the member of a host that has just started. */
  static start(
    group: string,
    self: MemberIdentity,
    settings: MembershipSettings,
    now: Millis,
  ): GroupMember {
    return new GroupMember(initialState(group, self, now), settings);
  }

  /** Gets the whole state, for dumps and for the model checker. */
  get state(): MemberState {
    return this.current;
  }

  /** Gets this host's view of its group. */
  view(now: Millis): GroupView {
    return createView(this.current, this.settings, this.rules, now);
  }

  /** Gets the coordinator of a key in the newest known epoch; undefined in an empty group. */
  coordinatorOf(key: string): HostId | undefined {
    return getCoordinator(key, { members: this.current.record?.members ?? [] });
  }

  /** Tells whether this host may now act as the coordinator of a key. */
  mayCoordinate(key: string, now: Millis): boolean {
    return mayCoordinate(this.current, this.settings, this.rules, key, now);
  }

  /** Gets the members that are timed out on this host. */
  getTimedOut(now: Millis): readonly string[] {
    return getTimedOutMembers(this.current, this.settings, now);
  }

  /**
   * Handles one event.
   *
   * @param now - The host's monotonic time in milliseconds.
   * @returns The actions to perform, in order.
   */
  step(input: MemberInput, now: Millis): readonly MemberEffect[] {
    const handled = this.handle(input, now);
    const closing = withPreviousEpochClosed(handled.state, this.rules, now);
    const proposing = withChangeWanted(closing, this.settings, this.rules, now);
    const sent = this.sendHellos(proposing, now);
    this.current = sent.state;
    return [...handled.effects, ...sent.effects];
  }

  private handle(input: MemberInput, now: Millis): Stepped {
    const { current } = this;
    switch (input.type) {
      case 'tick':
        return this.handleTick(now);
      case 'asked':
        return this.handleHello(input.message, now);
      case 'answered':
        return {
          state: this.handleWelcome(input.to, input.sentAt, input.message, now),
          effects: [],
        };
      case 'read':
        return this.handleRead(input.id, input.outcome, now);
      case 'wrote':
        return { state: this.handleWritten(input.id, input.outcome, now), effects: [] };
      case 'hosts': {
        const hosts = input.hosts ?? [];
        return { state: withHostList(current, hosts, this.settings, now), effects: [] };
      }
      case 'drain':
        return { state: this.withIntent('drain', now), effects: [] };
      case 'leave':
        return { state: this.withIntent('leave', now), effects: [] };
      default:
        return input satisfies never;
    }
  }

  private withIntent(intent: MemberIntent, now: Millis): MemberState {
    const { current } = this;
    if (current.intent === 'leave') return current;
    const next = { ...current, intent, nextHelloAt: now };
    return intent === 'leave' ? withEnded(next, current.self) : next;
  }

  private handleTick(now: Millis): Stepped {
    const awake = withPauseDetection(this.current, this.settings, now);
    const known = withoutStaleApplicants(awake, this.settings, now);
    const vouched = withVouches(known, this.rules, now);
    const read = this.readWhenDue(vouched, now);
    const hosts = this.readHostsWhenDue(read.state, now);
    return { state: hosts.state, effects: [...read.effects, ...hosts.effects] };
  }

  private readWhenDue(state: MemberState, now: Millis): Stepped {
    const isDue =
      state.pending === undefined &&
      (state.lastReadAt === undefined || now >= state.lastReadAt + this.readInterval(state, now));
    if (!isDue) return { state, effects: [] };
    const id = state.nextCallId;
    const pending = { type: 'read', id, sentAt: now } as const;
    const next = { ...state, pending, lastReadAt: now, nextCallId: id + 1 };
    return { state: next, effects: [{ type: 'read', id }] };
  }

  /**
   * Gets the interval between reads of the group's record. Reads are rare while the members vouch
   * for each other, because the platform's call rate does not grow with the fleet, and frequent
   * only when the permission to act is expiring or a write is due.
   */
  private readInterval(state: MemberState, now: Millis): Millis {
    const until = getActExpiry(state, this.settings);
    const isExpiring = until === undefined || until - now < this.settings.actForMs / 2;
    const isUrgent = isExpiring || isWriteDue(state, this.settings, this.rules, now);
    return isUrgent
      ? getReadBackoffMs(state, this.settings)
      : this.settings.recordReadIntervalMs * (1 + this.settings.jitter / 2);
  }

  private readHostsWhenDue(state: MemberState, now: Millis): Stepped {
    const members = state.record?.members ?? [];
    const isUrgent =
      state.previousClosedAt === undefined ||
      members.some((member) => !member.listed) ||
      getTimedOutMembers(state, this.settings, now).length > 0;
    const ms = isUrgent ? this.settings.urgentHostListIntervalMs : this.settings.hostListIntervalMs;
    const spread = ms * (1 + this.settings.jitter / 2);
    const isDue = state.lastHostsAt === undefined || now >= state.lastHostsAt + spread;
    if (!isDue || state.record === undefined) return { state, effects: [] };
    return { state: { ...state, lastHostsAt: now }, effects: [{ type: 'read_hosts' }] };
  }

  private createHello(state: MemberState): Hello {
    const { group, self, intent } = state;
    return { type: 'hello', group, from: self, epoch: state.record?.epoch ?? 0, intent };
  }

  private handleHello(hello: Hello, now: Millis): Stepped {
    const { current } = this;
    if (hello.group !== current.group) return { state: current, effects: [] };
    const state = withHello(current, hello, now);
    const epoch = state.record?.epoch ?? 0;
    const message: Welcome = {
      type: 'welcome',
      from: state.self,
      epoch,
      intent: state.intent,
      silent: getTimedOutMembers(state, this.settings, now),
      record: epoch > hello.epoch ? state.record : undefined,
    };
    const reply: MemberEffect = { type: 'reply', message };
    if (hello.epoch <= epoch) return { state, effects: [reply] };
    const back = {
      type: 'ask',
      to: hello.from,
      sentAt: now,
      message: this.createHello(state),
    } as const;
    return { state, effects: [reply, back] };
  }

  private handleWelcome(
    to: MemberIdentity,
    sentAt: Millis,
    message: Welcome,
    now: Millis,
  ): MemberState {
    const state = withReplacement(this.current, to, message.from);
    const adopted = message.record === undefined ? state : withRecord(state, message.record, now);
    const known = withWelcome(adopted, message, sentAt, now);
    return withVouches(known, this.rules, now);
  }

  private handleRead(id: number, outcome: ReadOutcome, now: Millis): Stepped {
    const { pending } = this.current;
    if (pending?.type !== 'read' || pending.id !== id) {
      return { state: this.current, effects: [] };
    }
    const idle = { ...this.current, pending: undefined };
    switch (outcome.type) {
      case 'failed':
        return { state: { ...idle, failedReads: idle.failedReads + 1 }, effects: [] };
      case 'absent':
        return this.writeIfWanted({ ...idle, failedReads: 0 }, 'absent', now);
      case 'found': {
        const adopted = withRecord({ ...idle, failedReads: 0 }, outcome.record, now);
        const isCurrent = adopted.record?.epoch === outcome.record.epoch;
        const state = isCurrent ? withConfirmation(adopted, pending.sentAt) : adopted;
        return this.writeIfWanted(
          withPreviousEpochClosed(state, this.rules, now),
          outcome.version,
          now,
        );
      }
      default:
        return outcome satisfies never;
    }
  }

  /**
   * Writes the next epoch right after a read, if one is wanted. The write is conditional on the
   * version just read, so that of two hosts writing the same epoch one gets a conflict. A record
   * removed by hand is written again by members that still know it; otherwise the next host to
   * start would create epoch 1 beside them.
   */
  private writeIfWanted(state: MemberState, expected: number | 'absent', now: Millis): Stepped {
    const { settings, rules } = this;
    const { record } = state;
    if (record === undefined) {
      const isNew = expected === 'absent' && state.intent === 'stay';
      return isNew ? this.write(state, firstRecord(state), expected, now) : { state, effects: [] };
    }
    const proposed = withChangeWanted(state, settings, rules, now);
    const isDue = isWriteDue(proposed, settings, rules, now);
    const isRecordLost = expected === 'absent' && mayWrite(proposed, settings, rules, now);
    if (!isDue && !isRecordLost) return { state: proposed, effects: [] };
    const next = nextRecord(proposed, record, settings, rules, now);
    return this.write(proposed, next, expected, now);
  }

  private write(
    state: MemberState,
    record: MemberState['record'] & object,
    expected: number | 'absent',
    now: Millis,
  ): Stepped {
    const id = state.nextCallId;
    const pending = { type: 'write', id, sentAt: now, record } as const;
    const next = { ...state, pending, nextCallId: id + 1 };
    return { state: next, effects: [{ type: 'write', id, record, expected }] };
  }

  /**
   * After a conflict or a lost answer the member stays in its epoch and reads again: the stored
   * record is the next epoch, whoever wrote it, and a write that takes effect late is found the
   * same way. No member takes over before a majority knows the new epoch.
   */
  private handleWritten(id: number, outcome: WriteOutcome, now: Millis): MemberState {
    const { pending } = this.current;
    if (pending?.type !== 'write' || pending.id !== id) return this.current;
    const idle = { ...this.current, pending: undefined };
    switch (outcome.type) {
      case 'written':
        return withConfirmation(withRecord(idle, pending.record, now), pending.sentAt);
      case 'conflict':
        return { ...idle, lastReadAt: undefined };
      case 'unknown':
        return { ...idle, failedReads: idle.failedReads + 1 };
      default:
        return outcome satisfies never;
    }
  }

  /** Sends hellos to the members, and to removed ones whose reply can end the previous epoch. */
  private sendHellos(state: MemberState, now: Millis): Stepped {
    const { record } = state;
    if (record === undefined || now < state.nextHelloAt) return { state, effects: [] };
    const before = record.lineage.at(-1)?.members ?? [];
    const removed = before.filter((old) => !old.ended && getKnownEpoch(state, old) < record.epoch);
    const targets = new Map(
      [...record.members, ...removed]
        .filter((member) => memberKey(member) !== memberKey(state.self) && !hasEnded(state, member))
        .map((member): [string, MemberIdentity] => [memberKey(member), member]),
    );
    const message = this.createHello(state);
    const effects = [...targets.values()].map((to): MemberEffect => ({
      type: 'ask',
      to,
      sentAt: now,
      message,
    }));
    const next = { ...state, nextHelloAt: now + this.settings.heartbeatIntervalMs };
    return { state: next, effects };
  }
}
