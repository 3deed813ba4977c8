import type {
  Clock,
  Millis,
  Refusal,
  TeamConfig,
  TeamId,
  Tokens,
  WorkClass,
} from '@camphorvane/core';
import { notRun, sleep } from '@camphorvane/core';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RateCharge, RateGate } from '../host/ports.ts';

/**
 * Bounds of the pause between two tries to charge a waiting request, in milliseconds. With shorter
 * ones a summary takes the tokens in the moment that they suffice, and lookups find none.
 */
const TRY_AGAIN_MS = { least: 2_000, most: 4_000 };

const MS_PER_SECOND = 1_000;

/**
 * Part of a team's rate that waiting summaries may take. They take what comes in as soon as it comes,
 * so without a bound the team's lookups, which do not wait, would find nothing left.
 */
const WAITING_PART = 0.15;

/** Milliseconds for which summaries hold back after a lookup of their team was refused. */
const LOOKUPS_FIRST_MS: Millis = 2_000;

/** What a request wants to be charged. */
export interface RateWish {
  readonly team: TeamConfig;
  readonly class: WorkClass;
  readonly tokens: Tokens;
  /** Longest wait, in milliseconds. */
  readonly maxWaitMs: Millis;
}

interface Line {
  readonly tokens: Tokens;
  /** Resolves when the request before has been charged or has left. */
  readonly last: Promise<void>;
}

/**
 * Lets summaries wait for their team's rate, one after the other.
 *
 * It is made for the seconds after a host has died with part of a team's tokens. A summary may wait,
 * so refusing it would cost its caller a morning for the sake of a moment. The wait is bounded by the
 * request's own bound, and a request that can't be reached within it, because its team asks for far
 * more than its rate, is refused at once and told when to come back. Lookups do not wait here: they
 * would miss their target.
 */
export class RateQueue {
  private readonly clock: Clock;

  private readonly rates: RateGate;

  private readonly lines = new Map<TeamId, Line>();

  /** When a request that does not wait was last refused, by team. */
  private readonly refusedAt = new Map<TeamId, Millis>();

  /**
   * @param clock - Times waits.
   * @param rates - Charges teams.
   */
  constructor(clock: Clock, rates: RateGate) {
    this.clock = clock;
    this.rates = rates;
  }

  /** Gets the tokens that requests of a team wait for. */
  getWaitingTokens(team: TeamId): Tokens {
    return this.lines.get(team)?.tokens ?? 0;
  }

  /**
   * Charges a request, at once or after a wait.
   *
   * @param wish - What is to be charged.
   * @param signal - Aborted when the caller has gone.
   * @returns The charge, or a refusal.
   */
  async charge(wish: RateWish, signal: AbortSignal): Promise<Result<RateCharge, Refusal>> {
    const mayWait = wish.class === 'summary';
    const hasLine = mayWait && this.getWaitingTokens(wish.team.id) > 0;
    if (hasLine) return this.waitBehindOthers(wish, 0, signal);
    const first = await this.rates.charge(wish.team.id, wish.tokens);
    if (first.isErr() && !mayWait) this.refusedAt.set(wish.team.id, this.clock.now());
    if (first.isOk() || !mayWait || first.error.retryAfterMs === undefined) return first;
    return this.waitBehindOthers(wish, first.error.retryAfterMs, signal);
  }

  private async waitBehindOthers(
    wish: RateWish,
    lackMs: Millis,
    signal: AbortSignal,
  ): Promise<Result<RateCharge, Refusal>> {
    const expectedMs = lackMs + this.waitBehind(wish);
    if (expectedMs > wish.maxWaitMs) return err(behind(expectedMs));
    return this.waitInLine(wish, signal);
  }

  private waitBehind({ team }: RateWish): Millis {
    return paceMs(team, this.getWaitingTokens(team.id));
  }

  private async waitInLine(
    wish: RateWish,
    signal: AbortSignal,
  ): Promise<Result<RateCharge, Refusal>> {
    const until = this.clock.now() + wish.maxWaitMs;
    const before = this.lines.get(wish.team.id)?.last ?? Promise.resolve();
    let leave = (): void => undefined;
    const last = new Promise<void>((resolve) => {
      leave = resolve;
    });
    this.lines.set(wish.team.id, {
      tokens: this.getWaitingTokens(wish.team.id) + wish.tokens,
      last,
    });
    try {
      await before;
      await this.letLookupsPass(wish, until, signal);
      const first = await this.rates.charge(wish.team.id, wish.tokens);
      // Tokens that are there at once are plenty; only those that are waited for are scarce.
      if (first.isOk()) {
        leave();
        return first;
      }
      const result = await this.tryUntil(wish, until, signal);
      const restMs = result.isOk() ? paceMs(wish.team, wish.tokens) : 0;
      void sleep(this.clock, restMs).then(leave);
      return result;
    } finally {
      this.shorten(wish);
    }
  }

  private async tryUntil(
    wish: RateWish,
    until: Millis,
    signal: AbortSignal,
  ): Promise<Result<RateCharge, Refusal>> {
    let result = await this.rates.charge(wish.team.id, wish.tokens);
    while (result.isErr() && this.clock.now() < until && !signal.aborted) {
      const pause = result.error.retryAfterMs ?? TRY_AGAIN_MS.most;
      const bounded = Math.min(TRY_AGAIN_MS.most, Math.max(TRY_AGAIN_MS.least, pause));
      await sleep(this.clock, bounded, signal);
      await this.letLookupsPass(wish, until, signal);
      result = await this.rates.charge(wish.team.id, wish.tokens);
    }
    return result;
  }

  private async letLookupsPass(
    { team }: RateWish,
    until: Millis,
    signal: AbortSignal,
  ): Promise<void> {
    const waitMs = (): Millis => {
      const refusedAt = this.refusedAt.get(team.id) ?? -Infinity;
      return Math.min(refusedAt + LOOKUPS_FIRST_MS, until) - this.clock.now();
    };
    while (waitMs() > 0 && !signal.aborted) await sleep(this.clock, waitMs(), signal);
  }

  private shorten({ team, tokens }: RateWish): void {
    const line = this.lines.get(team.id);
    if (line === undefined) return;
    if (line.tokens <= tokens) this.lines.delete(team.id);
    else this.lines.set(team.id, { ...line, tokens: line.tokens - tokens });
  }
}

/** Gets how long waiting summaries take for so many tokens of their team's rate. */
function paceMs({ rate }: TeamConfig, tokens: Tokens): Millis {
  return (tokens / (rate.tokensPerSecond * WAITING_PART)) * MS_PER_SECOND;
}

function behind(expectedMs: Millis): Refusal {
  const text =
    'The team is over its rate, and more of its requests wait than this one may wait for.';
  return notRun('over_rate', text, Math.ceil(expectedMs));
}
