import type { Millis, TeamId, Tokens } from '@camphorvane/core';
import { DecayingSums } from '../structures/DecayingSums.ts';
import type { RetryContext } from '../turns/RetryContext.ts';
import type { ReturnTurns } from '../turns/ReturnTurns.ts';
import type { TurnOffer } from '../turns/TurnScheduler.ts';

/** Time constant of the mean rate of this host's charges, in milliseconds: some requests of one team. */
const RATE_AVERAGING_MS: Millis = 1_000;

/** The turns of each team that is over its rate. */
export interface TeamTurns {
  /** Gets the turns of a team; undefined where none were given or quoted lately. */
  find(team: TeamId): ReturnTurns | undefined;

  /** Gets the turns of a team, and creates them where there are none. */
  get(team: TeamId): ReturnTurns;
}

/** A request to charge tokens to a team, and the state of the team's bucket. */
export interface RateRequest {
  readonly team: TeamId;
  /** Most tokens that the request may use. */
  readonly tokens: Tokens;
  /** Tokens that the bucket must hold. */
  readonly needed: Tokens;
  readonly level: Tokens;
  /** Refill rate in tokens a millisecond. */
  readonly perMs: number;
  /** Recent charges of all other hosts, in tokens a millisecond. */
  readonly peersPerMs: number;
  /** Number of hosts that share the rate. */
  readonly hostCount: number;
}

/**
 * Decides with turns whether a request may be charged to its team's rate.
 *
 * Tokens of a turn count as taken only while the turn may still be used, and only for requests that are not
 * more urgent. A caller that returns in its turn may spend them, wherever the turn was given.
 */
export class RateTurns {
  private readonly turns: TeamTurns;

  private readonly ownCharges = new DecayingSums<TeamId>(RATE_AVERAGING_MS);

  private prunedAt: Millis = 0;

  /** @param turns - The turns of each team. */
  constructor(turns: TeamTurns) {
    this.turns = turns;
  }

  /**
   * Decides on a request. One that may be charged is counted as charged.
   *
   * @param req - The request.
   * @param retry - What its caller declares.
   * @param now - Present time.
   * @returns The retry time of a refused request; undefined for one that may be charged.
   */
  refuse(req: RateRequest, retry: RetryContext, now: Millis): TurnOffer | undefined {
    const { team, tokens, needed, level } = req;
    const { ageMs, priority, leftMs, targetMs } = retry;
    const known = this.turns.find(team);
    const drainPerMs = req.perMs * this.ownPart(req, now);
    const isInTurn = known?.statusOf(ageMs, priority, now) === 'in_turn';
    const reserved = known?.reservedUnits(priority, drainPerMs, now) ?? 0;
    if (level - (isInTurn ? 0 : reserved) >= needed) {
      if (isInTurn) known?.recordReturn(priority, now);
      this.recordCharge(team, tokens, now);
      return undefined;
    }
    const drain = { drainPerMs, backlogMs: Math.max(0, -level) / drainPerMs };
    const inStock = Math.max(0, level - reserved);
    const turn = { team, priority, units: tokens, leftMs, targetMs };
    return this.turns.get(team).grant(turn, drain, now, inStock);
  }

  /**
   * Gets the fraction of a team's rate that this host gives out: its part of the team's recent charges on all
   * hosts, but at least an equal part. Of 68 hosts only 12 may take callers; with equal parts alone most of
   * the rate would be given to nobody.
   */
  private ownPart({ team, peersPerMs, hostCount }: RateRequest, now: Millis): number {
    const own = this.ownCharges.ratePerMs(team, now);
    const equalPart = 1 / hostCount;
    return own + peersPerMs > 0 ? Math.max(equalPart, own / (own + peersPerMs)) : equalPart;
  }

  private recordCharge(team: TeamId, tokens: Tokens, now: Millis): void {
    this.ownCharges.add(team, tokens, now);
    if (now - this.prunedAt < RATE_AVERAGING_MS) return;
    this.prunedAt = now;
    this.ownCharges.prune(now);
  }
}
