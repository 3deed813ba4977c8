import { sleep } from '@camphorvane/core';
import type { Clock, HostId, Millis } from '@camphorvane/core';
import type {
  ExpectedVersion,
  HostEntry,
  HostRegistry,
  ObjectStore,
  ObjectVersion,
  PlatformError,
  StoredObject,
  WatchBatch,
  WatchEvent,
} from '@camphorvane/store';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { interruptible } from '../engine/interruptible.ts';
import { CallRate } from './CallRate.ts';
import { NO_STORE_FAULTS } from './StoreFaults.ts';
import type { StoreFaults } from './StoreFaults.ts';

const MAX_VALUE_BYTES = 1_048_576;
const KEPT_EVENTS = 100_000;

const UNAVAILABLE: PlatformError = { type: 'unavailable', message: 'platform is down' };

/** Milliseconds after its last announcement at which a host is taken for gone. */
const ANNOUNCEMENT_LIFE_MS: Millis = 15_000;

interface HostList {
  readonly at: Millis;
  readonly hosts: readonly HostEntry[];
}

/** A stand-in of the platform's object API in memory, with its outages and lost answers. */
export class MemoryObjectStore implements ObjectStore, HostRegistry {
  /** Calls taken so far, for tests of the call budget. */
  readonly calls = { reads: 0, writes: 0 };

  private faultState: StoreFaults = NO_STORE_FAULTS;

  private version: ObjectVersion = 0;

  private readonly objects = new Map<string, StoredObject>();

  private events: readonly WatchEvent[] = [];

  private readonly waiting = new Set<AbortController>();

  private readonly announcedAt = new Map<HostId, Millis>();

  private hostLists: readonly HostList[] = [];

  private readonly reads: CallRate;

  private readonly writes: CallRate;

  /** @param clock - The time that the platform lives in. */
  constructor(private readonly clock: Clock) {
    this.reads = new CallRate(clock, NO_STORE_FAULTS.readsPerSecond);
    this.writes = new CallRate(clock, NO_STORE_FAULTS.writesPerSecond);
  }

  /** Gets what is wrong with the platform. */
  get faults(): StoreFaults {
    return this.faultState;
  }

  /** Changes what is wrong with the platform; waiting watches break when it goes down. */
  setFaults(change: Partial<StoreFaults>): void {
    this.faultState = { ...this.faultState, ...change };
    if (this.faultState.down) this.wakeWatches();
  }

