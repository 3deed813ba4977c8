import {
  sleep,
  type AttemptId,
  type Clock,
  type HostId,
  type Incarnation,
  type Millis,
  type RandomSource,
} from '@camphorvane/core';
import type { ObjectStore, PlatformError, StoredObject } from '../ObjectStore.ts';
import type { Claim, ClaimOutcome, ClaimRequest, HolderState, KeptAnswer } from './Claim.ts';
import { ClaimSettler, recordOf } from './ClaimSettler.ts';
import {
  CLAIM_KIND,
  claimName,
  finishedRecord,
  holderOf,
  keptAnswer,
  newRecord,
  readRecord,
  type ClaimRecord,
} from './claimRecord.ts';

/** Settings of {@link IdempotencyClaims}. */
export interface IdempotencyClaimsOptions {
  /** The platform, counted against the host's budget as `claims`. */
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Tells what is known of the host that holds a claim; `unknown` unless given. */
  readonly holderState?: (host: HostId, incarnation: Incarnation) => HolderState;
  /** How long a finished call is remembered, in milliseconds. */
  readonly retentionMs?: Millis;
  /** Longest time that a caller waits for its claim, in milliseconds. */
  readonly deadlineMs?: Millis;
}

/**
 * A finished call is remembered for a day: callers send again within minutes, and a day's claims at
 * the rate that the platform allows stay some millions of small objects.
 */
export const DEFAULT_RETENTION_MS: Millis = 86_400_000;

/** A caller with a truck waiting is better served by a refusal that it may act on. */
const DEFAULT_DEADLINE_MS = 4000;

/** Wait between a call that failed and the next one, in milliseconds. */
const PAUSE_MS = 100;

/** Told to callers while the platform does not answer, in milliseconds. */
const RETRY_AFTER_MS = 2000;

interface OpenClaim {
  readonly record: ClaimRecord;
}

/** What one call to the platform settled; undefined where its answer may have been lost. */
type Settled = ClaimOutcome | undefined;

/**
 * Claims of calls that must run at most once.
 *
 * A claim is an object that is created before dispatch on condition that there is none. Whoever
 * created it may dispatch, once; whoever finds it may not, whatever became of its holder. It is never
 * taken over: nobody can tell whether a holder that is gone had dispatched.
 */
export class IdempotencyClaims {
  private readonly options: IdempotencyClaimsOptions;

  private readonly settler: ClaimSettler;

  /** Attempts of which a write got no answer. */
  private readonly unanswered = new Set<AttemptId>();

  /** Attempts that gave up and whose claims may still be stored. */
  private readonly releasing = new Set<AttemptId>();

  /** Claims of this host that are running, or whose end is not stored yet. */
  private readonly open = new Map<string, OpenClaim>();

  /** @param options - The platform, and what is known of other hosts. */
  constructor(options: IdempotencyClaimsOptions) {
    this.options = options;
    this.settler = new ClaimSettler(options.store, options.clock, options.random);
  }

  /** Gets the number of claims of this host that are running or not yet stored as finished. */
  getOpen(): number {
    return this.open.size;
  }

  /** Gets the number of ends that still have to be stored. */
  getPending(): number {
    return this.settler.getPending();
  }

  /**
   * Claims a call; to be awaited before anything is dispatched.
   *
   * @param req - The call and the attempt that would run it.
   * @returns `claimed` where this attempt, and no other, may dispatch the call.
   */
  async claim(req: ClaimRequest): Promise<ClaimOutcome> {
    const name = claimName(req);
    const own = this.open.get(name);
    if (own !== undefined) return this.judge(own.record, req);
    const record = newRecord(req, this.options.clock.wall());
    this.open.set(name, { record });
    const outcome = await this.claimInPlatform(name, record, req);
    if (outcome.type !== 'claimed') this.open.delete(name);
    return outcome;
  }

  /**
   * Notes that a claimed call has run; its answer may be passed on at once.
   *
   * @param claim - The claim.
   * @param answer - The whole answer, kept for callers that send again.
   * @returns A promise that resolves when the end is stored.
   */
  async finish(claim: Claim, answer: KeptAnswer): Promise<void> {
    const record = finishedRecord(recordOf(claim), answer);
    this.unanswered.delete(claim.request.attempt);
    this.open.set(claim.name, { record });
    await this.settler.finish(claim, record);
    this.open.delete(claim.name);
  }

  /**
   * Gives a claim back; only where the call was provably not dispatched.
   *
   * @param claim - The claim.
   * @returns A promise that resolves when the claim is gone from the platform, or on its way.
   */
  async abandon(claim: Claim): Promise<void> {
    const { attempt } = claim.request;
    if (this.unanswered.delete(attempt)) void this.release(claim.name, attempt);
    else await this.settler.remove(claim);
    this.open.delete(claim.name);
  }

