import {
  runInBackground,
  sleep,
  type AttemptId,
  type Clock,
  type HostId,
  type Incarnation,
  type Millis,
  type RandomSource,
} from '@camphorvane/core';
import type { ObjectStore, PlatformError, StoredObject } from '../ObjectStore.ts';
import type {
  Claim,
  ClaimOutcome,
  ClaimRequest,
  ClaimHolderState,
  StoredResponse,
} from './Claim.ts';
import { ClaimFinalizer, claimedRecord } from './ClaimFinalizer.ts';
import {
  CLAIM_KIND,
  claimObjectName,
  finishedClaimRecord,
  claimHolder,
  storedResponse,
  newClaimRecord,
  parseClaimRecord,
  type ClaimRecord,
} from './claimRecord.ts';

/** Settings of {@link IdempotencyClaims}. */
export interface IdempotencyClaimsOptions {
  /** The platform; its calls count against the host's budget with priority `claims`. */
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Gets the known state of the host that holds a claim; `unknown` where absent. */
  readonly holderState?: (host: HostId, incarnation: Incarnation) => ClaimHolderState;
  /** How long a finished claim is kept, in milliseconds. */
  readonly retentionMs?: Millis;
  /** Maximum time that a caller waits for its claim, in milliseconds. */
  readonly claimTimeoutMs?: Millis;
}

/**
 * Default retention of finished claims in milliseconds, one day: callers retry within minutes, and at
 * the platform's write rate the claims of a day stay at some millions of small objects.
 */
export const DEFAULT_RETENTION_MS: Millis = 86_400_000;

/** Default claim timeout in milliseconds; an early refusal lets a waiting caller act on it. */
const DEFAULT_DEADLINE_MS = 4000;

/** Delay between two attempts to write a claim, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Retry delay sent to callers while the platform is unavailable, in milliseconds. */
const RETRY_AFTER_MS = 2000;

interface OpenClaim {
  readonly record: ClaimRecord;
}

/** Outcome after one call to the platform; undefined where the claim has to be tried again. */
type CallOutcome = ClaimOutcome | undefined;

/**
 * Grants claims for calls that must run at most once.
 *
 * A claim is an object that is created before dispatch, conditional on its absence. Its creator may
 * dispatch the call once; any attempt that finds it may not, even when its holder is gone. A claim is
 * never taken over, since it is unknown whether a lost holder had dispatched the call.
 */
export class IdempotencyClaims {
  private readonly options: IdempotencyClaimsOptions;

  private readonly finalizer: ClaimFinalizer;

  /** Attempts with a write that got no response. */
  private readonly unanswered = new Set<AttemptId>();

  /** Attempts that timed out and whose claims may still be stored. */
  private readonly releasing = new Set<AttemptId>();

  /** Claims of this host that are running or whose outcome is not stored yet, by object name. */
  private readonly open = new Map<string, OpenClaim>();

  /** @param options - The platform, and the known states of other hosts. */
  constructor(options: IdempotencyClaimsOptions) {
    this.options = options;
    this.finalizer = new ClaimFinalizer(options.store, options.clock, options.random);
  }

  /** Gets the number of claims of this host that are running or whose outcome is not stored yet. */
  getOpenCount(): number {
    return this.open.size;
  }

  /** Gets the number of outcomes and removals that are not stored yet. */
  getPendingCount(): number {
    return this.finalizer.getPendingCount();
  }

  /**
   * Claims a call; must resolve before the call is dispatched.
   *
   * @param req - The call and the attempt that would run it.
   * @returns `claimed` where this attempt, and no other, may dispatch the call.
   */
  async claim(req: ClaimRequest): Promise<ClaimOutcome> {
    const name = claimObjectName(req);
    const own = this.open.get(name);
    if (own !== undefined) return this.outcomeFor(own.record, req);
    const record = newClaimRecord(req, this.options.clock.wall());
    this.open.set(name, { record });
    const outcome = await this.claimInPlatform(name, record, req);
    if (outcome.type !== 'claimed') this.open.delete(name);
    return outcome;
  }

  /**
   * Records that a claimed call has run; its response may be forwarded without waiting for this.
   *
   * @param claim - The claim.
   * @param answer - The whole response, stored for callers that send the call again; undefined for one
   *   that is too large to be stored.
   * @returns A promise that resolves when the outcome is stored.
   */
  async finish(claim: Claim, answer: StoredResponse | undefined): Promise<void> {
    const record = finishedClaimRecord(claimedRecord(claim), answer);
    this.unanswered.delete(claim.request.attempt);
    this.open.set(claim.name, { record });
    await this.finalizer.storeOutcome(claim, record);
    this.open.delete(claim.name);
  }

  /**
   * Releases a claim; only allowed where the call was certainly not dispatched.
   *
   * @param claim - The claim.
   * @returns A promise that resolves when the claim is removed, or its removal runs in the background.
   */
  async releaseUndispatched(claim: Claim): Promise<void> {
    const { attempt } = claim.request;
    if (this.unanswered.delete(attempt))
      runInBackground('claims.release', () => this.release(claim.name, attempt));
    else await this.finalizer.remove(claim);
    this.open.delete(claim.name);
  }

