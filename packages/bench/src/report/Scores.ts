import type { TeamId } from '@camphorvane/core';
import type { Workload } from '../workload/Workload.ts';
import { fairShares } from './fairShares.ts';
import type { RunReport } from './RunReport.ts';

/** The figures of one policy on one workload; shares are from 0 to 1. */
export interface Scores {
  /** Whole answers within both targets, as a share of the requests within the rates. */
  readonly goodput: number;
  readonly lookupGoodput: number;
  readonly summaryGoodput: number;
  /** The same count as a share of the oracle's. */
  readonly ofOracle: number;
  /** The same count as a multiple of the better baseline's; 1 where no baseline ran. */
  readonly overBaseline: number;
  readonly wastedPrefill: number;
  /** The least-served team's good tokens as a share of its fair share of the oracle's. */
  readonly worstTeam: number;
  readonly refusedWithinRate: number;
  readonly lookupTtftP95Ms: number;
  readonly itlP95Ms: number;
  readonly cacheHit: number;
}

/** The names of the figures, in the order of the table's columns. */
export const SCORE_NAMES = [
  'goodput',
  'lookupGoodput',
  'summaryGoodput',
  'ofOracle',
  'overBaseline',
  'wastedPrefill',
  'worstTeam',
  'refusedWithinRate',
  'lookupTtftP95Ms',
  'itlP95Ms',
  'cacheHit',
] as const satisfies readonly (keyof Scores)[];

/**
 * Scores a run against the oracle's run of the same workload and seed.
 *
 * @param workload - The workload.
 * @param run - What the policy came to.
 * @param oracle - What the oracle came to.
 * @param baselines - What the baselines that ran came to.
 */
export function score(
  workload: Workload,
  run: RunReport,
  oracle: RunReport,
  baselines: readonly RunReport[],
): Scores {
  const better = baselines.reduce((most, other) => Math.max(most, other.good), 0);
  return {
    goodput: share(run.good, run.withinRate),
    lookupGoodput: share(run.goodByClass.lookup, run.withinRateByClass.lookup),
    summaryGoodput: share(run.goodByClass.summary, run.withinRateByClass.summary),
    ofOracle: share(run.good, oracle.good),
    overBaseline: better === 0 ? 1 : run.good / better,
    wastedPrefill: run.wastedPrefill,
    worstTeam: getWorstTeam(workload, run, oracle),
    refusedWithinRate: share(run.refusedWithinRate, run.withinRate),
    lookupTtftP95Ms: run.lookupTtftP95Ms,
    itlP95Ms: run.itlP95Ms,
    cacheHit: run.cacheHit,
  };
}

/** Gets the middle of each figure over several runs. */
export function medianScores(all: readonly Scores[]): Scores {
  const entries = SCORE_NAMES.map((name) => [name, median(all.map((one) => one[name]))] as const);
  return Object.fromEntries(entries) as unknown as Scores;
}

function getWorstTeam(workload: Workload, run: RunReport, oracle: RunReport): number {
  const capacity = [...oracle.goodTokens.values()].reduce((sum, tokens) => sum + tokens, 0);
  const wanted = (team: TeamId): number => run.wantedTokens.get(team) ?? 0;
  const shares = fairShares(
    capacity,
    workload.teams.map(({ id, weight }) => ({ team: id, weight, wanted: wanted(id) })),
  );
  return workload.teams
    .filter(({ id }) => wanted(id) > 0)
    .reduce(
      (worst, { id }) => Math.min(worst, share(run.goodTokens.get(id) ?? 0, shares.get(id) ?? 0)),
      1,
    );
}

function share(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? 0)) / 2;
}
