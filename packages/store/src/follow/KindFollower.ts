import type { Clock, Millis, RandomSource } from '@camphorvane/core';
import { InterruptibleSleep, sleep } from '@camphorvane/core';
import { Backoff } from '../Backoff.ts';
import type { ObjectVersion, StoredObject, WatchEvent } from '../ObjectStore.ts';
import type { WatchableStore } from './WatchableStore.ts';

/** What a follower shows of a kind after each round. */
export interface FollowedKind {
  readonly objects: ReadonlyMap<string, StoredObject>;
  /** Milliseconds for which the store gave no answer before this one; 0 in steady state. */
  readonly awayMs: Millis;
}

/**
 * How a follower learns of changes: by a watch, which ends with each change, or by cheap reads that
 * may be a little old. A fleet has a few hosts that watch, and tell the others what is newest.
 */
export type FollowMode = 'watch' | 'poll';

/** What a follower is made of. */
export interface KindFollowerOptions {
  readonly store: WatchableStore;
  readonly kind: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Longest wait of one watch, in milliseconds. */
  readonly watchMs: Millis;
  /** Gets how to follow now; a watch where it is absent. */
  readonly mode?: () => FollowMode;
  /** Gets the milliseconds between two cheap reads where nobody says that there is something newer. */
  readonly pollMs?: () => Millis;
  /** Called after each round in which the store answered. */
  readonly onRound: (kind: FollowedKind) => void;
  /** Called when the store is lost, with why, and when it is back. */
  readonly onStore?: (state: 'lost' | 'regained', reason: string) => void;
}

/** Milliseconds between two cheap reads of a host that nobody tells of changes. */
export const LEAST_POLL_MS: Millis = 2_000;

/** Milliseconds between two cheap reads while what is known to be newer is not in them. */
const CATCH_UP_MS: Millis = 200;

/** Cheap reads, which may lag, after which what is known to be newer is read at its full price. */
const CHEAP_TRIES = 4;

/**
 * Milliseconds that a watch is given to show what a peer knows already. After that its connection is
 * taken to have gone silent, and everything is read anew over another one.
 */
const WATCH_LAG_MS: Millis = 250;

/** Retries while the store is away, in milliseconds: soon, since changes must be in force soon. */
const RETRY = { baseMs: 100, maxMs: 500 };

/**
 * Keeps a copy of all objects of a kind: a snapshot, then watches from its version on.
 *
 * A watch can be cut, can lose its history, or can go silent for good; each ends within the wait and
 * the deadline of a call, and a new snapshot then shows what was missed. Old answers that arrive late
 * never replace newer objects, since an object's version only grows.
 */
export class KindFollower {
  private readonly options: KindFollowerOptions;

  private readonly backoff: Backoff;

  private objects: ReadonlyMap<string, StoredObject> = new Map();

  /** Where the next watch goes on; undefined where a snapshot is needed. */
  private after: ObjectVersion | undefined;

  private answeredAt: Millis;

  private isLost = false;

  /** Whether the store was asked for everything before. */
  private hasRead = false;

  /** Version of the store at the last change of this kind that is known here. */
  private changedAt: ObjectVersion = 0;

  /** Highest version of a change that a peer has named. */
  private named: ObjectVersion = 0;

  private wake: () => void = () => undefined;

  private readonly pause: InterruptibleSleep;

  /** @param options - The store, the kind, and who is told. */
  constructor(options: KindFollowerOptions) {
    this.options = options;
    this.backoff = new Backoff(options.random, RETRY);
    this.pause = new InterruptibleSleep(options.clock);
    this.answeredAt = options.clock.now();
  }

  /** Gets when the store last answered, on the host's clock. */
  getAnsweredAt(): Millis {
    return this.answeredAt;
  }

  /** Gets the version of the store up to which changes are known; 0 before the first answer. */
  getVersion(): ObjectVersion {
    return this.after ?? 0;
  }

  /** Gets the version of the store at the last change of this kind; 0 before the first answer. */
  getChangedAt(): ObjectVersion {
    return this.changedAt;
  }

  /** Takes in that a peer knows of a change; one that is newer than this copy is read soon. */
  noteNewer(version: ObjectVersion): void {
    if (version <= this.named) return;
    this.named = version;
    if (version > this.getVersion()) this.wake();
  }

