import debug from 'debug';
import {
  runInBackground,
  runLoop,
  sleep,
  type Clock,
  type HostId,
  type Millis,
  type RandomSource,
} from '@camphorvane/core';
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
import { GroupRecordStore } from './GroupRecordStore.ts';
import { HeartbeatTask, type HeartbeatEffect } from './HeartbeatTask.ts';

const log = debug('camphorvane:group');

/** Ticks per heartbeat period, so that each wait ends within a fifth of the period of its deadline. */
const TICKS_PER_HEARTBEAT = 5;

/** Options of a {@link GroupRunner}. */
export interface GroupRunnerOptions {
  readonly group: string;
  readonly self: MemberIdentity;
  readonly settings: MembershipSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: ObjectStore;
  readonly link: PeerLink;
}

/** Called when the epoch or the permission to act changes, and when the wait for a takeover ends. */
export type GroupListener = (view: GroupView) => void;

/** The state of a runner, for the state dump. */
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

/** Runs a {@link GroupMember}: feeds it time, platform reads and peer messages, and executes its effects. */
export class GroupRunner {
  private readonly options: GroupRunnerOptions;

  private readonly member: GroupMember;

  private readonly object: GroupRecordStore;

  private readonly peers = new Map<string, HeartbeatTask>();

  private readonly listeners = new Set<GroupListener>();

  private readonly stopping = new AbortController();

  private lastChange = '';

  /** @param options - The group, this host, the settings, the clock, the store and the link. */
  constructor(options: GroupRunnerOptions) {
    this.options = options;
    const settings = { ...options.settings, jitter: options.random.next() };
    this.member = GroupMember.start(options.group, options.self, settings, options.clock.now());
    this.object = new GroupRecordStore(options.store, options.clock, options.group);
  }

  /** Starts the periodic ticks; they end with {@link GroupRunner.stop}. */
  start(): void {
    runInBackground('group', () => this.run());
  }

  /** Stops all tasks without notifying any host, like a crash. */
  stop(): void {
    this.stopping.abort();
  }

  /** Gets the newest group record known to this host. */
  record(): GroupRecord | undefined {
    return this.member.state.record;
  }

  /** Gets this host's view of its group. */
  view(): GroupView {
    return this.member.view(this.now());
  }

  /** Tells whether this host may act under its epoch. */
  mayAct(): boolean {
    return this.view().mayAct;
  }

  /** Gets the coordinator of a key under the newest known epoch; it may not have taken over yet. */
  coordinatorOf(key: string): HostId | undefined {
    return this.member.coordinatorOf(key);
  }

  /** Tells whether this host may act as the coordinator of a key now. */
  mayCoordinate(key: string): boolean {
    return this.member.mayCoordinate(key, this.now());
  }

  /**
   * Registers a listener for changes of the epoch and of the permission to act, and for the end of
   * the wait after which keys of failed hosts may be taken over.
   *
   * @param listener - Called with the view after each change.
   * @returns A function that removes the listener.
   */
  onChange(listener: GroupListener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Answers a peer's heartbeat; undefined for one that is malformed or from another group. */
  answerHeartbeat(message: Hello): Welcome | undefined {
    return parseHello(message).match(
      (hello) => this.step({ type: 'asked', message: hello })[0],
      (problem) => {
        log('group %s received a malformed heartbeat: %s', this.options.group, problem);
        return undefined;
      },
    );
  }

  /** Starts to drain: the host is marked as draining and hands its keys over to other coordinators. */
  drain(): void {
    this.step({ type: 'drain' });
  }

  /**
   * Stops acting permanently and waits until the group's record no longer lists this host.
   *
   * @param timeoutMs - Maximum wait in milliseconds; after it, peers detect the missing heartbeats.
   * @returns True if the record no longer lists this host.
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

  /** Gets the whole state, for the state dump. */
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
    return this.options.settings.heartbeatIntervalMs / TICKS_PER_HEARTBEAT;
  }

  private isNamed(): boolean {
    const self = memberKey(this.options.self);
    return this.view().members.some((member) => memberKey(member) === self);
  }

  private run(): Promise<void> {
    return runLoop(
      { place: 'group.tick', clock: this.options.clock, signal: this.stopping.signal },
      async () => {
        this.step({ type: 'tick' });
        await sleep(this.options.clock, this.tickMs(), this.stopping.signal);
      },
    );
  }

  /** Applies one input, executes the resulting effects and returns the replies. */
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
        runInBackground('group', () => this.read(effect.id));
        return [];
      case 'write':
        runInBackground('group', () => this.write(effect.id, effect.record, effect.expected));
        return [];
      case 'read_hosts':
        runInBackground('group', () => this.readHosts());
        return [];
      default:
        return effect satisfies never;
    }
  }

  private peerOf(ask: HeartbeatEffect): HeartbeatTask {
    const key = memberKey(ask.to);
    const known = this.peers.get(key);
    if (known !== undefined) return known;
    const task = new HeartbeatTask(
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

  /** Removes the heartbeat tasks of peers that are no longer in the state. */
  private dropPeers(): void {
    const known = this.member.state.peers;
    [...this.peers.keys()]
      .filter((key) => known[key] === undefined)
      .forEach((key) => this.peers.delete(key));
  }
}
