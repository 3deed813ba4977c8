import type { Millis, TeamId, Tokens } from '@camphorvane/core';
import { DecayingSums } from '../structures/DecayingSums.ts';
import { RETRY_THRESHOLD } from '../queue/RequestAgeEstimator.ts';
import type { RetryContext } from '../turns/RetryContext.ts';
import type { ReturnTurns } from '../turns/ReturnTurns.ts';
import type { TurnOffer } from '../turns/TurnScheduler.ts';

/**
 * Time constant of the charges by which hosts divide a rate, in milliseconds. With 3 s, a host of twelve that
 * charged two requests in a row gave out twice its part.
 */
const PART_AVERAGING_MS: Millis = 10_000;

/** Milliseconds of charges for which equal parts count, beside the measured parts. */
const PRIOR_MS: Millis = 1_000;

/** Longest time for which the last known charges of the other hosts are extended, in milliseconds. */
const MAX_EXTENSION_MS: Millis = 1_000;

/**
 * Fraction of the rate that turns take. Callers return at random hosts and at random moments; without a
 * margin, each shortage that this causes would last.
 */
const BOOKED_FRACTION = 0.9;

/**
 * Milliseconds before its time at which the tokens of a turn must be there: hosts learn of each other's
 * charges up to 700 ms late.
 */
const STOCK_LEAD_MS: Millis = 700;

/** Time constant of the measured refusals, in milliseconds; short, so that a burst shows after its first ones. */
const DEMAND_AVERAGING_MS: Millis = 300;

/**
 * Fraction of its whole time after which a caller that returns can be told from a new one, with a margin for
 * the times that callers round.
 */
const RECOGNISABLE_FRACTION = 1 - RETRY_THRESHOLD + 0.01;

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
  /** Refill rate in tokens a millisecond, without the parts of hosts that have timed out. */
  readonly perMs: number;
  /** Recent charges of the other hosts that this one hears, in tokens a millisecond. */
  readonly peersPerMs: number;
  /** Number of hosts that this one hears, and itself. */
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

  private readonly ownCharges = new DecayingSums<TeamId>(PART_AVERAGING_MS);

  private readonly peerCharges = new DecayingSums<TeamId>(PART_AVERAGING_MS);

  private readonly refusals = new DecayingSums<TeamId>(DEMAND_AVERAGING_MS);

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
    const ownPart = this.ownPart(req, now);
    const drainPerMs = req.perMs * ownPart * BOOKED_FRACTION;
    const isInTurn = known?.statusOf(ageMs, priority, now) === 'in_turn';
    const reserved = this.reservedTokens(req, known, priority, ownPart, now);
    if (level - (isInTurn ? 0 : reserved) >= needed) {
      if (isInTurn) known?.recordReturn(priority, now);
      this.recordCharge(team, tokens, now);
      return undefined;
    }
    const refillMs = Math.max(0, -level) / req.perMs;
    const inStock = Math.max(0, level - reserved) * ownPart;
    // The tokens of a large request may flow in before its caller can be told from a new one.
    const inflowMs = Math.max(0, tokens - inStock) / drainPerMs;
    const recognisableMs = this.recognisableMs(team, drainPerMs, retry, now);
    this.refusals.add(team, tokens, now);
    const drain = { drainPerMs, backlogMs: Math.max(refillMs, recognisableMs - inflowMs) };
    const turn = { team, priority, units: tokens, leftMs, targetMs };
    return this.turns.get(team).grant(turn, drain, now, inStock);
  }

  /**
   * Gets the tokens that are kept for the turns of all hosts, since they are all served from the same rate: for
   * those of this host, and for the returns to any host that the quotes let expect soon.
   */
  private reservedTokens(
    { perMs, tokens }: RateRequest,
    known: ReturnTurns | undefined,
    priority: number,
    ownPart: number,
    now: Millis,
  ): Tokens {
    if (known === undefined) return 0;
    const drainPerMs = perMs * ownPart * BOOKED_FRACTION;
    const own = known.reservedUnits(priority, { drainPerMs, leadMs: STOCK_LEAD_MS }, now);
    return Math.max(own, known.dueUnits(priority, STOCK_LEAD_MS, now, tokens));
  }

  /**
   * Gets the fraction of a team's rate that this host gives out: its part of the team's recent charges on all
   * hosts, and an equal part for as long as little is known. The parts of all hosts sum up to one. Of 68 hosts
   * only 12 may take callers; with equal parts alone most of the rate would be given to nobody.
   */
  private ownPart({ team, perMs, peersPerMs, hostCount }: RateRequest, now: Millis): number {
    const elapsedMs = now - (this.peerCharges.updatedAt(team) ?? now);
    this.peerCharges.add(team, peersPerMs * Math.min(elapsedMs, MAX_EXTENSION_MS), now);
    const own = this.ownCharges.get(team, now);
    const peers = this.peerCharges.get(team, now);
    const prior = perMs * PRIOR_MS;
    return (own + prior / hostCount) / (own + peers + prior);
  }

  /**
   * Gets the milliseconds after which a returning caller can be told from a new one. It matters while new
   * requests alone use up the rate: a caller that is taken for one of them finds no tokens.
   */
  private recognisableMs(
    team: TeamId,
    drainPerMs: number,
    { ageMs, leftMs }: RetryContext,
    now: Millis,
  ): Millis {
    if (this.refusals.ratePerMs(team, now) < drainPerMs) return 0;
    return Math.max(0, (leftMs + ageMs) * RECOGNISABLE_FRACTION - ageMs);
  }

  private recordCharge(team: TeamId, tokens: Tokens, now: Millis): void {
    this.ownCharges.add(team, tokens, now);
    if (now - this.prunedAt < PART_AVERAGING_MS) return;
    this.prunedAt = now;
    this.ownCharges.prune(now);
    this.peerCharges.prune(now);
    this.refusals.prune(now);
  }
}
