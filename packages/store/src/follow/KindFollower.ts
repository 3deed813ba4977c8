import type { Millis } from '@camphorvane/core';
import {
  contain,
  InterruptibleSleep,
  reportFault,
  runInBackground,
  sleep,
} from '@camphorvane/core';
import { Backoff } from '../Backoff.ts';
import type { ObjectVersion, PlatformError, StoredObject } from '../ObjectStore.ts';
import { unavailable } from '../PlatformHttp.ts';
import { applyEvent } from './applyEvent.ts';
import { CallOutcomes } from './CallOutcomes.ts';
import { hedge } from './hedge.ts';
import type { CopySource, KindFollowerOptions } from './KindFollowerOptions.ts';
import { DEFAULT_POLL, STORE_RETRY } from './KindFollowerOptions.ts';
import type { Snapshot } from './WatchableStore.ts';

/** Milliseconds between two cheap reads while they lag behind a version that a peer reported. */
const CATCH_UP_MS: Millis = 200;

/** Cheap catch-up reads that may return a stale copy before a consistent read is made. */
const MAX_CHEAP_ATTEMPTS = 4;

/**
 * Milliseconds within which a watch must report a change that a peer has reported. After that its
 * connection counts as dead, and a new snapshot is read over another connection.
 */
const WATCH_LAG_MS: Millis = 250;

/**
 * Milliseconds for which the store alone is asked for a version that a peer has reported. It answers in a few;
 * after that peers are asked as well, since calls to a silent or slow store end only after a second.
 */
const PEER_READ_DELAY_MS: Millis = 150;

/** Milliseconds until other peers are asked where none of those asked has a newer copy. */
const PEER_RETRY_MS: Millis = 250;

/**
 * Keeps a local copy of all objects of a kind: reads a snapshot, then watches from its version on.
 *
 * A watch can be cut, lose its history or stop responding; each ends within the wait and the timeout
 * of a call, and a new snapshot then contains the missed changes. Stale responses that arrive late
 * never replace newer objects, since an object's version only increases.
 */
export class KindFollower {
  private readonly options: KindFollowerOptions;

  private readonly backoff: Backoff;

  private objects: ReadonlyMap<string, StoredObject> = new Map();

  /** Version from which the next watch continues; undefined where a snapshot is needed. */
  private after: ObjectVersion | undefined;

  private readonly outcomes: CallOutcomes;

  /** Whether a snapshot was requested before. */
  private hasRead = false;

  /** Version of the last known change of this kind. */
  private changedAt: ObjectVersion = 0;

  /** Highest version of a change that a peer has reported. */
  private reportedVersion: ObjectVersion = 0;

  /** Store version up to which the objects are complete; unlike `after`, it outlasts an outage. */
  private copyVersion: ObjectVersion = 0;

  /** Since when a peer has known a newer version; undefined while none does. */
  private behindSince: Millis | undefined;

  /** Whether peers are being asked, or are about to be. */
  private isAskingPeers = false;

  /** Whether the last peers that were asked had no newer copy. */
  private hasAskedInVain = false;

  private isStopped = false;

  private wake: () => void = () => undefined;

  /** Ends the watch that is waiting; the next one goes on from the copy that a peer has given. */
  private restartWatch: () => void = () => undefined;

  private readonly pause: InterruptibleSleep;

  /** @param options - The store, the kind and the callbacks. */
  constructor(options: KindFollowerOptions) {
    this.options = options;
    this.backoff = new Backoff(options.random, STORE_RETRY);
    this.pause = new InterruptibleSleep(options.clock);
    this.outcomes = new CallOutcomes(options, () => this.replaceWatch());
  }

  /** Gets when the store last responded, on the host's monotonic clock. */
  getLastResponseAt(): Millis {
    return this.outcomes.getLastResponseAt();
  }

  /** Gets the store version up to which the copy is complete; 0 before the first response. */
  getVersion(): ObjectVersion {
    return this.copyVersion;
  }

  /** Gets the version of the last known change of this kind; 0 before the first response. */
  getLastChangeVersion(): ObjectVersion {
    return this.changedAt;
  }

  /** Records a version that a peer reported; one that is newer than this copy is fetched soon. */
  receiveVersion(version: ObjectVersion): void {
    if (version <= this.reportedVersion) return;
    this.reportedVersion = version;
    if (!this.isBehind()) return;
    this.behindSince ??= this.options.clock.now();
    this.wake();
    if (this.outcomes.isUnavailable()) this.startPeerRead();
    else this.askPeersIn(PEER_READ_DELAY_MS);
  }

