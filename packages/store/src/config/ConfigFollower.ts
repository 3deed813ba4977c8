import {
  sleep,
  type Clock,
  type Millis,
  type RandomSource,
  type VersionedConfig,
} from '@camphorvane/core';
import { Backoff } from '../Backoff.ts';
import type { ObjectStore, ObjectVersion, StoredObject, WatchBatch } from '../ObjectStore.ts';
import { ChunkReader } from './ChunkReader.ts';
import { ConfigAssembly } from './ConfigAssembly.ts';
import { NO_PEERS, type ConfigPeers } from './ConfigPeers.ts';
import { CONFIG_KIND, ROOT_NAME, readRoot, type ConfigRoot } from './ConfigRoot.ts';

/** Settings of {@link ConfigFollower}. */
export interface ConfigFollowerOptions {
  /** The platform, counted against the host's budget as `config`. */
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly peers?: ConfigPeers;
  /** Longest wait of one watch, in milliseconds. */
  readonly watchMs?: Millis;
  /** Bound of the random wait before a changed part is fetched, in milliseconds. */
  readonly spreadMs?: Millis;
}

/** What a follower shows in the host's state dump. */
export interface ConfigFollowerState {
  /** Version in force, 0 before the first. */
  readonly version: ObjectVersion;
  /** Highest version heard of. */
  readonly knownVersion: ObjectVersion;
  readonly confirmedMsAgo: Millis | undefined;
  readonly parts: number;
  /** Why the newest version is not in force; absent when it is. */
  readonly problem?: string;
}

/** Is called with each configuration that comes into force. */
export type ConfigListener = (config: VersionedConfig, before: VersionedConfig | undefined) => void;

/**
 * A watch that waits is what confirms the version, so it must end well within the seconds after
 * which a host refuses for want of confirmation. At 350 hosts this makes 233 reads a second.
 */
const DEFAULT_WATCH_MS = 1500;

/**
 * All hosts hear of a change at once. Spread over a second, the reads of a changed part by 350
 * hosts stay below a fifth of the platform's rate, and the change is still in force within six.
 */
const DEFAULT_SPREAD_MS = 1000;

/**
 * Longest time without a confirmation, in milliseconds, for which keys are taken. It bounds how long
 * a withdrawn key works at a host that is cut off from everything; below it lie two watches and the
 * deadline of a call that got no answer, so that one lost call refuses nobody.
 */
export const CONFIRMATION_LIMIT_MS = 5000;

/** After an outage hosts come back spread over this time, in milliseconds. */
const RETRY: { readonly baseMs: Millis; readonly maxMs: Millis } = { baseMs: 250, maxMs: 4000 };

/** Milliseconds between two looks for a confirmation that somebody waits for. */
const CONFIRM_STEP_MS = 20;

interface SeenRoot {
  readonly object: StoredObject;
  readonly root: ConfigRoot;
}

/**
 * Keeps a host on the newest accepted configuration.
 *
 * It takes only higher versions, from the platform or from peers, fetches only the parts that it
 * does not hold, and puts a version in force only when it is whole.
 */
export class ConfigFollower {
  private readonly options: ConfigFollowerOptions;

  private readonly peers: ConfigPeers;

  private readonly reader: ChunkReader;

  private readonly assembly = new ConfigAssembly();

  private readonly backoff: Backoff;

  private readonly stopped = new AbortController();

  private readonly listeners = new Set<ConfigListener>();

  private task: Promise<void> = Promise.resolve();

  private round = new AbortController();

  private inForce: { readonly config: VersionedConfig; readonly object: StoredObject } | undefined;

  /** The newest root that was seen, until it is in force. */
  private pending: SeenRoot | undefined;

  private known: ObjectVersion = 0;

  /** Where the next watch goes on; undefined until the root was read. */
  private after: ObjectVersion | undefined;

  private confirmed: Millis | undefined;

  private problem: string | undefined;

