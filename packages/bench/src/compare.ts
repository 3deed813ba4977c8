import { POLICY_NAMES, type PolicyName } from './policies/names.ts';
import { type Scores, medianScores, score } from './report/Scores.ts';
import type { WorkloadScores } from './report/formatTable.ts';
import { runPolicy } from './runPolicy.ts';
import type { Workload } from './workload/Workload.ts';

/**
 * Runs a workload under several policies and takes the median of each figure over the seeds.
 *
 * @param workload - The workload.
 * @param seeds - One run each.
 * @param policies - Policies to show; the oracle runs anyway, as the limit.
 */
export function compare(
  workload: Workload,
  seeds: readonly number[],
  policies: readonly PolicyName[] = POLICY_NAMES,
): WorkloadScores {
  const runs = seeds.map((seed) => scoreSeed(workload, seed, policies));
  return {
    workload: workload.name,
    seeds,
    policies: policies.map((policy, at) => ({
      policy,
      scores: medianScores(runs.flatMap((run) => run.slice(at, at + 1))),
    })),
  };
}

function scoreSeed(
  workload: Workload,
  seed: number,
  policies: readonly PolicyName[],
): readonly Scores[] {
  const oracle = runPolicy(workload, seed, 'oracle');
  const runs = policies.map((policy) => ({
    policy,
    run: policy === 'oracle' ? oracle : runPolicy(workload, seed, policy),
  }));
  const baselines = runs
    .filter(({ policy }) => policy === 'round-robin' || policy === 'least-load')
    .map(({ run }) => run);
  return runs.map(({ run }) => score(workload, run, oracle, baselines));
}
