import type { HostId, Millis, TeamId } from '@camphorvane/core';
import { BookedTurns } from './BookedTurns.ts';
import type { Inflow } from './BookedTurns.ts';
import { QuotedWaits } from './QuotedWaits.ts';
import type { WaitQuote } from './QuotedWaits.ts';
import { RefusedDemand } from './RefusedDemand.ts';
import { TurnIntervals } from './TurnIntervals.ts';
import type {
  DrainState,
  ReturnStatus,
  TurnOffer,
  TurnRequest,
  TurnScheduler,
} from './TurnScheduler.ts';

/** Fraction of the time that they have left for which callers honour a retry time. */
const HONOURED_FRACTION = 1 / 3;

/** Fraction of the quoted wait from which a caller counts as returning in its turn. */
const IN_TURN_FRACTION = 0.8;

/**
 * Fraction of the drain that the teams of one priority leave free for a team that has not been refused
 * lately. Without it the first turn of a new team would come after all turns of the others. With 0.25, a
 * third of the capacity stayed idle after a burst of one team.
 */
const RESERVED_FOR_NEW_TEAMS = 0.1;

/** Milliseconds between two removals of what is no longer recent. */
const PRUNE_INTERVAL_MS: Millis = 200;

/** Milliseconds for which the last turn of a team is remembered, several times the spacing of its turns. */
const TEAM_MEMORY_MS: Millis = 5_000;

/** Retry time in milliseconds while nothing drains, as for an upstream that is gone. */
const STALLED_RETRY_MS: Millis = 1_000;

/** Options of {@link ReturnTurns}. */
export interface ReturnTurnsOptions {
  /** Whether several teams share the queue; false for the rate of one team. */
  readonly isShared: boolean;
  /** Called with the number of turns that nobody has taken in time. */
  readonly onExpired: (turns: number) => void;
}

/**
 * Assigns retry times to the refused callers of one queue, in the order of priorities and teams.
 *
 * Guards against callers that return together, or before there is capacity, and are refused again. Each turn
 * takes its part of the capacity of some interval in the future. Turns that their callers can't use take
 * none, so that the times don't rise without bound while a team sends far more than it may.
 */
export class ReturnTurns implements TurnScheduler {
  private readonly options: ReturnTurnsOptions;

  private readonly intervals = new TurnIntervals();

  private readonly booked = new BookedTurns();

  private readonly demand = new RefusedDemand();

  private readonly waits = new QuotedWaits();

  /** Time from which the last turn of each team had its part of the capacity, by priority and team. */
  private readonly lastTurnFrom = new Map<string, Millis>();

  private prunedAt: Millis = -Infinity;

  /** @param options - Kind of the queue. */
  constructor(options: ReturnTurnsOptions) {
    this.options = options;
  }

  /**
   * Gives a refused caller a time to retry; see {@link TurnScheduler.grant}.
   *
   * @param req - The refused request.
   * @param drain - How fast the queue drains.
   * @param now - Present time.
   * @param inStock - Units that are free already, though too few for the request.
   * @returns The retry time, and whether capacity is booked for it.
   */
  grant(req: TurnRequest, drain: DrainState, now: Millis, inStock = 0): TurnOffer {
    this.advance(now);
    const { team, priority, units, leftMs, targetMs } = req;
    const { drainPerMs, backlogMs } = drain;
    this.demand.record(team, priority, units, now);
    if (!(drainPerMs > 0) || !Number.isFinite(backlogMs)) return this.stalledOffer(backlogMs);
    const shareOf = this.demand.sharesAt(drainPerMs, now);
    const usableMs = Math.min(leftMs * HONOURED_FRACTION, leftMs - targetMs);
    const earliest = this.earliestFor(req, drainPerMs * shareOf(priority), now);
    const from = Math.max(now + backlogMs, earliest);
    const place = this.intervals.find({
      ...{ priority, drainPerMs, shareOf, from },
      units: Math.max(0, units - inStock),
      limitAt: now + Math.max(0, usableMs),
    });
    const retryAfterMs = Math.max(1, Math.ceil(place.at - now));
    if (retryAfterMs > usableMs || this.booked.isFull) return { type: 'no_turn', retryAfterMs };
    this.intervals.book(place, priority);
    this.booked.add({ at: place.at, priority, units });
    this.lastTurnFrom.set(turnKey(req), from);
    this.waits.record(priority, retryAfterMs, now);
    return { type: 'turn', retryAfterMs };
  }