  /** Ends the pause before the next poll. */
  pollNow(): void {
    this.pause.interrupt();
  }

  /** Tells whether the store answered the last call. */
  isAvailable(): boolean {
    return this.copyVersion > 0 && !this.outcomes.isUnavailable();
  }

  /** Gets for how long a peer has known a newer version than this copy, in milliseconds. */
  getLagMs(): Millis {
    return this.behindSince === undefined ? 0 : this.options.clock.now() - this.behindSince;
  }

  /** Gets this copy, to be offered to peers; undefined before the first response. */
  getCopy(): Snapshot | undefined {
    if (this.copyVersion === 0) return undefined;
    return { objects: [...this.objects.values()], version: this.copyVersion };
  }

  /** Follows the kind until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = this.options.clock.now();
      const problem = await this.followOnce(signal).catch((thrown) => this.recordFault(thrown));
      if (problem !== undefined && !signal.aborted) {
        this.outcomes.recordFailure(problem, startedAt);
        this.startPeerRead();
        // A host that polls goes on with cheap reads: hundreds of them would call an unavailable store too often.
        if (this.isPolling()) continue;
        this.after = undefined;
        await sleep(this.options.clock, this.backoff.nextDelayMs(), signal);
      }
    }
    this.isStopped = true;
  }

  /** Tells whether a peer has reported a version that this copy lacks. */
  private isBehind(): boolean {
    return this.reportedVersion > this.copyVersion;
  }

  private isPolling(): boolean {
    return this.after !== undefined && this.options.mode?.() === 'poll';
  }

  private followOnce(signal: AbortSignal): Promise<PlatformError | undefined> {
    if (this.after === undefined) return this.readAll(this.isFirstRead() ? 'any' : 'newest');
    return this.isPolling() ? this.poll(signal) : this.wait(this.after, signal);
  }

  /**
   * The first read may be stale: the watch or the poll after it continues from its version. A read
   * after a failure may not, since it could be older than the state this host has acted on.
   */
  private isFirstRead(): boolean {
    const isFirst = !this.hasRead;
    this.hasRead = true;
    return isFirst;
  }

  /** Asks peers after a delay, unless the store has given this host the version that they report by then. */
  private askPeersIn(delayMs: Millis): void {
    if (this.isAskingPeers || this.options.readFromPeers === undefined) return;
    this.isAskingPeers = true;
    this.options.clock.after(delayMs, () => {
      this.isAskingPeers = false;
      if (!this.isStopped) this.startPeerRead();
    });
  }

  private startPeerRead(): void {
    runInBackground('store.peer_read', () => this.readFromPeers());
  }

  /**
   * The store may serve others and turn this host away, answer it late, or not at all. Without a copy of its
   * peers, the host would go on with a withdrawn key or a server that has left for as long as that lasts.
   */
  private async readFromPeers(): Promise<void> {
    const { readFromPeers, kind } = this.options;
    if (readFromPeers === undefined || this.isAskingPeers || !this.isBehind()) return;
    this.isAskingPeers = true;
    const copy = await readFromPeers(kind, this.reportedVersion, this.copyVersion).catch(noCopy);
    this.isAskingPeers = false;
    this.hasAskedInVain = copy === undefined || copy.version <= this.copyVersion;
    if (copy !== undefined) this.receiveCopy(copy, 'peer');
    // Those asked may not have the version yet, or lack what is newest by now; others are asked next.
    if (this.isBehind()) this.askPeersIn(PEER_RETRY_MS);
  }

  /** Receives a copy that was read in another way, if it is newer. */
  receiveCopy(copy: Snapshot, source: CopySource): void {
    if (copy.version <= this.copyVersion) return;
    this.applySnapshot(copy, source);
    if (this.after !== undefined) {
      this.after = Math.max(this.after, copy.version);
      this.restartWatch();
    }
    this.sync();
  }

  private applySnapshot({ objects, version }: Snapshot, source: CopySource): void {
    this.objects = new Map(objects.map((object) => [object.name, object]));
    this.changedAt = objects.reduce((newest, one) => Math.max(newest, one.version), this.changedAt);
    this.recordVersion(version, source);
  }

  private recordVersion(version: ObjectVersion, source: CopySource): void {
    this.copyVersion = Math.max(this.copyVersion, version);
    if (this.isBehind()) return;
    if (this.behindSince !== undefined) this.options.onCaughtUp?.(this.getLagMs(), source);
    this.behindSince = undefined;
    this.hasAskedInVain = false;
  }