  /** Reads one object. */
  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.read(() => ok(this.objects.get(keyOf(kind, name))));
  }

  /** Writes one object if what is stored is as expected. */
  put(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.write(() => this.store(kind, name, value, expected));
  }

  /** Removes one object if its version is as expected. */
  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError> {
    return this.write(() => {
      const current = this.objects.get(keyOf(kind, name));
      if (current?.version !== expected) return err({ type: 'conflict', current });
      this.objects.delete(keyOf(kind, name));
      this.version += 1;
      this.publish({ type: 'removed', kind, name, version: this.version });
      return ok(undefined);
    });
  }

  /** Lists the objects of a kind whose names start with a prefix. */
  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError> {
    return this.read(() =>
      ok(
        [...this.objects.values()]
          .filter((object) => object.kind === kind && object.name.startsWith(prefix))
          .sort((a, b) => (a.name < b.name ? -1 : 1)),
      ),
    );
  }

  /** Waits for changes of a kind after a version. */
  watch(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError> {
    return this.read(() => ok(undefined)).andThen(
      () => new ResultAsync(this.waitForChange(kind, after, waitMs, signal)),
    );
  }

  /** Reads the list of hosts as it was a while ago. */
  hosts(): ResultAsync<readonly HostEntry[], PlatformError> {
    return this.read(() => {
      const shownAt = this.clock.now() - this.faultState.hostListLagMs;
      const shown = this.hostLists.filter((list) => list.at <= shownAt).at(-1);
      return ok((shown?.hosts ?? []).filter((host) => this.isAnnounced(host.id, shownAt)));
    });
  }

  /** Takes in a host's heartbeat. */
  register(entry: HostEntry): ResultAsync<void, PlatformError> {
    return this.write(() => {
      this.announcedAt.set(entry.id, this.clock.now());
      const known = this.currentHosts().find((host) => host.id === entry.id);
      if (JSON.stringify(known) !== JSON.stringify(entry)) this.setHost(entry);
      return ok(undefined);
    });
  }

  /** Takes a host off the list at its own wish. */
  deregister(id: HostId): ResultAsync<void, PlatformError> {
    return this.write(() => {
      this.removeHost(id);
      return ok(undefined);
    });
  }

  /** Enters a host into the list, or changes its entry; readers see it after the lag. */
  setHost(entry: HostEntry): void {
    const others = this.currentHosts().filter((host) => host.id !== entry.id);
    this.changeHosts([...others, entry].sort((a, b) => (a.id < b.id ? -1 : 1)));
  }

  /** Takes a host out of the list. */
  removeHost(id: HostId): void {
    this.changeHosts(this.currentHosts().filter((host) => host.id !== id));
  }

  /** Gets all objects without a call, for checks of tests. */
  snapshot(): readonly StoredObject[] {
    return [...this.objects.values()];
  }

  /** A host that a test entered by hand stays; one that announces itself stays while it does. */
  private isAnnounced(id: HostId, at: Millis): boolean {
    const last = this.announcedAt.get(id);
    return last === undefined || at - last <= ANNOUNCEMENT_LIFE_MS;
  }

  private currentHosts(): readonly HostEntry[] {
    return this.hostLists.at(-1)?.hosts ?? [];
  }

  private changeHosts(hosts: readonly HostEntry[]): void {
    this.hostLists = [...this.hostLists, { at: this.clock.now(), hosts }];
  }

  private store(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): Result<StoredObject, PlatformError> {
    const text = JSON.stringify(value);
    if (text === undefined || Buffer.byteLength(text) > MAX_VALUE_BYTES) {
      return err({ type: 'invalid', message: `${kind}/${name} is not JSON below a megabyte` });
    }
    const current = this.objects.get(keyOf(kind, name));
    if ((current?.version ?? 'absent') !== expected) return err({ type: 'conflict', current });
    this.version += 1;
    const object = { kind, name, version: this.version, value: JSON.parse(text) as unknown };
    this.objects.set(keyOf(kind, name), object);
    this.publish({ type: 'put', object });
    return ok(object);
  }

  private publish(event: WatchEvent): void {
    this.events = [...this.events, event].slice(-KEPT_EVENTS);
    this.wakeWatches();
  }

  private wakeWatches(): void {
    this.waiting.forEach((waiter) => waiter.abort());
  }

  private async waitForChange(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WatchBatch, PlatformError>> {
    const until = this.clock.now() + waitMs;
    let found = this.changesAfter(kind, after);
    while (found.length === 0 && this.clock.now() < until && !signal.aborted) {
      const waiter = new AbortController();
      this.waiting.add(waiter);
      const ended = AbortSignal.any([waiter.signal, signal]);
      await interruptible(this.clock, until - this.clock.now(), ended);
      this.waiting.delete(waiter);
      if (this.faultState.down) return err(UNAVAILABLE);
      found = this.changesAfter(kind, after);
    }
    return ok({ events: found, next: Math.max(after, ...found.map(versionOf)) });
  }

  private changesAfter(kind: string, after: ObjectVersion): readonly WatchEvent[] {
    return this.events.filter((event) => kindOf(event) === kind && versionOf(event) > after);
  }

  private read<T>(run: () => Result<T, PlatformError>): ResultAsync<T, PlatformError> {
    this.calls.reads += 1;
    const wait = this.reads.take(this.faultState.readsPerSecond);
    return new ResultAsync(this.answer(run, wait));
  }

  private write<T>(run: () => Result<T, PlatformError>): ResultAsync<T, PlatformError> {
    this.calls.writes += 1;
    const wait = this.writes.take(this.faultState.writesPerSecond);
    return new ResultAsync(this.answer(() => this.loseAnswer(run()), wait));
  }

  private async answer<T>(
    run: () => Result<T, PlatformError>,
    retryAfterMs: Millis | undefined,
  ): Promise<Result<T, PlatformError>> {
    const half = this.faultState.delayMs / 2;
    await sleep(this.clock, half);
    if (this.faultState.down) return err(UNAVAILABLE);
    if (retryAfterMs !== undefined) return err({ type: 'over_budget', retryAfterMs });
    const result = run();
    await sleep(this.clock, half);
    return result;
  }

  private loseAnswer<T>(result: Result<T, PlatformError>): Result<T, PlatformError> {
    const { lostAnswers } = this.faultState;
    if (lostAnswers === 0 || result.isErr()) return result;
    this.setFaults({ lostAnswers: lostAnswers - 1 });
    return err({ type: 'unavailable', message: 'the answer was lost' });
  }
}

function keyOf(kind: string, name: string): string {
  return `${kind}/${name}`;
}

function kindOf(event: WatchEvent): string {
  return event.type === 'put' ? event.object.kind : event.kind;
}

function versionOf(event: WatchEvent): ObjectVersion {
  return event.type === 'put' ? event.object.version : event.version;
}
