import type { Clock } from '@camphorvane/core';
import type {
  Expected,
  HostEntry,
  ObjectStore,
  ObjectVersion,
  PlatformError,
  StoredObject,
  WatchBatch,
  WatchEvent,
} from '@camphorvane/platform';
import { ResultAsync, err, errAsync, ok, type Result } from 'neverthrow';

/** When an injected failure strikes: before the call acts, or after it took effect. */
export type FaultMoment = 'before' | 'after';

interface Fault {
  readonly error: PlatformError;
  readonly moment: FaultMoment;
}

/** How many calls a store has carried out, by what they do. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
}

const UNAVAILABLE: PlatformError = { type: 'unavailable', message: 'no answer' };

/** A platform in memory for tests: versions, conditional writes, watches, outages, lost answers. */
export class MemoryObjectStore implements ObjectStore {
  /** The hosts that `hosts()` lists. */
  hostEntries: readonly HostEntry[] = [];

  /** While set, every call fails and nothing is stored. */
  down = false;

  /** Milliseconds that each call takes. */
  delayMs = 0;

  private readonly clock: Clock;

  private objects = new Map<string, StoredObject>();

  private log: WatchEvent[] = [];

  private version = 0;

  private faults: Fault[] = [];

  private waiting = new Set<() => void>();

  private counts = { reads: 0, writes: 0 };

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Makes the next write or read (not a watch) fail, before it acts or after it took effect. */
  failNext(error: PlatformError, moment: FaultMoment): void {
    this.faults.push({ error, moment });
  }

  /** Loses the answer to the next call that is not a watch, after the call took effect. */
  loseNextAnswer(): void {
    this.failNext(UNAVAILABLE, 'after');
  }

  /** Gets the calls made so far; failed ones count too. */
  getCounts(): CallCounts {
    return { ...this.counts };
  }

  /** Takes the platform down: waiting watches end without an answer. */
  takeDown(): void {
    this.down = true;
    this.wake();
  }

  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.act('reads', () => ok(this.objects.get(`${kind}/${name}`)));
  }

  put(
    kind: string,
    name: string,
    value: unknown,
    expected: Expected,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.act('writes', () => {
      const current = this.objects.get(`${kind}/${name}`);
      if ((current?.version ?? 'absent') !== expected) return err({ type: 'conflict', current });
      this.version += 1;
      const copy = JSON.parse(JSON.stringify(value)) as unknown;
      const object = { kind, name, version: this.version, value: copy };
      this.objects.set(`${kind}/${name}`, object);
      this.log.push({ type: 'put', object });
      this.wake();
      return ok(object);
    });
  }

  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError> {
    return this.act('writes', () => {
      const current = this.objects.get(`${kind}/${name}`);
      if (current?.version !== expected) return err({ type: 'conflict', current });
      this.version += 1;
      this.objects.delete(`${kind}/${name}`);
      this.log.push({ type: 'removed', kind, name, version: this.version });
      this.wake();
      return ok(undefined);
    });
  }

  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError> {
    return this.act('reads', () =>
      ok(
        [...this.objects.values()].filter(
          (object) => object.kind === kind && object.name.startsWith(prefix),
        ),
      ),
    );
  }

  watch(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError> {
    this.counts.reads += 1;
    if (this.down) return errAsync(UNAVAILABLE);
    return new ResultAsync(this.waitFor(kind, after, waitMs, signal));
  }

  hosts(): ResultAsync<readonly HostEntry[], PlatformError> {
    return this.act('reads', () => ok(this.hostEntries));
  }

  private async waitFor(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WatchBatch, PlatformError>> {
    const until = this.clock.now() + waitMs;
    while (!signal.aborted) {
      if (this.down) return err(UNAVAILABLE);
      const events = this.log.filter((event) => matches(event, kind, after));
      if (events.length > 0 || this.clock.now() >= until) {
        return ok({ events, next: Math.max(after, this.version) });
      }
      await this.change(until - this.clock.now(), signal);
    }
    return err(UNAVAILABLE);
  }

  private change(span: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      let cancel = (): void => undefined;
      const finish = (): void => {
        this.waiting.delete(finish);
        cancel();
        resolve();
      };
      cancel = this.clock.after(span, finish);
      this.waiting.add(finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  private wake(): void {
    [...this.waiting].forEach((run) => run());
  }

  private act<T>(
    kind: 'reads' | 'writes',
    run: () => Result<T, PlatformError>,
  ): ResultAsync<T, PlatformError> {
    this.counts[kind] += 1;
    if (this.down) return errAsync(UNAVAILABLE);
    const fault = this.faults.shift();
    if (fault?.moment === 'before') return errAsync(fault.error);
    const result = run();
    const answer = fault === undefined ? result : err(fault.error);
    return new ResultAsync(this.delayed(answer));
  }

  private delayed<T>(result: Result<T, PlatformError>): Promise<Result<T, PlatformError>> {
    if (this.delayMs === 0) return Promise.resolve(result);
    return new Promise((resolve) => {
      this.clock.after(this.delayMs, () => resolve(result));
    });
  }
}

function matches(event: WatchEvent, kind: string, after: ObjectVersion): boolean {
  return event.type === 'put'
    ? event.object.kind === kind && event.object.version > after
    : event.kind === kind && event.version > after;
}