  /** Waits for the next poll or a version reported by a peer, then reads until caught up. */
  private async poll(signal: AbortSignal): Promise<PlatformError | undefined> {
    const { clock, nextPoll, pollFreshness } = this.options;
    this.wake = () => this.pause.interrupt();
    const { waitMs, isTurn } = nextPoll?.(this.outcomes.isUnavailable()) ?? DEFAULT_POLL;
    const dueAt = clock.now() + waitMs;
    if (!this.isBehind() || this.outcomes.isUnavailable()) await this.pause.wait(waitMs, signal);
    const isDue = isTurn && clock.now() >= dueAt;
    let problem = await this.readAll(isDue ? 'newest' : (pollFreshness?.() ?? 'any'));
    let attempts = 0;
    while (problem === undefined && this.isBehind() && !signal.aborted) {
      attempts += 1;
      const isCheap = attempts <= MAX_CHEAP_ATTEMPTS && this.mayWaitForOthers();
      if (isCheap) await sleep(clock, CATCH_UP_MS, signal);
      problem = await this.readAll(isCheap && this.mayWaitForOthers() ? 'any' : 'newest');
    }
    return problem;
  }

  /** Tells whether hosts that watch the store may have the reported version, so that a cheap read will do for now. */
  private mayWaitForOthers(): boolean {
    return this.options.isUnwatched?.() !== true && !this.hasAskedInVain;
  }

  /** Reads a snapshot, ignored where older than this copy; gets its failure. */
  private async readAll(freshness: 'newest' | 'any'): Promise<PlatformError | undefined> {
    const { store, kind, clock } = this.options;
    const read = () => store.snapshot(kind, freshness);
    const snapshot = await (freshness === 'newest' ? hedge(clock, read) : read());
    if (snapshot.isErr()) return snapshot.error;
    // A stale copy must not replace the newer one of a peer, nor be offered to others under its version.
    if (snapshot.value.version < this.copyVersion) {
      if (freshness === 'newest') this.after = this.copyVersion;
      return undefined;
    }
    this.applySnapshot(snapshot.value, 'store');
    this.after = snapshot.value.version;
    this.recordResponse();
    return undefined;
  }

  /** Watches for changes; gets its failure. Lost history leads to a new snapshot at once. */
  private async wait(
    after: ObjectVersion,
    signal: AbortSignal,
  ): Promise<PlatformError | undefined> {
    const { store, kind, watchMs } = this.options;
    const superseded = new AbortController();
    this.wake = () => this.abortIfBehind(superseded);
    this.restartWatch = () => superseded.abort();
    // A version that a peer reported between two watches is not reported again.
    if (this.isBehind()) this.wake();
    const stopOrSuperseded = AbortSignal.any([signal, superseded.signal]);
    const batch = await store.watch(kind, after, watchMs, stopOrSuperseded);
    this.wake = () => undefined;
    this.restartWatch = () => undefined;
    if (superseded.signal.aborted) {
      if (this.isBehind()) this.after = undefined;
      return undefined;
    }
    if (batch.isErr()) {
      this.after = undefined;
      return batch.error.type === 'invalid' ? undefined : batch.error;
    }
    const { events, next } = batch.value;
    this.objects = events.reduce(applyEvent, this.objects);
    this.after = Math.max(after, next);
    if (events.length > 0) this.changedAt = this.after;
    this.recordVersion(this.after, 'store');
    this.recordResponse();
    return undefined;
  }

  /** What has cut another connection to the store off may have cut off that of the watch. */
  private replaceWatch(): void {
    if (this.isPolling()) return;
    this.restartWatch();
    this.after = undefined;
  }

  /**
   * The connection of a watch can die while new connections work. A newer version reported by a peer
   * shows this long before the watch times out.
   */
  private abortIfBehind(superseded: AbortController): void {
    this.options.clock.after(WATCH_LAG_MS, () => {
      if (this.isBehind()) superseded.abort();
    });
  }

  private recordResponse(): void {
    this.outcomes.recordResponse();
    this.backoff.reset();
    this.sync();
  }

  private sync(): void {
    contain('store.sync', () => this.options.onSync({ objects: this.objects }));
  }

  /** Counts a read that threw as a failed one, which a new snapshot follows after a delay. */
  private recordFault(thrown: unknown): PlatformError {
    reportFault('store.follow', thrown);
    this.after = undefined;
    return unavailable('the response could not be read');
  }
}

function noCopy(thrown: unknown): undefined {
  reportFault('store.peer_read', thrown);
}
