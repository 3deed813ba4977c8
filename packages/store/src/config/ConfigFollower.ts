import type { Clock, Millis, RandomSource, VersionedConfig } from '@camphorvane/core';
import { runLoop, sleep } from '@camphorvane/core';
import { Backoff } from '../Backoff.ts';
import type { ObjectStore, ObjectVersion, StoredObject, WatchBatch } from '../ObjectStore.ts';
import { ChunkReader } from './ChunkReader.ts';
import { ConfigPartCache } from './ConfigPartCache.ts';
import { NO_PEERS, type ConfigPeers } from './ConfigPeers.ts';
import { CONFIG_KIND, ROOT_NAME, parseRoot, type ConfigRoot } from './ConfigRoot.ts';

/** Settings of {@link ConfigFollower}. */
export interface ConfigFollowerOptions {
  /** The platform; its calls count against the host's budget with priority `config`. */
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly peers?: ConfigPeers;
  /** Maximum duration of one watch, in milliseconds. */
  readonly watchMs?: Millis;
  /** Maximum random delay before a changed part is fetched, in milliseconds. */
  readonly spreadMs?: Millis;
}

/** State of a follower in the host's state dump. */
export interface ConfigFollowerState {
  /** Active version; 0 before the first. */
  readonly version: ObjectVersion;
  /** Highest known version, active or not. */
  readonly knownVersion: ObjectVersion;
  readonly confirmedMsAgo: Millis | undefined;
  readonly parts: number;
  /** Why the newest version is not active; absent when it is. */
  readonly problem?: string;
}

/** Called with each configuration that becomes active, and the previous one. */
export type ConfigListener = (config: VersionedConfig, before: VersionedConfig | undefined) => void;

/**
 * Default duration of a watch in milliseconds. Completed watches confirm the version, so each must end
 * well within {@link CONFIRMATION_LIMIT_MS}. With 350 hosts this makes 233 reads a second.
 */
const DEFAULT_WATCH_MS = 1500;

/**
 * Default jitter in milliseconds. All hosts detect a change at the same time; spread over a second, the
 * reads of a changed part by 350 hosts use less than a fifth of the platform's rate, and the change is
 * still active within six seconds.
 */
const DEFAULT_SPREAD_MS = 1000;

/**
 * Maximum time in milliseconds without a confirmation for which keys are accepted. Limits how long a
 * withdrawn key works on a partitioned host; longer than two watches plus the timeout of a call, so
 * that a single lost call causes no refusal.
 */
export const CONFIRMATION_LIMIT_MS = 5000;

/** Bounds of the retry delay during an outage; its jitter spreads the hosts' reads afterwards. */
const RETRY: { readonly baseMs: Millis; readonly maxMs: Millis } = { baseMs: 250, maxMs: 4000 };

/** Interval of the checks while a caller waits for a confirmation, in milliseconds. */
const CONFIRM_CHECK_MS = 20;

interface ReceivedRoot {
  readonly object: StoredObject;
  readonly root: ConfigRoot;
}

/**
 * Keeps a host on the newest accepted configuration.
 *
 * It accepts only increasing versions, from the platform or from peers, fetches only the parts that
 * are not cached, and activates a version only when all its parts are present.
 */
export class ConfigFollower {
  private readonly options: ConfigFollowerOptions;

  private readonly peers: ConfigPeers;

  private readonly reader: ChunkReader;

  private readonly partCache = new ConfigPartCache();

  private readonly backoff: Backoff;

  private readonly stopped = new AbortController();

  private readonly listeners = new Set<ConfigListener>();

  private task: Promise<void> = Promise.resolve();

  private round = new AbortController();

  private active: { readonly config: VersionedConfig; readonly object: StoredObject } | undefined;

  /** The newest received root while it is not active yet. */
  private pending: ReceivedRoot | undefined;

  private known: ObjectVersion = 0;

  /** Version from which the next watch continues; undefined until the root was read. */
  private after: ObjectVersion | undefined;

  private confirmed: Millis | undefined;

  private problem: string | undefined;

