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
import { waitOrAbort } from '../engine/waitOrAbort.ts';
import { CallRateLimiter } from './CallRateLimiter.ts';
import { NO_STORE_FAULTS } from './StoreFaults.ts';
import type { StoreFaults } from './StoreFaults.ts';

const MAX_VALUE_BYTES = 1_048_576;
const MAX_EVENTS = 100_000;

const UNAVAILABLE: PlatformError = { type: 'unavailable', message: 'platform is down' };

/** Time after its last heartbeat until a host is left out of the list. */
const HEARTBEAT_TTL_MS: Millis = 15_000;

interface HostListVersion {
  readonly at: Millis;
  readonly hosts: readonly HostEntry[];
}

/** An in-memory object API of the platform for tests, with injected outages and lost answers. */
export class MemoryObjectStore implements ObjectStore, HostRegistry {
  /** Number of calls received, for tests of the call budget. */
  readonly calls = { reads: 0, writes: 0 };

  private faultState: StoreFaults = NO_STORE_FAULTS;

  private version: ObjectVersion = 0;

  private readonly objects = new Map<string, StoredObject>();

  private events: readonly WatchEvent[] = [];

  private readonly pendingWatches = new Set<AbortController>();

  private readonly heartbeatAt = new Map<HostId, Millis>();

  private hostListHistory: readonly HostListVersion[] = [];

  private readonly reads: CallRateLimiter;

  private readonly writes: CallRateLimiter;

  /** @param clock - Clock for all delays and timestamps. */
  constructor(private readonly clock: Clock) {
    this.reads = new CallRateLimiter(clock, NO_STORE_FAULTS.readsPerSecond);
    this.writes = new CallRateLimiter(clock, NO_STORE_FAULTS.writesPerSecond);
  }

  /** Gets the injected faults. */
  get faults(): StoreFaults {
    return this.faultState;
  }

  /** Changes the given faults; going down fails all pending watches. */
  setFaults(change: Partial<StoreFaults>): void {
    this.faultState = { ...this.faultState, ...change };
    if (this.faultState.down) this.wakePendingWatches();
  }

  /** Reads one object. */
  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.read(() => ok(this.objects.get(keyOf(kind, name))));
  }

  /** Writes one object if its stored version is the expected one. */
  put(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.write(() => this.store(kind, name, value, expected));
  }

  /** Removes one object if its stored version is the expected one. */
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

  /** Long-polls for changes of a kind after a version. */
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

  /** Reads the list of hosts as it was `hostListLagMs` ago. */
  hosts(): ResultAsync<readonly HostEntry[], PlatformError> {
    return this.read(() => {
      const shownAt = this.clock.now() - this.faultState.hostListLagMs;
      const shown = this.hostListHistory.filter((list) => list.at <= shownAt).at(-1);
      return ok((shown?.hosts ?? []).filter((host) => this.hasHeartbeat(host.id, shownAt)));
    });
  }

  /** Records a heartbeat of a host. */
  register(entry: HostEntry): ResultAsync<void, PlatformError> {
    return this.write(() => {
      this.heartbeatAt.set(entry.id, this.clock.now());
      const known = this.currentHosts().find((host) => host.id === entry.id);
      if (JSON.stringify(known) !== JSON.stringify(entry)) this.setHost(entry);
      return ok(undefined);
    });
  }

  /** Removes a host that leaves. */
  deregister(id: HostId): ResultAsync<void, PlatformError> {
    return this.write(() => {
      this.removeHost(id);
      return ok(undefined);
    });
  }

  /** Adds or replaces the entry of a host; readers see it after `hostListLagMs`. */
  setHost(entry: HostEntry): void {
    const others = this.currentHosts().filter((host) => host.id !== entry.id);
    this.changeHosts([...others, entry].sort((a, b) => (a.id < b.id ? -1 : 1)));
  }

  /** Removes a host from the list; readers see it after `hostListLagMs`. */
  removeHost(id: HostId): void {
    this.changeHosts(this.currentHosts().filter((host) => host.id !== id));
  }

  /** Gets all objects for assertions in tests, without counting as a call. */
  snapshot(): readonly StoredObject[] {
    return [...this.objects.values()];
  }

  /** Tells whether the heartbeat of a host is recent; hosts added by `setHost` need none. */
  private hasHeartbeat(id: HostId, at: Millis): boolean {
    const last = this.heartbeatAt.get(id);
    return last === undefined || at - last <= HEARTBEAT_TTL_MS;
  }

  private currentHosts(): readonly HostEntry[] {
    return this.hostListHistory.at(-1)?.hosts ?? [];
  }

  private changeHosts(hosts: readonly HostEntry[]): void {
    this.hostListHistory = [...this.hostListHistory, { at: this.clock.now(), hosts }];
  }

  private store(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): Result<StoredObject, PlatformError> {
    const text = JSON.stringify(value);
    if (text === undefined || Buffer.byteLength(text) > MAX_VALUE_BYTES) {
      return err({ type: 'invalid', message: `${kind}/${name} is not JSON or exceeds 1 MiB` });
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
    this.events = [...this.events, event].slice(-MAX_EVENTS);
    this.wakePendingWatches();
  }

  private wakePendingWatches(): void {
    this.pendingWatches.forEach((wakeController) => wakeController.abort());
  }

  private async waitForChange(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WatchBatch, PlatformError>> {
    const deadline = this.clock.now() + waitMs;
    let found = this.changesAfter(kind, after);
    while (found.length === 0 && this.clock.now() < deadline && !signal.aborted) {
      const wakeController = new AbortController();
      this.pendingWatches.add(wakeController);
      const ended = AbortSignal.any([wakeController.signal, signal]);
      await waitOrAbort(this.clock, deadline - this.clock.now(), ended);
      this.pendingWatches.delete(wakeController);
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
    const retryAfterMs = this.reads.take(this.faultState.readsPerSecond);
    return new ResultAsync(this.answer(run, retryAfterMs));
  }

  private write<T>(run: () => Result<T, PlatformError>): ResultAsync<T, PlatformError> {
    this.calls.writes += 1;
    const retryAfterMs = this.writes.take(this.faultState.writesPerSecond);
    return new ResultAsync(this.answer(() => this.dropAnswer(run()), retryAfterMs));
  }

  private async answer<T>(
    run: () => Result<T, PlatformError>,
    retryAfterMs: Millis | undefined,
  ): Promise<Result<T, PlatformError>> {
    const halfDelayMs = this.faultState.delayMs / 2;
    await sleep(this.clock, halfDelayMs);
    if (this.faultState.down) return err(UNAVAILABLE);
    if (retryAfterMs !== undefined) return err({ type: 'over_budget', retryAfterMs });
    const result = run();
    await sleep(this.clock, halfDelayMs);
    return result;
  }

  private dropAnswer<T>(result: Result<T, PlatformError>): Result<T, PlatformError> {
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
