import type { Millis, TeamId, Tokens, WorkClass } from '@camphorvane/core';
import type { PrefillTotals } from '../physics/World.ts';
import type { Outcome } from './OutcomeBook.ts';

/** What one run under one policy came to. */
export interface RunReport {
  readonly requests: number;
  /** Requests within their team's rate. */
  readonly withinRate: number;
  /** Whole answers that met both targets. */
  readonly good: number;
  readonly goodByClass: Readonly<Record<WorkClass, number>>;
  readonly withinRateByClass: Readonly<Record<WorkClass, number>>;
  /** Requests refused although they were within the rate. */
  readonly refusedWithinRate: number;
  /** Wasted share of all prefill tokens computed. */
  readonly wastedPrefill: number;
  /** Share of prompt tokens that the prefix caches served. */
  readonly cacheHit: number;
  /** 95th percentile of the time to the first token of lookups, in milliseconds. */
  readonly lookupTtftP95Ms: Millis;
  /** 95th percentile over answers of the mean time between tokens, in milliseconds. */
  readonly itlP95Ms: Millis;
  /** Tokens (prompt plus answer) of good answers by team, and those asked for within the rate. */
  readonly goodTokens: ReadonlyMap<TeamId, Tokens>;
  readonly wantedTokens: ReadonlyMap<TeamId, Tokens>;
}

const CLASSES: readonly WorkClass[] = ['lookup', 'certificate', 'summary'];

const PERCENTILE = 0.95;

/**
 * Sums up a run.
 *
 * @param outcomes - What the callers saw.
 * @param totals - Prefill tokens of the run.
 * @param itlTargetMs - Target for the mean time between the tokens of an answer.
 */
export function reportRun(
  outcomes: readonly Outcome[],
  totals: PrefillTotals,
  itlTargetMs: Millis,
): RunReport {
  const good = outcomes.filter((outcome) => isGood(outcome, itlTargetMs));
  const within = outcomes.filter((outcome) => outcome.request.withinRate);
  const whole = outcomes.filter((outcome) => outcome.type === 'whole');
  return {
    requests: outcomes.length,
    withinRate: within.length,
    good: good.length,
    goodByClass: countByClass(good),
    withinRateByClass: countByClass(within),
    refusedWithinRate: within.filter((outcome) => outcome.type === 'refused').length,
    wastedPrefill: totals.computed === 0 ? 0 : totals.wasted / totals.computed,
    cacheHit: totals.cached / Math.max(1, totals.cached + totals.computed),
    lookupTtftP95Ms: percentile(
      whole.filter((outcome) => outcome.request.class === 'lookup').map(getTtftMs),
    ),
    itlP95Ms: percentile(whole.map(getItlMs)),
    goodTokens: tokensByTeam(good),
    wantedTokens: tokensByTeam(within),
  };
}

function isGood(outcome: Outcome, itlTargetMs: Millis): boolean {
  if (outcome.type !== 'whole') return false;
  return (
    getTtftMs(outcome) <= outcome.request.firstTokenLimitMs && getItlMs(outcome) <= itlTargetMs
  );
}

function getTtftMs(outcome: Outcome): Millis {
  return (outcome.firstTokenAt ?? Infinity) - outcome.request.arrivesAt;
}

function getItlMs(outcome: Outcome): Millis {
  const { firstTokenAt = 0, lastTokenAt = 0, outputTokens } = outcome;
  return outputTokens < 2 ? 0 : (lastTokenAt - firstTokenAt) / (outputTokens - 1);
}

function countByClass(outcomes: readonly Outcome[]): Readonly<Record<WorkClass, number>> {
  const [lookup = 0, certificate = 0, summary = 0] = CLASSES.map(
    (name) => outcomes.filter((outcome) => outcome.request.class === name).length,
  );
  return { lookup, certificate, summary };
}

function tokensByTeam(outcomes: readonly Outcome[]): ReadonlyMap<TeamId, Tokens> {
  const sums = new Map<TeamId, Tokens>();
  outcomes.forEach(({ request }) => {
    const tokens = request.promptTokens + request.outputTokens;
    sums.set(request.team, (sums.get(request.team) ?? 0) + tokens);
  });
  return sums;
}

function percentile(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * PERCENTILE))] ?? 0;
}