  /**
   * Records that a claimed call ended without a response after dispatch. The claim never expires, and
   * later calls with its key are refused with an unknown outcome.
   *
   * @param claim - The claim.
   * @returns A promise that resolves when the outcome is stored.
   */
  async markOutcomeUnknown(claim: Claim): Promise<void> {
    const record: ClaimRecord = { ...claimedRecord(claim), state: 'unknown' };
    this.unanswered.delete(claim.request.attempt);
    this.open.set(claim.name, { record });
    await this.finalizer.storeOutcome(claim, record);
    this.open.delete(claim.name);
  }

  /** Waits until all outcomes are stored; a draining host calls it before it stops. */
  whenDrained(): Promise<void> {
    return this.finalizer.whenDrained();
  }

  /** Stops storing outcomes; those not stored yet stay unknown. */
  stop(): Promise<void> {
    return this.finalizer.stop();
  }

  private async claimInPlatform(
    name: string,
    record: ClaimRecord,
    req: ClaimRequest,
  ): Promise<ClaimOutcome> {
    const { clock } = this.options;
    const until = clock.now() + (this.options.claimTimeoutMs ?? DEFAULT_DEADLINE_MS);
    while (clock.now() < until) {
      const put = await this.options.store.put(CLAIM_KIND, name, record, 'absent');
      if (put.isErr() && put.error.type === 'unavailable') this.unanswered.add(record.attempt);
      const result = put.isOk()
        ? this.granted(put.value, req, record)
        : await this.afterFailure(put.error, name, record, req);
      const isUndecided = result?.type === 'unavailable' && this.unanswered.has(record.attempt);
      if (result !== undefined && !isUndecided) return this.conclude(result, name, record.attempt);
      await sleep(clock, RETRY_DELAY_MS);
    }
    const outcome: ClaimOutcome = { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
    return this.conclude(outcome, name, record.attempt);
  }

  /** Releases a claim whose write got no response: it may yet take effect and block the caller's key. */
  private conclude(outcome: ClaimOutcome, name: string, attempt: AttemptId): ClaimOutcome {
    const mayBeStored = outcome.type !== 'claimed' && this.unanswered.delete(attempt);
    if (mayBeStored) runInBackground('claims.release', () => this.release(name, attempt));
    return outcome;
  }

  private async release(name: string, attempt: AttemptId): Promise<void> {
    this.releasing.add(attempt);
    await this.finalizer.release(name, attempt);
    this.releasing.delete(attempt);
  }

  private async afterFailure(
    error: PlatformError,
    name: string,
    record: ClaimRecord,
    req: ClaimRequest,
  ): Promise<CallOutcome> {
    switch (error.type) {
      case 'conflict':
        return error.current === undefined
          ? this.readBack(name, record, req)
          : this.resolveExisting(error.current, record, req);
      case 'unavailable':
        return this.readBack(name, record, req);
      case 'over_budget':
        return { type: 'unavailable', retryAfterMs: error.retryAfterMs };
      case 'invalid':
        return { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
      default:
        return error satisfies never;
    }
  }

  private async readBack(
    name: string,
    record: ClaimRecord,
    req: ClaimRequest,
  ): Promise<CallOutcome> {
    const read = await this.options.store.get(CLAIM_KIND, name);
    if (read.isErr() || read.value === undefined) return undefined;
    return this.resolveExisting(read.value, record, req);
  }

  /** Gets the outcome for a claim object that exists already. */
  private async resolveExisting(
    object: StoredObject,
    record: ClaimRecord,
    req: ClaimRequest,
  ): Promise<CallOutcome> {
    const stored = parseClaimRecord(object.value);
    if (stored === undefined) {
      return { type: 'in_use', holder: { attempt: '', host: '', incarnation: '' } };
    }
    if (stored.attempt === record.attempt) return this.granted(object, req, stored);
    if (this.releasing.has(stored.attempt)) return undefined;
    if (!this.isExpired(stored)) return this.outcomeFor(stored, req);
    const put = await this.options.store.put(CLAIM_KIND, object.name, record, object.version);
    return put.isOk() ? this.granted(put.value, req, record) : undefined;
  }

  private granted(object: StoredObject, request: ClaimRequest, record: ClaimRecord): ClaimOutcome {
    const { name, version } = object;
    return { type: 'claimed', claim: { name, version, request, claimedAt: record.claimedAt } };
  }

  private outcomeFor(stored: ClaimRecord, req: ClaimRequest): ClaimOutcome {
    if (stored.requestDigest !== req.requestDigest) return { type: 'mismatch' };
    if (stored.state === 'finished') return { type: 'finished', answer: storedResponse(stored) };
    const holder = claimHolder(stored);
    return this.isGone(stored, req)
      ? { type: 'outcome_unknown', holder }
      : { type: 'in_use', holder };
  }

  /** A claim of this process that is not open any more ended without a response. */
  private isGone(stored: ClaimRecord, req: ClaimRequest): boolean {
    const { host, incarnation, state } = stored;
    if (state === 'unknown') return true;
    const isOwn = host === req.host && incarnation === req.incarnation;
    if (isOwn) return this.open.get(claimObjectName(req))?.record.attempt !== stored.attempt;
    return this.options.holderState?.(host, incarnation) === 'gone';
  }

  /** Only finished claims expire: a call that may have run must never run again. */
  private isExpired(stored: ClaimRecord): boolean {
    const retention = this.options.retentionMs ?? DEFAULT_RETENTION_MS;
    return stored.state === 'finished' && this.options.clock.wall() - stored.claimedAt > retention;
  }
}