  /** @param options - The platform, the peers, and what time and chance come from. */
  constructor(options: ConfigFollowerOptions) {
    this.options = options;
    this.peers = options.peers ?? NO_PEERS;
    this.reader = new ChunkReader(options.store);
    this.backoff = new Backoff(options.random, RETRY);
  }

  /** Starts the task; it runs until {@link stop}. */
  start(): void {
    this.task = this.run();
  }

  /** Stops the task and waits for its end. */
  async stop(): Promise<void> {
    this.stopped.abort();
    this.round.abort();
    await this.task;
  }

  /** Gets the configuration in force, or undefined before the first one. */
  current(): VersionedConfig | undefined {
    return this.inForce?.config;
  }

  /** Gets the root of the configuration in force, to pass it on to a peer. */
  root(): StoredObject | undefined {
    return this.inForce?.object;
  }

  /** Gets the text of a part of the configuration in force, to pass it on to a peer. */
  chunk(digest: string): string | undefined {
    return this.assembly.getText(digest);
  }

  /** Gets the highest version that this host has heard of, in force or not; peers are told it. */
  knownVersion(): ObjectVersion {
    return this.known;
  }

  /**
   * Gets the last time, on the host's clock, at which no higher version than the one in force had
   * been accepted, as far as the platform or a majority could tell; undefined before the first.
   */
  confirmedAt(): Millis | undefined {
    return this.confirmed;
  }

  /**
   * Tells whether the configuration in force may still be relied on: whether a key that it holds
   * can have been withdrawn {@link CONFIRMATION_LIMIT_MS} ago without this host knowing.
   */
  isConfirmed(): boolean {
    if (this.confirmed === undefined) return false;
    return this.options.clock.now() - this.confirmed <= CONFIRMATION_LIMIT_MS;
  }

  /**
   * Asks the platform at once where the version is unconfirmed, as after a pause of the process: a
   * watch that was sent before the pause confirms nothing, and ends only after its whole wait.
   *
   * @param waitMs - Milliseconds to wait for the confirmation.
   * @returns True once the version is confirmed.
   */
  async confirmNow(waitMs: Millis): Promise<boolean> {
    const { clock } = this.options;
    const until = clock.now() + waitMs;
    if (!this.isConfirmed()) this.round.abort();
    while (!this.isConfirmed() && clock.now() < until && !this.stopped.signal.aborted) {
      await sleep(clock, CONFIRM_STEP_MS, this.stopped.signal);
    }
    return this.isConfirmed();
  }

  /**
   * Adds a listener for configurations that come into force.
   *
   * @param listener - Called with the new and the previous configuration.
   * @returns A function that removes the listener.
   */
  onChange(listener: ConfigListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Notes the highest version that a majority of the group's members has heard of.
   *
   * @param version - The highest of their `knownVersion()`.
   * @param at - When the first of them was asked, on this host's clock.
   */
  noteMajorityConfirmed(version: ObjectVersion, at: Millis): void {
    this.known = Math.max(this.known, version);
    this.confirm(at);
    if (this.isBehind()) this.round.abort();
  }

  /** Gets what the state dump shows. */
  state(): ConfigFollowerState {
    const { clock } = this.options;
    return {
      version: this.inForce?.config.version ?? 0,
      knownVersion: this.known,
      confirmedMsAgo: this.confirmed === undefined ? undefined : clock.now() - this.confirmed,
      parts: this.assembly.getSize(),
      problem: this.problem,
    };
  }

  private async run(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      this.round = new AbortController();
      if (await this.askPlatform()) {
        this.backoff.reset();
      } else {
        await this.askPeers();
        await sleep(this.options.clock, this.backoff.next(), this.stopped.signal);
      }
    }
  }

  /** Asks the platform once; true when it answered and its newest version is in force. */
  private async askPlatform(): Promise<boolean> {
    // The answer tells the state at some time after the call was sent, so that time is safe to use.
    const sentAt = this.options.clock.now();
    const isUrgent = this.after === undefined || this.isBehind() || !this.isConfirmed();
    const isRead = isUrgent ? await this.readRoot() : await this.watchRoot();
    if (!isRead || !(await this.settle())) return false;
    this.confirm(sentAt);
    return true;
  }

