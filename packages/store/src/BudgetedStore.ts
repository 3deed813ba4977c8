import type { ResultAsync } from 'neverthrow';
import type { CallBudget, CallKind, CallPriority } from './CallBudget.ts';
import type {
  ExpectedVersion,
  HostEntry,
  ObjectStore,
  ObjectVersion,
  PlatformError,
  StoredObject,
  WatchBatch,
} from './ObjectStore.ts';

/**
 * An object store whose calls count against the call budget of the host.
 *
 * Each component of a host uses its own instance, with its own priority and the same budget.
 */
export class BudgetedStore implements ObjectStore {
  private readonly store: ObjectStore;

  private readonly budget: CallBudget;

  private readonly priority: CallPriority;

  /**
   * @param store - The underlying store.
   * @param budget - The budget that all components of the host share.
   * @param priority - The priority of the calls.
   */
  constructor(store: ObjectStore, budget: CallBudget, priority: CallPriority) {
    this.store = store;
    this.budget = budget;
    this.priority = priority;
  }

  /** {@inheritDoc ObjectStore.get} */
  get(kind: string, name: string): ResultAsync<StoredObject | undefined, PlatformError> {
    return this.withBudget('read', () => this.store.get(kind, name));
  }

  /** {@inheritDoc ObjectStore.put} */
  put(
    kind: string,
    name: string,
    value: unknown,
    expected: ExpectedVersion,
  ): ResultAsync<StoredObject, PlatformError> {
    return this.withBudget('write', () => this.store.put(kind, name, value, expected));
  }

  /** {@inheritDoc ObjectStore.remove} */
  remove(kind: string, name: string, expected: ObjectVersion): ResultAsync<void, PlatformError> {
    return this.withBudget('write', () => this.store.remove(kind, name, expected));
  }

  /** {@inheritDoc ObjectStore.list} */
  list(kind: string, prefix: string): ResultAsync<readonly StoredObject[], PlatformError> {
    return this.withBudget('read', () => this.store.list(kind, prefix));
  }

  /** {@inheritDoc ObjectStore.watch} */
  watch(
    kind: string,
    after: ObjectVersion,
    waitMs: number,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError> {
    return this.withBudget('read', () => this.store.watch(kind, after, waitMs, signal));
  }

  /** {@inheritDoc ObjectStore.hosts} */
  hosts(): ResultAsync<readonly HostEntry[], PlatformError> {
    return this.withBudget('read', () => this.store.hosts());
  }

  private withBudget<T>(
    kind: CallKind,
    call: () => ResultAsync<T, PlatformError>,
  ): ResultAsync<T, PlatformError> {
    return this.budget
      .take(kind, this.priority)
      .asyncAndThen(() => call().mapErr((error) => this.recordError(error)));
  }

  /** Rate limiting by the platform pauses all components of the host, not only the caller. */
  private recordError(error: PlatformError): PlatformError {
    if (error.type === 'over_budget') this.budget.pause(error.retryAfterMs);
    if (error.type === 'unavailable') this.budget.recordFailure();
    return error;
  }
}