  /** {@inheritDoc TurnScheduler.statusOf} */
  statusOf(ageMs: Millis, priority: number, now: Millis): ReturnStatus {
    if (ageMs <= 0) return 'new';
    const quotedMs = this.quotedMs(ageMs, priority, now);
    return quotedMs !== undefined && ageMs >= quotedMs * IN_TURN_FRACTION ? 'in_turn' : 'early';
  }

  /**
   * Gets the wait that a caller of an age was told. Waits rise in a burst, so the wait told at the time of its
   * first attempt counts where it is shorter than the present one: what it was told must hold.
   *
   * @param ageMs - Milliseconds since the caller's first attempt.
   * @param priority - Its priority.
   * @param now - Present time.
   * @returns Milliseconds; undefined where no host gave a turn lately.
   */
  quotedMs(ageMs: Millis, priority: number, now: Millis): Millis | undefined {
    const present = this.waits.quotedNow(priority, now);
    const then = this.waits.quotedAt(priority, now - ageMs);
    return then === undefined ? present : Math.min(then, present ?? Infinity);
  }

  /**
   * Records that a caller has returned in its turn, whose capacity is no longer reserved.
   *
   * @returns Whether a turn of this host was due.
   */
  recordReturn(priority: number, now: Millis): boolean {
    this.advance(now);
    return this.booked.take(priority, now);
  }

  /** Gets the units to keep in stock for turns that are as urgent as a priority or more urgent. */
  reservedUnits(priority: number, inflow: Inflow, now: Millis): number {
    this.advance(now);
    return this.booked.reservedUnits(priority, inflow, now);
  }

  /**
   * Estimates the units that callers as urgent as a priority or more urgent need who return within a time to
   * any host. The quotes of all hosts tell how many there are; their mean size is that of the turns here.
   *
   * @param priority - The priority.
   * @param withinMs - The time, in milliseconds.
   * @param now - Present time.
   * @param defaultUnits - Mean size where this host has given no turn.
   */
  dueUnits(priority: number, withinMs: Millis, now: Millis, defaultUnits: number): number {
    const meanUnits = this.booked.meanUnits() ?? defaultUnits;
    return this.waits.countDue(priority, now, now + withinMs) * meanUnits;
  }

  /** Gets the number of turns that may still be used. */
  countTurns(now: Millis): number {
    this.advance(now);
    return this.booked.size;
  }

  /** Gets the waits that this host quotes. */
  getQuotes(now: Millis): readonly WaitQuote[] {
    return this.waits.getOwn(now);
  }

  /** Receives the waits that one peer quotes. */
  receive(peer: HostId, quotes: readonly WaitQuote[], now: Millis): void {
    this.waits.receive(peer, quotes, now);
  }

  /** Receives the average waits that all peers quote, from a relay. */
  receiveSum(quotes: readonly WaitQuote[], now: Millis): void {
    this.waits.receiveSum(quotes, now);
  }

  /** Tells whether there is nothing to remember, so that this object can be dropped. */
  isIdle(now: Millis): boolean {
    this.advance(now);
    return this.booked.size === 0 && this.waits.isEmpty();
  }

  /** Gets the earliest time of a team's next turn, so that the teams of a priority alternate. */
  private earliestFor(req: TurnRequest, drainPerMs: number, now: Millis): Millis {
    const lastFrom = this.lastTurnFrom.get(turnKey(req));
    if (lastFrom === undefined || !this.options.isShared) return now;
    const teams = this.demand.countTeams(req.priority, now);
    return lastFrom + (req.units / drainPerMs) * (teams / (1 - RESERVED_FOR_NEW_TEAMS));
  }

  private stalledOffer(backlogMs: Millis): TurnOffer {
    const retryAfterMs = Number.isFinite(backlogMs)
      ? Math.max(STALLED_RETRY_MS, Math.ceil(backlogMs))
      : STALLED_RETRY_MS;
    return { type: 'no_turn', retryAfterMs };
  }

  private advance(now: Millis): void {
    const expired = this.booked.expire(now);
    if (expired > 0) this.options.onExpired(expired);
    if (now - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = now;
    this.intervals.prune(now);
    this.demand.prune(now);
    this.waits.prune(now);
    [...this.lastTurnFrom]
      .filter(([, from]) => from < now - TEAM_MEMORY_MS)
      .forEach(([key]) => this.lastTurnFrom.delete(key));
  }
}

function turnKey({ team, priority }: { readonly team: TeamId; readonly priority: number }): string {
  return `${priority} ${team}`;
}
