import type { HostId, Millis } from '@camphorvane/core';
import { actUntil, maySteward, withClosing, withConfirmation, withVouches } from './authority.ts';
import { viewOf, stewardOf, type GroupView } from './GroupView.ts';
import {
  silentMembers,
  withEnded,
  withHello,
  withHostList,
  withoutStrangers,
  withRecord,
  withReplacement,
  withWaking,
  withWelcome,
} from './knowledge.ts';
import type { MemberEffect } from './MemberEffect.ts';
import { memberKey, type MemberIdentity } from './MemberIdentity.ts';
import type { MemberInput, ReadOutcome, WriteOutcome } from './MemberInput.ts';
import type { Hello, MemberIntent, Welcome } from './MembershipMessage.ts';
import {
  MEMBERSHIP_RULES,
  type MembershipRules,
  type MembershipSettings,
} from './MembershipSettings.ts';
import { hasEnded, initialState, knownEpochOf, type MemberState } from './MemberState.ts';
import { backoff, firstRecord, isWriteDue, mayWrite, nextRecord, withWish } from './proposal.ts';

interface Stepped {
  readonly state: MemberState;
  readonly effects: readonly MemberEffect[];
}

/**
 * One host's part in the membership of a group, without input or output.
 *
 * The state is a plain value that every step replaces, so that a search can keep it, compare it and
 * go on from it in many ways.
 */
export class GroupMember {
  private current: MemberState;

  private readonly settings: MembershipSettings;

  private readonly rules: MembershipRules;

  /**
   * @param state - Where to start, such as {@link initialState}.
   * @param settings - Periods and bounds; the same for all hosts of a group.
   * @param rules - The rules of safety; only the model checker gives others.
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

  /** Makes the member of a host that has just started. */
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

  /** Gets what this host knows of its group. */
  view(now: Millis): GroupView {
    return viewOf(this.current, this.settings, this.rules, now);
  }

  /** Gets the steward of a key under the newest epoch known, if the group has members. */
  stewardOf(key: string): HostId | undefined {
    return stewardOf(key, { members: this.current.record?.members ?? [] });
  }

  /** Tells whether this host may act as the steward of a key now. */
  maySteward(key: string, now: Millis): boolean {
    return maySteward(this.current, this.settings, this.rules, key, now);
  }

  /** Gets the members that have not answered this host for long. */
  silent(now: Millis): readonly string[] {
    return silentMembers(this.current, this.settings, now);
  }

  /**
   * Takes in one thing that happened.
   *
   * @param input - What happened.
   * @param now - The host's monotonic time in milliseconds; it never goes back.
   * @returns What is to be done, in order.
   */
  step(input: MemberInput, now: Millis): readonly MemberEffect[] {
    const taken = this.take(input, now);
    const closing = withClosing(taken.state, this.rules, now);
    const wishing = withWish(closing, this.settings, this.rules, now);
    const greeted = this.greet(wishing, now);
    this.current = greeted.state;
    return [...taken.effects, ...greeted.effects];
  }

  private take(input: MemberInput, now: Millis): Stepped {
    const { current } = this;
    switch (input.type) {
      case 'tick':
        return this.tick(now);
      case 'asked':
        return this.asked(input.message, now);
      case 'answered':
        return { state: this.answered(input.to, input.sentAt, input.message, now), effects: [] };
      case 'read':
        return this.read(input.id, input.outcome, now);
      case 'wrote':
        return { state: this.wrote(input.id, input.outcome, now), effects: [] };
      case 'hosts': {
        const hosts = input.hosts ?? [];
        return { state: withHostList(current, hosts, this.settings, now), effects: [] };
      }
      case 'drain':
        return { state: this.intend('drain', now), effects: [] };
      case 'leave':
        return { state: this.intend('leave', now), effects: [] };
      default:
        return input satisfies never;
    }
  }

  private intend(intent: MemberIntent, now: Millis): MemberState {
    const { current } = this;
    if (current.intent === 'leave') return current;
    const next = { ...current, intent, nextHelloAt: now };
    return intent === 'leave' ? withEnded(next, current.self) : next;
  }