  /** Follows until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const problem = await this.step(signal);
      if (problem !== undefined && !signal.aborted) {
        this.after = undefined;
        this.noteLost(problem);
        await sleep(this.options.clock, this.backoff.next(), signal);
      }
    }
  }

  private step(signal: AbortSignal): Promise<string | undefined> {
    if (this.after === undefined) return this.readAll(this.isFirstRead() ? 'any' : 'newest');
    const mode = this.options.mode?.() ?? 'watch';
    return mode === 'watch' ? this.wait(this.after, signal) : this.poll(signal);
  }

  /**
   * An old answer is good enough to begin with: the watch or the poll after it goes on from its version.
   * After a failure it is not, since it could be older than what this host has acted on.
   */
  private isFirstRead(): boolean {
    const isFirst = !this.hasRead;
    this.hasRead = true;
    return isFirst;
  }

  /** Waits for a hint of a peer or for the next cheap read, and catches up. */
  private async poll(signal: AbortSignal): Promise<string | undefined> {
    this.wake = () => this.pause.interrupt();
    await this.pause.wait(this.options.pollMs?.() ?? LEAST_POLL_MS, signal);
    let tries = 0;
    let problem = await this.readAll('any');
    while (problem === undefined && this.named > this.getVersion() && !signal.aborted) {
      tries += 1;
      await sleep(this.options.clock, CATCH_UP_MS, signal);
      problem = await this.readAll(tries > CHEAP_TRIES ? 'newest' : 'any');
    }
    return problem;
  }

  /** Reads everything; gets why that failed. An answer that is older than this copy changes nothing. */
  private async readAll(freshness: 'newest' | 'any'): Promise<string | undefined> {
    const snapshot = await this.options.store.snapshot(this.options.kind, freshness);
    if (snapshot.isErr()) return describe(snapshot.error);
    if (snapshot.value.version < this.getVersion()) return undefined;
    this.objects = new Map(snapshot.value.objects.map((object) => [object.name, object]));
    this.after = snapshot.value.version;
    const versions = snapshot.value.objects.map((object) => object.version);
    this.changedAt = versions.reduce((a, b) => Math.max(a, b), this.changedAt);
    this.noteRound();
    return undefined;
  }

  /** Waits for changes; gets why that failed. A history that is gone is read anew at once. */
  private async wait(after: ObjectVersion, signal: AbortSignal): Promise<string | undefined> {
    const { store, kind, watchMs } = this.options;
    const overtaken = new AbortController();
    this.wake = () => this.giveUpLater(overtaken);
    // What a peer named while no watch waited is not told again.
    if (this.named > after) this.wake();
    const either = AbortSignal.any([signal, overtaken.signal]);
    const batch = await store.watch(kind, after, watchMs, either);
    this.wake = () => undefined;
    if (overtaken.signal.aborted) {
      this.after = undefined;
      return undefined;
    }
    if (batch.isErr()) {
      this.after = undefined;
      return batch.error.type === 'invalid' ? undefined : describe(batch.error);
    }
    const { events, next } = batch.value;
    this.objects = events.reduce(applyEvent, this.objects);
    this.after = Math.max(after, next);
    if (events.length > 0) this.changedAt = this.after;
    this.noteRound();
    return undefined;
  }

  /**
   * A watch can go silent for good while new connections work. A peer that knows of a newer change is
   * a sign of it long before the watch's own deadline.
   */
  private giveUpLater(overtaken: AbortController): void {
    this.options.clock.after(WATCH_LAG_MS, () => {
      if (this.named > this.getVersion()) overtaken.abort();
    });
  }

  private noteRound(): void {
    const now = this.options.clock.now();
    const awayMs = this.isLost ? now - this.answeredAt : 0;
    this.answeredAt = now;
    this.backoff.reset();
    if (this.isLost) this.options.onStore?.('regained', `away for ${Math.round(awayMs)} ms`);
    this.isLost = false;
    this.options.onRound({ objects: this.objects, awayMs });
  }

  private noteLost(reason: string): void {
    if (this.isLost) return;
    this.isLost = true;
    this.options.onStore?.('lost', reason);
  }
}

function applyEvent(
  objects: ReadonlyMap<string, StoredObject>,
  event: WatchEvent,
): ReadonlyMap<string, StoredObject> {
  const name = event.type === 'put' ? event.object.name : event.name;
  const version = event.type === 'put' ? event.object.version : event.version;
  const known = objects.get(name);
  if (known !== undefined && known.version > version) return objects;
  const next = new Map(objects);
  if (event.type === 'put') next.set(name, event.object);
  else next.delete(name);
  return next;
}

function describe(error: { readonly type: string; readonly message?: string }): string {
  return error.message ?? error.type;
}