  /** @param options - The platform, the peers, the clock and the random source. */
  constructor(options: ConfigFollowerOptions) {
    this.options = options;
    this.peers = options.peers ?? NO_PEERS;
    this.reader = new ChunkReader(options.store);
    this.backoff = new Backoff(options.random, RETRY);
  }

  /** Starts following until {@link stop}. */
  start(): void {
    this.task = this.run();
  }

  /** Stops following and waits for the task to end. */
  async stop(): Promise<void> {
    this.stopped.abort();
    this.round.abort();
    await this.task;
  }

  /** Gets the active configuration; undefined before the first one. */
  current(): VersionedConfig | undefined {
    return this.active?.config;
  }

  /** Gets the root of the active configuration, to serve it to a peer. */
  root(): StoredObject | undefined {
    return this.active?.object;
  }

  /** Gets the text of a part of the active configuration, to serve it to a peer. */
  chunk(digest: string): string | undefined {
    return this.partCache.getText(digest);
  }

  /** Gets the highest known version, active or not, which is sent to peers. */
  knownVersion(): ObjectVersion {
    return this.known;
  }

  /**
   * Gets the last time, on the host's monotonic clock, at which the platform or a majority of the
   * group confirmed that no version above the active one was accepted; undefined before the first.
   */
  confirmedAt(): Millis | undefined {
    return this.confirmed;
  }

  /**
   * Tells whether the active configuration is confirmed: no key of it was withdrawn more than
   * {@link CONFIRMATION_LIMIT_MS} ago without this host knowing.
   */
  isConfirmed(): boolean {
    if (this.confirmed === undefined) return false;
    return this.options.clock.now() - this.confirmed <= CONFIRMATION_LIMIT_MS;
  }

  /**
   * Reads from the platform at once where the version is unconfirmed, for example after a pause of the
   * process: a watch sent before the pause confirms nothing and ends only after its full duration.
   *
   * @param waitMs - Maximum wait for the confirmation, in milliseconds.
   * @returns Whether the version is confirmed.
   */
  async confirmNow(waitMs: Millis): Promise<boolean> {
    const { clock } = this.options;
    const until = clock.now() + waitMs;
    if (!this.isConfirmed()) this.round.abort();
    while (!this.isConfirmed() && clock.now() < until && !this.stopped.signal.aborted) {
      await sleep(clock, CONFIRM_CHECK_MS, this.stopped.signal);
    }
    return this.isConfirmed();
  }

