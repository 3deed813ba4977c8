import type { Clock, Millis } from '@camphorvane/core';
import type { PlatformError, StoredObject, WatchBatch, WatchableStore } from '@camphorvane/store';
import { err, ok, okAsync, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Milliseconds after which a call without a response ends. */
const CALL_TIMEOUT_MS: Millis = 1_200;

/** Milliseconds by which the timeout of a watch exceeds its wait. */
const WATCH_MARGIN_MS: Millis = 700;

const NO_RESPONSE: PlatformError = { type: 'unavailable', message: 'no response' };

/** How calls for a kind fail. */
export type CallFault =
  { readonly type: 'refused'; readonly error: PlatformError } | { readonly type: 'late' };

interface Watch {
  readonly kind: string;
  readonly after: number;
  end(result: Result<WatchBatch, PlatformError>): void;
}

/** In-memory store whose open connections can go silent, and which can fail a number of calls for a kind. */
export class FaultyStore {
  version = 1;

  /** Whether each call fails, without a response or at once. */
  outage: 'none' | 'silent' | 'refused' = 'none';

  private readonly clock: Clock;

  private objects: readonly StoredObject[] = [];

  private watches: readonly Watch[] = [];

  private faults: { readonly kind: string; readonly fault: CallFault }[] = [];

  /** @param clock - Clock of the host. */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Writes an object. */
  put(kind: string, name: string, value: unknown = {}): void {
    this.version += 1;
    const others = this.objects.filter((one) => one.kind !== kind || one.name !== name);
    this.objects = [...others, { kind, name, version: this.version, value }];
    this.notify(kind);
  }

  /** Removes an object. */
  remove(kind: string, name: string): void {
    this.version += 1;
    this.objects = this.objects.filter((one) => one.kind !== kind || one.name !== name);
    this.notify(kind);
  }

  /** Silences the open connections for good; new ones work. */
  silence(): void {
    this.watches = [];
  }

  /** Fails the next calls for a kind. */
  failNext(kind: string, count: number, fault: CallFault): void {
    this.faults = Array.from({ length: count }, () => ({ kind, fault }));
  }

  /** Gets the store interface with the calls that followers use. */
  asStore(): WatchableStore {
    const store: Pick<WatchableStore, 'snapshot' | 'watch'> = {
      snapshot: (kind) =>
        this.takeFault(kind, CALL_TIMEOUT_MS) ??
        okAsync({ objects: this.ofKind(kind), version: this.version }),
      watch: (kind, after, waitMs, signal) =>
        this.takeFault(kind, waitMs + WATCH_MARGIN_MS) ?? this.watch(kind, after, waitMs, signal),
    };
    return store as WatchableStore;
  }

  private takeFault(
    kind: string,
    timeoutMs: Millis,
  ): ResultAsync<never, PlatformError> | undefined {
    if (this.outage === 'silent') return this.failIn(timeoutMs, NO_RESPONSE);
    if (this.outage === 'refused') return this.failIn(1, NO_RESPONSE);
    const [next] = this.faults;
    if (next?.kind !== kind) return undefined;
    this.faults.shift();
    const { fault } = next;
    return fault.type === 'late'
      ? this.failIn(CALL_TIMEOUT_MS, NO_RESPONSE)
      : this.failIn(1, fault.error);
  }

  private failIn(ms: Millis, error: PlatformError): ResultAsync<never, PlatformError> {
    return new ResultAsync(
      new Promise((resolve) => {
        this.clock.after(ms, () => resolve(err(error)));
      }),
    );
  }

  private watch(
    kind: string,
    after: number,
    waitMs: Millis,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError> {
    return new ResultAsync(
      new Promise((resolve) => {
        const watch: Watch = { kind, after, end: resolve };
        this.watches = [...this.watches, watch];
        this.clock.after(waitMs, () => {
          if (!this.watches.includes(watch) || this.outage !== 'none') return;
          this.watches = this.watches.filter((one) => one !== watch);
          resolve(ok({ events: [], next: this.version }));
        });
        this.clock.after(waitMs + WATCH_MARGIN_MS, () => resolve(err(NO_RESPONSE)));
        signal.addEventListener('abort', () => resolve(err(NO_RESPONSE)), { once: true });
      }),
    );
  }

  /** Ends the watches of a kind, whose followers read a new snapshot. */
  private notify(kind: string): void {
    const ended = this.watches.filter((watch) => watch.kind === kind);
    this.watches = this.watches.filter((watch) => watch.kind !== kind);
    ended.forEach((watch) => watch.end(err({ type: 'invalid', message: 'history is gone' })));
  }

  private ofKind(kind: string): readonly StoredObject[] {
    return this.objects.filter((one) => one.kind === kind);
  }
}