  private tick(now: Millis): Stepped {
    const awake = withWaking(this.current, this.settings, now);
    const known = withoutStrangers(awake, this.settings, now);
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
   * Gets the time between reads of the object.
   *
   * Reads are rare while the members vouch for each other, because the platform's rate does not grow
   * with the fleet; they are frequent only where the platform is the last resort.
   */
  private readInterval(state: MemberState, now: Millis): Millis {
    const until = actUntil(state, this.settings);
    const isRunningOut = until === undefined || until - now < this.settings.actForMs / 2;
    const isUrgent = isRunningOut || isWriteDue(state, this.settings, this.rules, now);
    return isUrgent
      ? backoff(state, this.settings)
      : this.settings.platformReadMs * (1 + this.settings.jitter / 2);
  }

  private readHostsWhenDue(state: MemberState, now: Millis): Stepped {
    const members = state.record?.members ?? [];
    const isUrgent =
      state.quorumAt === undefined ||
      members.some((member) => !member.listed) ||
      silentMembers(state, this.settings, now).length > 0;
    const period = isUrgent ? this.settings.urgentHostListMs : this.settings.hostListMs;
    const spread = period * (1 + this.settings.jitter / 2);
    const isDue = state.lastHostsAt === undefined || now >= state.lastHostsAt + spread;
    if (!isDue || state.record === undefined) return { state, effects: [] };
    return { state: { ...state, lastHostsAt: now }, effects: [{ type: 'read_hosts' }] };
  }

  private hello(state: MemberState): Hello {
    const { group, self, intent } = state;
    return { type: 'hello', group, from: self, epoch: state.record?.epoch ?? 0, intent };
  }

  private asked(hello: Hello, now: Millis): Stepped {
    const { current } = this;
    if (hello.group !== current.group) return { state: current, effects: [] };
    const state = withHello(current, hello, now);
    const epoch = state.record?.epoch ?? 0;
    const message: Welcome = {
      type: 'welcome',
      from: state.self,
      epoch,
      intent: state.intent,
      silent: silentMembers(state, this.settings, now),
      record: epoch > hello.epoch ? state.record : undefined,
    };
    const reply: MemberEffect = { type: 'reply', message };
    if (hello.epoch <= epoch) return { state, effects: [reply] };
    const back = { type: 'ask', to: hello.from, sentAt: now, message: this.hello(state) } as const;
    return { state, effects: [reply, back] };
  }

  private answered(to: MemberIdentity, sentAt: Millis, message: Welcome, now: Millis): MemberState {
    const replaced = withReplacement(this.current, to, message.from);
    const adopted =
      message.record === undefined ? replaced : withRecord(replaced, message.record, now);
    const known = withWelcome(adopted, message, sentAt, now);
    return withVouches(known, this.rules, now);
  }

  private read(id: number, outcome: ReadOutcome, now: Millis): Stepped {
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
        return this.writeIfWanted(withClosing(state, this.rules, now), outcome.version, now);
      }
      default:
        return outcome satisfies never;
    }
  }

  /**
   * Writes the next epoch right after a read.
   *
   * The write names the version just read, so that of two hosts that write the same epoch one gets
   * a conflict. A record that was removed by hand is written anew by those who still know it: left
   * absent, the next host to start would begin again at epoch 1 beside them.
   */
  private writeIfWanted(state: MemberState, expected: number | 'absent', now: Millis): Stepped {
    const { settings, rules } = this;
    const { record } = state;
    if (record === undefined) {
      const isCreating = expected === 'absent' && state.intent === 'stay';
      return isCreating
        ? this.write(state, firstRecord(state), expected, now)
        : { state, effects: [] };
    }
    const wished = withWish(state, settings, rules, now);
    const isDue = isWriteDue(wished, settings, rules, now);
    const isLost = expected === 'absent' && mayWrite(wished, settings, rules, now);
    if (!isDue && !isLost) return { state: wished, effects: [] };
    const next = nextRecord(wished, record, settings, rules, now);
    return this.write(wished, next, expected, now);
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
   * Takes in the result of a write.
   *
   * After a conflict or a lost answer the member stays in its epoch and reads: whatever is stored
   * then is the next epoch, whoever wrote it, and a write that takes effect late is found the same
   * way. Nobody takes anything over before a majority knows of it.
   */
  private wrote(id: number, outcome: WriteOutcome, now: Millis): MemberState {
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

  /** Greets the members, and those left out whose word ends the epoch before. */
  private greet(state: MemberState, now: Millis): Stepped {
    const { record } = state;
    if (record === undefined || now < state.nextHelloAt) return { state, effects: [] };
    const before = record.lineage.at(-1)?.members ?? [];
    const leftOut = before.filter(
      (past) => !past.ended && knownEpochOf(state, past) < record.epoch,
    );
    const targets = new Map(
      [...record.members, ...leftOut]
        .filter((member) => memberKey(member) !== memberKey(state.self) && !hasEnded(state, member))
        .map((member): [string, MemberIdentity] => [memberKey(member), member]),
    );
    const message = this.hello(state);
    const effects = [...targets.values()].map((to): MemberEffect => ({
      type: 'ask',
      to,
      sentAt: now,
      message,
    }));
    const next = { ...state, nextHelloAt: now + this.settings.vouchPeriodMs };
    return { state: next, effects };
  }
}
