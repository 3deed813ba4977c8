import type {
  Clock,
  Millis,
  Refusal,
  TeamConfig,
  TeamId,
  Tokens,
  WorkClass,
} from '@camphorvane/core';
import { notRun, runInBackground, sleep } from '@camphorvane/core';
import type { RetryContext } from '@camphorvane/decisions';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RateCharge, RateGate } from '../host/ports.ts';

/**
 * Bounds of the delay between two attempts to charge a waiting request, in milliseconds. With shorter
 * delays a summary takes the tokens as soon as there are enough, and lookups find none.
 */
const RETRY_DELAY_MS = { min: 2_000, max: 4_000 };

const MS_PER_SECOND = 1_000;

/**
 * Share of a team's rate for waiting summaries. Without a bound they would take all tokens as they are
 * refilled, and leave none for the team's lookups, which do not wait.
 */
const WAITING_RATE_SHARE = 0.15;

/** Milliseconds for which summaries take no tokens after a lookup of their team was refused for lack of them. */
const REFUSAL_PAUSE_MS: Millis = 2_000;

/** A request to charge tokens to a team's rate. */
export interface ChargeRequest {
  readonly team: TeamConfig;
  readonly class: WorkClass;
  readonly tokens: Tokens;
  /** Longest wait, in milliseconds. */
  readonly maxWaitMs: Millis;
  /** What schedules the retry of a refused request; not used for requests that wait here. */
  readonly retry?: RetryContext;
}

interface TeamQueue {
  /** Tokens of all queued requests. */
  readonly tokens: Tokens;
  /** Resolves when the last queued request lets the next one proceed. */
  readonly tail: Promise<void>;
}

/**
 * Queues summaries, one FIFO queue a team, until the team's token bucket can pay for them.
 *
 * Avoids refusals in the seconds after a host that held part of a team's tokens crashed: the tokens are
 * refilled soon, while a refused summary costs its caller far more time. A request waits no longer than its
 * own bound; one that would have to wait longer, because its team sends far more than its rate, is
 * refused at once with a retry-after time. Lookups are never queued, as they would miss their target.
 */
export class RateQueue {
  private readonly clock: Clock;

  private readonly rates: RateGate;

  private readonly queues = new Map<TeamId, TeamQueue>();

  /** Time at which a request that is never queued was last refused, by team. */
  private readonly lastRefusalAt = new Map<TeamId, Millis>();

  /**
   * @param clock - Clock for the waits.
   * @param rates - Charges tokens to teams.
   */
  constructor(clock: Clock, rates: RateGate) {
    this.clock = clock;
    this.rates = rates;
  }

  /** Gets the tokens that the queued requests of a team ask for. */
  getQueuedTokens(team: TeamId): Tokens {
    return this.queues.get(team)?.tokens ?? 0;
  }

  /**
   * Charges a request, at once or after a wait in the queue.
   *
   * @param req - The team and the tokens to charge.
   * @param signal - Aborted when the caller disconnects.
   * @returns The charge, or a refusal.
   */
  async charge(req: ChargeRequest, signal: AbortSignal): Promise<Result<RateCharge, Refusal>> {
    const mayWait = req.class === 'summary';
    const isQueueing = mayWait && this.getQueuedTokens(req.team.id) > 0;
    if (isQueueing) return this.enqueue(req, 0, signal);
    const retry = mayWait ? undefined : req.retry;
    const first = await this.rates.charge(req.team.id, req.tokens, retry);
    if (first.isErr() && !mayWait) this.lastRefusalAt.set(req.team.id, this.clock.now());
    if (first.isOk() || !mayWait || first.error.retryAfterMs === undefined) return first;
    return this.enqueue(req, first.error.retryAfterMs, signal);
  }

  private async enqueue(
    req: ChargeRequest,
    refillMs: Millis,
    signal: AbortSignal,
  ): Promise<Result<RateCharge, Refusal>> {
    const expectedMs = refillMs + this.queueWaitMs(req);
    if (expectedMs > req.maxWaitMs) return err(queueTooLong(expectedMs));
    return this.waitInQueue(req, signal);
  }

  private queueWaitMs({ team }: ChargeRequest): Millis {
    return refillTimeMs(team, this.getQueuedTokens(team.id));
  }

  private async waitInQueue(
    req: ChargeRequest,
    signal: AbortSignal,
  ): Promise<Result<RateCharge, Refusal>> {
    const until = this.clock.now() + req.maxWaitMs;
    const previous = this.queues.get(req.team.id)?.tail ?? Promise.resolve();
    let release = (): void => undefined;
    const tail = new Promise<void>((resolve) => {
      release = resolve;
    });
    this.queues.set(req.team.id, {
      tokens: this.getQueuedTokens(req.team.id) + req.tokens,
      tail,
    });
    try {
      await previous;
      await this.pauseAfterRefusal(req, until, signal);
      const first = await this.rates.charge(req.team.id, req.tokens);
      // Tokens available at once are not scarce, so the next request need not be delayed.
      if (first.isOk()) {
        release();
        return first;
      }
      const result = await this.chargeUntil(req, until, signal);
      const holdMs = result.isOk() ? refillTimeMs(req.team, req.tokens) : 0;
      runInBackground('rates.hold', () => sleep(this.clock, holdMs).then(release));
      return result;
    } finally {
      this.dequeue(req);
    }
  }

  private async chargeUntil(
    req: ChargeRequest,
    until: Millis,
    signal: AbortSignal,
  ): Promise<Result<RateCharge, Refusal>> {
    let result = await this.rates.charge(req.team.id, req.tokens);
    while (result.isErr() && this.clock.now() < until && !signal.aborted) {
      const retryAfterMs = result.error.retryAfterMs ?? RETRY_DELAY_MS.max;
      const delayMs = Math.min(RETRY_DELAY_MS.max, Math.max(RETRY_DELAY_MS.min, retryAfterMs));
      await sleep(this.clock, delayMs, signal);
      await this.pauseAfterRefusal(req, until, signal);
      result = await this.rates.charge(req.team.id, req.tokens);
    }
    return result;
  }

  private async pauseAfterRefusal(
    { team }: ChargeRequest,
    until: Millis,
    signal: AbortSignal,
  ): Promise<void> {
    const waitMs = (): Millis => {
      const lastRefusalAt = this.lastRefusalAt.get(team.id) ?? -Infinity;
      return Math.min(lastRefusalAt + REFUSAL_PAUSE_MS, until) - this.clock.now();
    };
    while (waitMs() > 0 && !signal.aborted) await sleep(this.clock, waitMs(), signal);
  }

  private dequeue({ team, tokens }: ChargeRequest): void {
    const queue = this.queues.get(team.id);
    if (queue === undefined) return;
    if (queue.tokens <= tokens) this.queues.delete(team.id);
    else this.queues.set(team.id, { ...queue, tokens: queue.tokens - tokens });
  }
}

/** Gets the milliseconds in which the share for waiting summaries refills a number of tokens. */
function refillTimeMs({ rate }: TeamConfig, tokens: Tokens): Millis {
  return (tokens / (rate.tokensPerSecond * WAITING_RATE_SHARE)) * MS_PER_SECOND;
}

function queueTooLong(expectedMs: Millis): Refusal {
  const text = 'The team is over its rate, and its queue is longer than this request may wait.';
  return notRun('over_rate', text, Math.ceil(expectedMs));
}