  /**
   * Notes that a claimed call ended without an answer after dispatch. The claim stays for good, and
   * callers that send again are told that the outcome is unknown.
   *
   * @param claim - The claim.
   * @returns A promise that resolves when this is stored.
   */
  async leaveUnknown(claim: Claim): Promise<void> {
    const record: ClaimRecord = { ...recordOf(claim), state: 'unknown' };
    this.unanswered.delete(claim.request.attempt);
    this.open.set(claim.name, { record });
    await this.settler.finish(claim, record);
    this.open.delete(claim.name);
  }

  /** Waits until all ends are stored; a host that drains calls it before it leaves. */
  drained(): Promise<void> {
    return this.settler.drained();
  }

  /** Stops storing ends; what is left stays unknown. */
  stop(): Promise<void> {
    return this.settler.stop();
  }

  private async claimInPlatform(
    name: string,
    record: ClaimRecord,
    req: ClaimRequest,
  ): Promise<ClaimOutcome> {
    const { clock } = this.options;
    const until = clock.now() + (this.options.deadlineMs ?? DEFAULT_DEADLINE_MS);
    while (clock.now() < until) {
      const put = await this.options.store.put(CLAIM_KIND, name, record, 'absent');
      if (put.isErr() && put.error.type === 'unavailable') this.unanswered.add(record.attempt);
      const settled = put.isOk()
        ? this.claimed(put.value, req, record)
        : await this.afterFailure(put.error, name, record, req);
      const isOpen = settled?.type === 'unavailable' && this.unanswered.has(record.attempt);
      if (settled !== undefined && !isOpen) return this.ended(settled, name, record.attempt);
      await sleep(clock, PAUSE_MS);
    }
    const outcome: ClaimOutcome = { type: 'unavailable', retryAfterMs: RETRY_AFTER_MS };
    return this.ended(outcome, name, record.attempt);
  }

  /** A write without an answer may yet arrive; left there, it would bar the caller's key. */
  private ended(outcome: ClaimOutcome, name: string, attempt: AttemptId): ClaimOutcome {
    const isLeft = outcome.type !== 'claimed' && this.unanswered.delete(attempt);
    if (isLeft) void this.release(name, attempt);
    return outcome;
  }

  private async release(name: string, attempt: AttemptId): Promise<void> {
    this.releasing.add(attempt);
    await this.settler.release(name, attempt);
    this.releasing.delete(attempt);
  }

  private async afterFailure(
    error: PlatformError,
    name: string,
    record: ClaimRecord,
    req: ClaimRequest,
  ): Promise<Settled> {
    switch (error.type) {
      case 'conflict':
        return error.current === undefined
          ? this.readBack(name, record, req)
          : this.found(error.current, record, req);
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

  private async readBack(name: string, record: ClaimRecord, req: ClaimRequest): Promise<Settled> {
    const read = await this.options.store.get(CLAIM_KIND, name);
    if (read.isErr() || read.value === undefined) return undefined;
    return this.found(read.value, record, req);
  }

  /** Tells what an object that stands where the claim should go means. */
  private async found(
    object: StoredObject,
    record: ClaimRecord,
    req: ClaimRequest,
  ): Promise<Settled> {
    const stored = readRecord(object.value);
    if (stored === undefined) {
      return { type: 'in_use', holder: { attempt: '', host: '', incarnation: '' } };
    }
    if (stored.attempt === record.attempt) return this.claimed(object, req, stored);
    if (this.releasing.has(stored.attempt)) return undefined;
    if (!this.isExpired(stored)) return this.judge(stored, req);
    const put = await this.options.store.put(CLAIM_KIND, object.name, record, object.version);
    return put.isOk() ? this.claimed(put.value, req, record) : undefined;
  }

  private claimed(object: StoredObject, request: ClaimRequest, record: ClaimRecord): ClaimOutcome {
    const { name, version } = object;
    return { type: 'claimed', claim: { name, version, request, claimedAt: record.claimedAt } };
  }

  private judge(stored: ClaimRecord, req: ClaimRequest): ClaimOutcome {
    if (stored.requestDigest !== req.requestDigest) return { type: 'mismatch' };
    if (stored.state === 'finished') return { type: 'finished', answer: keptAnswer(stored) };
    const holder = holderOf(stored);
    return this.isGone(stored, req)
      ? { type: 'outcome_unknown', holder }
      : { type: 'in_use', holder };
  }

  /** A claim of this very process that is not open any more was left without an answer. */
  private isGone(stored: ClaimRecord, req: ClaimRequest): boolean {
    const { host, incarnation, state } = stored;
    if (state === 'unknown') return true;
    const isOwn = host === req.host && incarnation === req.incarnation;
    if (isOwn) return this.open.get(claimName(req))?.record.attempt !== stored.attempt;
    return this.options.holderState?.(host, incarnation) === 'gone';
  }

  /** Only a finished call is ever forgotten: one that may have run must never run again. */
  private isExpired(stored: ClaimRecord): boolean {
    const retention = this.options.retentionMs ?? DEFAULT_RETENTION_MS;
    return stored.state === 'finished' && this.options.clock.wall() - stored.claimedAt > retention;
  }
}