  private async readRoot(): Promise<boolean> {
    const found = await this.options.store.get(CONFIG_KIND, ROOT_NAME);
    if (found.isErr()) return this.fail(`the platform does not answer: ${found.error.type}`);
    if (found.value !== undefined) this.see(found.value);
    this.after = found.value?.version ?? 0;
    return true;
  }

  private async watchRoot(): Promise<boolean> {
    const wait = this.options.watchMs ?? DEFAULT_WATCH_MS;
    const { signal } = this.round;
    const batch = await this.options.store.watch(CONFIG_KIND, this.after ?? 0, wait, signal);
    if (batch.isErr()) return this.fail(`the platform does not answer: ${batch.error.type}`);
    this.seeAll(batch.value);
    this.after = Math.max(this.after ?? 0, batch.value.next);
    const isChanged = this.pending !== undefined;
    if (isChanged) await this.spread();
    return true;
  }

  private seeAll(batch: WatchBatch): void {
    batch.events.forEach((event) => {
      if (event.type === 'put' && event.object.name === ROOT_NAME) this.see(event.object);
    });
  }

  private async spread(): Promise<void> {
    const bound = this.options.spreadMs ?? DEFAULT_SPREAD_MS;
    await sleep(this.options.clock, this.options.random.next() * bound, this.stopped.signal);
  }

  private async askPeers(): Promise<void> {
    const object = await this.peers.newestRoot();
    if (object === undefined) return;
    this.see(object);
    await this.settle();
  }

  /** A root that is not newer is ignored, whoever sent it: a version in force is never undone. */
  private see(object: StoredObject): void {
    const newest = this.pending?.object.version ?? this.inForce?.config.version ?? 0;
    if (object.version <= newest) return;
    this.known = Math.max(this.known, object.version);
    const root = readRoot(object.value);
    if (root === undefined) this.problem = `version ${object.version} is not understood`;
    else this.pending = { object, root };
  }

  /** Puts the pending version in force once it is whole; true when nothing newer is known. */
  private async settle(): Promise<boolean> {
    const { pending } = this;
    if (pending === undefined) return !this.isBehind();
    await this.fetchFromPeers(pending.root);
    if (!(await this.fetchFromPlatform(pending.root))) return false;
    const config = this.assembly.assemble(pending.root.manifest);
    if (config === undefined) {
      return this.fail(`parts of version ${pending.object.version} are missing`);
    }
    this.pending = undefined;
    this.problem = undefined;
    this.enforce({ version: pending.object.version, config }, pending.object);
    return !this.isBehind();
  }

  /** Peers first: they hold nearly all parts already, and the platform's rates do not grow. */
  private async fetchFromPeers(root: ConfigRoot): Promise<void> {
    const missing = this.assembly.missing(root.manifest);
    let next = 0;
    let isHeld = true;
    // The first part that no peer holds ends it: each further question could run into a timeout.
    while (isHeld && next < missing.length) {
      const text = await this.peers.chunk(missing[next]!);
      isHeld = text !== undefined && this.assembly.add(missing[next]!, text);
      next += 1;
    }
  }

  private async fetchFromPlatform(root: ConfigRoot): Promise<boolean> {
    const missing = this.assembly.missing(root.manifest);
    if (missing.length === 0) return true;
    const texts = await this.reader.read(missing);
    if (texts.isErr()) return this.fail(`parts can't be read: ${texts.error.type}`);
    texts.value.forEach((text, digest) => this.assembly.add(digest, text));
    return true;
  }

  private enforce(config: VersionedConfig, object: StoredObject): void {
    const before = this.inForce?.config;
    this.inForce = { config, object };
    this.listeners.forEach((listener) => listener(config, before));
  }

  private confirm(at: Millis): void {
    if (this.isBehind()) return;
    this.confirmed = Math.max(this.confirmed ?? at, at);
  }

  private isBehind(): boolean {
    return this.known > (this.inForce?.config.version ?? 0);
  }

  private fail(problem: string): false {
    this.problem = problem;
    return false;
  }
}
