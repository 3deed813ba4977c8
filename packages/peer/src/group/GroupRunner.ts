import debug from 'debug';
import { sleep, type Clock, type HostId, type Millis, type RandomSource } from '@camphorvane/core';
import {
  GroupMember,
  memberKey,
  parseHello,
  type GroupRecord,
  type GroupView,
  type Hello,
  type MemberEffect,
  type MemberIdentity,
  type MemberInput,
  type MembershipSettings,
  type Welcome,
} from '@camphorvane/group';
import type { ObjectStore } from '@camphorvane/store';
import type { PeerLink } from '../PeerLink.ts';
import { GroupObject } from './GroupObject.ts';
import { PeerTask, type AskEffect } from './PeerTask.ts';

const log = debug('camphorvane:group');

/** Ticks in one period of greetings: fine enough that a wait ends soon after its time. */
const TICKS_PER_PERIOD = 5;

/** What a runner needs. */
export interface GroupRunnerOptions {
  readonly group: string;
  readonly self: MemberIdentity;
  readonly settings: MembershipSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: ObjectStore;
  readonly link: PeerLink;
}

/** Told when the epoch or the permission to act has changed, and when a takeover's wait is over. */
export type GroupListener = (view: GroupView) => void;

/** A runner's state as a dump shows it. */
export interface GroupDump {
  readonly view: GroupView;
  readonly self: MemberIdentity;
  readonly now: Millis;
  readonly intent: string;
  readonly silent: readonly string[];
  readonly ended: readonly string[];
  readonly platformCalls: number;
  readonly peers: readonly {
    readonly member: string;
    readonly epoch: number;
    readonly answeredAt?: Millis;
    readonly sent: number;
    readonly unanswered: number;
  }[];
}

function changeKey(view: GroupView, now: Millis): string {
  const isSettled = view.takeoverAt !== undefined && now >= view.takeoverAt;
  return `${view.epoch} ${view.mayAct} ${isSettled}`;
}

/** Drives a {@link GroupMember} with a clock, the platform and links to peers. */
export class GroupRunner {
  private readonly options: GroupRunnerOptions;

  private readonly member: GroupMember;

  private readonly object: GroupObject;

  private readonly peers = new Map<string, PeerTask>();

  private readonly listeners = new Set<GroupListener>();

  private readonly stopping = new AbortController();

  private lastChange = '';

  /** @param options - Its group, host, settings and edges. */
  constructor(options: GroupRunnerOptions) {
    this.options = options;
    const settings = { ...options.settings, jitter: options.random.next() };
    this.member = GroupMember.start(options.group, options.self, settings, options.clock.now());
    this.object = new GroupObject(options.store, options.clock, options.group);
  }

  /** Starts the task that ticks; it ends with {@link GroupRunner.stop}. */
  start(): void {
    void this.run();
  }

  /** Ends all tasks without a word to anybody, as a crash would. */
  stop(): void {
    this.stopping.abort();
  }

  /** Gets the newest record that this host knows. */
  record(): GroupRecord | undefined {
    return this.member.state.record;
  }

  /** Gets what this host knows of its group. */
  view(): GroupView {
    return this.member.view(this.now());
  }

  /** Tells whether this host may use what its epoch gives it. */
  mayAct(): boolean {
    return this.view().mayAct;
  }

  /** Gets the steward of a key under the newest epoch known; it may not have taken over yet. */
  stewardOf(key: string): HostId | undefined {
    return this.member.coordinatorOf(key);
  }

  /** Tells whether this host may act as the steward of a key now. */
  maySteward(key: string): boolean {
    return this.member.mayCoordinate(key, this.now());
  }