  /**
   * Adds a listener for configurations that become active.
   *
   * @param listener - Called with the new and the previous configuration.
   * @returns A function that removes the listener.
   */
  onChange(listener: ConfigListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Records the highest version that a majority of the group's members knows.
   *
   * @param version - The maximum of the members' known versions.
   * @param at - When the first of them was queried, on this host's monotonic clock.
   */
  recordMajorityVersion(version: ObjectVersion, at: Millis): void {
    this.known = Math.max(this.known, version);
    this.confirm(at);
    if (this.isBehind()) this.round.abort();
  }

  /** Gets the state for the state dump. */
  state(): ConfigFollowerState {
    const { clock } = this.options;
    return {
      version: this.active?.config.version ?? 0,
      knownVersion: this.known,
      confirmedMsAgo: this.confirmed === undefined ? undefined : clock.now() - this.confirmed,
      parts: this.partCache.getSize(),
      problem: this.problem,
    };
  }

  private run(): Promise<void> {
    const loop = { place: 'config', clock: this.options.clock, signal: this.stopped.signal };
    return runLoop(loop, async () => {
      this.round = new AbortController();
      if (await this.followPlatform()) {
        this.backoff.reset();
      } else {
        await this.followPeers();
        await sleep(loop.clock, this.backoff.nextDelayMs(), loop.signal);
      }
    });
  }

  /** Reads or watches once; true when the platform responded and its newest version is active. */
  private async followPlatform(): Promise<boolean> {
    // The response reflects a state after the call was sent, so the send time is a safe lower bound.
    const sentAt = this.options.clock.now();
    const isUrgent = this.after === undefined || this.isBehind() || !this.isConfirmed();
    const isRead = isUrgent ? await this.readRoot() : await this.watchRoot();
    if (!isRead || !(await this.activatePending())) return false;
    this.confirm(sentAt);
    return true;
  }

  private async readRoot(): Promise<boolean> {
    const found = await this.options.store.get(CONFIG_KIND, ROOT_NAME);
    if (found.isErr()) return this.fail(`reading the root failed: ${found.error.type}`);
    if (found.value !== undefined) this.receiveRoot(found.value);
    this.after = found.value?.version ?? 0;
    return true;
  }

  private async watchRoot(): Promise<boolean> {
    const wait = this.options.watchMs ?? DEFAULT_WATCH_MS;
    const { signal } = this.round;
    const batch = await this.options.store.watch(CONFIG_KIND, this.after ?? 0, wait, signal);
    if (batch.isErr()) return this.fail(`watching the root failed: ${batch.error.type}`);
    this.receiveEvents(batch.value);
    this.after = Math.max(this.after ?? 0, batch.value.next);
    const isChanged = this.pending !== undefined;
    if (isChanged) await this.delayByJitter();
    return true;
  }

  private receiveEvents(batch: WatchBatch): void {
    batch.events.forEach((event) => {
      if (event.type === 'put' && event.object.name === ROOT_NAME) this.receiveRoot(event.object);
    });
  }

  private async delayByJitter(): Promise<void> {
    const bound = this.options.spreadMs ?? DEFAULT_SPREAD_MS;
    await sleep(this.options.clock, this.options.random.next() * bound, this.stopped.signal);
  }

  private async followPeers(): Promise<void> {
    const object = await this.peers.newestRoot();
    if (object === undefined) return;
    this.receiveRoot(object);
    await this.activatePending();
  }

  /** Accepts a root only where it is newer, whatever its source: an active version is never rolled back. */
  private receiveRoot(object: StoredObject): void {
    const newest = this.pending?.object.version ?? this.active?.config.version ?? 0;
    if (object.version <= newest) return;
    this.known = Math.max(this.known, object.version);
    const root = parseRoot(object.value);
    if (root === undefined) this.problem = `format of version ${object.version} is not understood`;
    else this.pending = { object, root };
  }

  /** Activates the pending version once its parts are present; true when no newer one is known. */
  private async activatePending(): Promise<boolean> {
    const { pending } = this;
    if (pending === undefined) return !this.isBehind();
    await this.fetchFromPeers(pending.root);
    if (!(await this.fetchFromPlatform(pending.root))) return false;
    const config = this.partCache.assemble(pending.root.manifest);
    if (config === undefined) {
      return this.fail(`parts of version ${pending.object.version} are missing`);
    }
    this.pending = undefined;
    this.problem = undefined;
    this.activate({ version: pending.object.version, config }, pending.object);
    return !this.isBehind();
  }

  /** Peers come first: they have nearly all parts, and the platform's rate limits do not scale. */
  private async fetchFromPeers(root: ConfigRoot): Promise<void> {
    const missing = this.partCache.getMissing(root.manifest);
    let next = 0;
    let isFetched = true;
    // Stops at the first part that no peer has: each further request could time out.
    while (isFetched && next < missing.length) {
      const text = await this.peers.chunk(missing[next]!);
      isFetched = text !== undefined && this.partCache.add(missing[next]!, text);
      next += 1;
    }
  }

  private async fetchFromPlatform(root: ConfigRoot): Promise<boolean> {
    const missing = this.partCache.getMissing(root.manifest);
    if (missing.length === 0) return true;
    const texts = await this.reader.read(missing);
    if (texts.isErr()) return this.fail(`reading parts failed: ${texts.error.type}`);
    texts.value.forEach((text, digest) => this.partCache.add(digest, text));
    return true;
  }

  private activate(config: VersionedConfig, object: StoredObject): void {
    const before = this.active?.config;
    this.active = { config, object };
    this.listeners.forEach((listener) => listener(config, before));
  }

  private confirm(at: Millis): void {
    if (this.isBehind()) return;
    this.confirmed = Math.max(this.confirmed ?? at, at);
  }

  private isBehind(): boolean {
    return this.known > (this.active?.config.version ?? 0);
  }

  private fail(problem: string): false {
    this.problem = problem;
    return false;
  }
}
