import type { Millis, TeamId } from '@camphorvane/core';
import { DecayingSums } from '../structures/DecayingSums.ts';

/** Time constant of the measured demand, in milliseconds, as long as callers' shortest waits. */
const DECAY_MS: Millis = 1_000;

/** Milliseconds since its last refusal for which a team counts as one that competes for turns. */
const TEAM_ACTIVE_MS: Millis = 1_000;

/**
 * Fraction of the capacity that a priority leaves free for more urgent ones that have been refused lately,
 * so that these get earlier turns. Times that callers have been told can't be taken back.
 */
const RESERVED_FOR_URGENT = 0.25;

/** Least fraction of the capacity that a priority may book, so that none waits forever. */
const MIN_SHARE = 0.1;

/** Measures how much capacity has been refused lately, by priority, and to how many teams. */
export class RefusedDemand {
  private readonly units = new DecayingSums<number>(DECAY_MS);

  /** Time of the last refusal, by priority and team. */
  private readonly refusedAt = new Map<number, Map<TeamId, Millis>>();

  /** Records a refusal. */
  record(team: TeamId, priority: number, units: number, now: Millis): void {
    this.units.add(priority, units, now);
    const teams = this.refusedAt.get(priority) ?? new Map<TeamId, Millis>();
    this.refusedAt.set(priority, teams.set(team, now));
  }

  /** Counts the teams of a priority that have been refused lately. */
  countTeams(priority: number, now: Millis): number {
    const teams = this.refusedAt.get(priority) ?? new Map<TeamId, Millis>();
    return [...teams.values()].filter((at) => now - at <= TEAM_ACTIVE_MS).length;
  }

  /**
   * Gets the fractions of the capacity that priorities may book at a time.
   *
   * @param drainPerMs - Units of capacity per millisecond.
   * @param now - Present time.
   * @returns Gets the fraction, above 0, that a priority and all less urgent ones may book together.
   */
  sharesAt(drainPerMs: number, now: Millis): (priority: number) => number {
    const rates = this.units.keys().map((one) => [one, this.units.ratePerMs(one, now)] as const);
    return (priority) => {
      const urgent = rates
        .filter(([one]) => one < priority)
        .reduce((sum, [, perMs]) => sum + perMs, 0);
      if (urgent <= 0) return 1;
      return Math.max(MIN_SHARE, 1 - Math.max(RESERVED_FOR_URGENT, urgent / drainPerMs));
    };
  }

  /** Forgets what is no longer recent. */
  prune(now: Millis): void {
    this.units.prune(now);
    this.refusedAt.forEach((teams, priority) => {
      [...teams]
        .filter(([, at]) => now - at > TEAM_ACTIVE_MS)
        .forEach(([team]) => teams.delete(team));
      if (teams.size === 0) this.refusedAt.delete(priority);
    });
  }
}