  /**
   * Listens for changes of the epoch and of the permission to act, and for the end of the wait after
   * which keys of lost hosts may be taken over.
   *
   * @param listener - Told the view after each change.
   * @returns A function that ends the listening.
   */
  onChange(listener: GroupListener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Answers a peer's greeting; undefined for one that is malformed or from another group. */
  answer(message: Hello): Welcome | undefined {
    return parseHello(message).match(
      (hello) => this.step({ type: 'asked', message: hello })[0],
      (problem) => {
        log('group %s got a malformed greeting: %s', this.options.group, problem);
        return undefined;
      },
    );
  }

  /** Says that this host takes no new work: it is named to nobody and hands its stewardships on. */
  drain(): void {
    this.step({ type: 'drain' });
  }

  /**
   * Stops acting for good and waits until the group's record is without this host.
   *
   * @param timeoutMs - Milliseconds to wait at most; the others notice the silence then.
   * @returns True if the record is without this host.
   */
  async leave(timeoutMs: Millis): Promise<boolean> {
    this.step({ type: 'leave' });
    const until = this.now() + timeoutMs;
    while (this.isNamed() && this.now() < until && !this.stopping.signal.aborted) {
      await sleep(this.options.clock, this.tickMs(), this.stopping.signal);
    }
    const left = !this.isNamed();
    this.stop();
    return left;
  }

  /** Gets the whole state in readable form. */
  dump(): GroupDump {
    const { state } = this.member;
    return {
      view: this.view(),
      self: state.self,
      now: this.now(),
      intent: state.intent,
      silent: this.member.getTimedOut(this.now()),
      ended: state.ended,
      platformCalls: this.object.calls,
      peers: Object.entries(state.peers).map(([member, peer]) => ({
        member,
        epoch: peer.epoch,
        answeredAt: peer.answeredAt,
        ...(this.peers.get(member)?.counts ?? { sent: 0, unanswered: 0 }),
      })),
    };
  }

  private now(): Millis {
    return this.options.clock.now();
  }

  private tickMs(): Millis {
    return this.options.settings.heartbeatIntervalMs / TICKS_PER_PERIOD;
  }

  private isNamed(): boolean {
    const self = memberKey(this.options.self);
    return this.view().members.some((member) => memberKey(member) === self);
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      this.step({ type: 'tick' });
      await sleep(this.options.clock, this.tickMs(), this.stopping.signal);
    }
  }

  /** Takes one input in, starts what follows from it, and gives back the replies. */
  private step(input: MemberInput): readonly Welcome[] {
    if (this.stopping.signal.aborted) return [];
    const effects = this.member.step(input, this.now());
    const replies = effects.flatMap((effect) => this.perform(effect));
    this.notify();
    return replies;
  }

  private perform(effect: MemberEffect): readonly Welcome[] {
    switch (effect.type) {
      case 'reply':
        return [effect.message];
      case 'ask':
        this.peerOf(effect).send(effect);
        return [];
      case 'read':
        void this.read(effect.id);
        return [];
      case 'write':
        void this.write(effect.id, effect.record, effect.expected);
        return [];
      case 'read_hosts':
        void this.readHosts();
        return [];
      default:
        return effect satisfies never;
    }
  }

  private peerOf(ask: AskEffect): PeerTask {
    const key = memberKey(ask.to);
    const known = this.peers.get(key);
    if (known !== undefined) return known;
    const task = new PeerTask(
      this.options.link,
      this.options.settings.heartbeatIntervalMs,
      (sent, message) => {
        this.step({ type: 'answered', to: sent.to, sentAt: sent.sentAt, message });
      },
    );
    this.peers.set(key, task);
    return task;
  }

  private async read(id: number): Promise<void> {
    const outcome = await this.object.read();
    this.step({ type: 'read', id, outcome });
  }

  private async write(id: number, record: GroupRecord, expected: number | 'absent'): Promise<void> {
    const outcome = await this.object.write(record, expected);
    this.step({ type: 'wrote', id, outcome });
  }

  private async readHosts(): Promise<void> {
    const hosts = await this.object.readHosts();
    this.step({ type: 'hosts', hosts });
  }

  private notify(): void {
    const view = this.view();
    const change = changeKey(view, this.now());
    if (change === this.lastChange) return;
    this.lastChange = change;
    this.dropPeers();
    log('group %s epoch %d, may act: %s', view.group, view.epoch, view.mayAct);
    this.listeners.forEach((listener) => listener(view));
  }

  /** Forgets the tasks of peers that the state no longer knows. */
  private dropPeers(): void {
    const known = this.member.state.peers;
    [...this.peers.keys()]
      .filter((key) => known[key] === undefined)
      .forEach((key) => this.peers.delete(key));
  }
}
