import type { ResultAsync } from 'neverthrow';
import type { CallBudget, CallKind, CallPriority } from './CallBudget.ts';
import type {
  Expected,
  HostEntry,
  ObjectStore,
  ObjectVersion,
  PlatformError,
  StoredObject,
  WatchBatch,
} from './ObjectStore.ts';

/**
 * An object store whose calls are counted against the budget of the host.
 *
 * Each part of a host gets one with its own priority, over the same budget.
 */
export class BudgetedStore implements ObjectStore {
  private readonly store: ObjectStore;

  private readonly budget: CallBudget;

  private readonly priority: CallPriority;

  /**
   * @param store - Carries out the calls that fit.
   * @param budget - The budget that all parts of the host share.
   * @param priority - The part that makes the calls.
   */
  constructor(store: ObjectStore, budget: CallBudget, priority: CallPriority) {
    this.store = store;
    this.budget = budget;
    this.priority = priority;
  }

  /** {@inheritDoc ObjectStore.get} */
  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.counted('read', () => this.store.get(kind, name));
  }

  /** {@inheritDoc ObjectStore.put} */
  put(
    kind: string,
    name: string,
    value: unknown,
    expected: Expected,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.counted('write', () => this.store.put(kind, name, value, expected));
  }

  /** {@inheritDoc ObjectStore.remove} */
  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError> {
    return this.counted('write', () => this.store.remove(kind, name, expected));
  }

  /** {@inheritDoc ObjectStore.list} */
  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError> {
    return this.counted('read', () => this.store.list(kind, prefix));
  }

  /** {@inheritDoc ObjectStore.watch} */
  watch(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError> {
    return this.counted('read', () => this.store.watch(kind, after, waitMs, signal));
  }

  /** {@inheritDoc ObjectStore.hosts} */
  hosts(): ResultAsync<readonly HostEntry[], PlatformError> {
    return this.counted('read', () => this.store.hosts());
  }

  private counted<T>(
    kind: CallKind,
    call: () => ResultAsync<T, PlatformError>,
  ): ResultAsync<T, PlatformError> {
    return this.budget
      .take(kind, this.priority)
      .asyncAndThen(() => call().mapErr((error) => this.noted(error)));
  }

  /** A platform that refuses for its rate is left alone by all parts of the host, not by one. */
  private noted(error: PlatformError): PlatformError {
    if (error.type === 'over_budget') this.budget.pause(error.retryAfterMs);
    if (error.type === 'unavailable') this.budget.noteTrouble();
    return error;
  }
}
