import type { PolicyName } from '../policies/names.ts';
import type { Scores } from './Scores.ts';

/** The figures of one workload, by policy. */
export interface WorkloadScores {
  readonly workload: string;
  readonly seeds: readonly number[];
  readonly policies: readonly { readonly policy: PolicyName; readonly scores: Scores }[];
}

const percent = (value: number): string => `${(value * 100).toFixed(1)}%`;

const millis = (value: number): string => value.toFixed(1);

const COLUMNS: readonly {
  readonly title: string;
  readonly get: (scores: Scores) => string;
}[] = [
  { title: 'goodput', get: (scores) => percent(scores.goodput) },
  { title: 'lookup', get: (scores) => percent(scores.lookupGoodput) },
  { title: 'summary', get: (scores) => percent(scores.summaryGoodput) },
  { title: 'of oracle', get: (scores) => percent(scores.ofOracle) },
  { title: 'x baseline', get: (scores) => scores.overBaseline.toFixed(2) },
  { title: 'wasted', get: (scores) => percent(scores.wastedPrefill) },
  { title: 'worst team', get: (scores) => percent(scores.worstTeam) },
  { title: 'refused', get: (scores) => `${(scores.refusedWithinRate * 100).toFixed(2)}%` },
  { title: 'ttft p95', get: (scores) => millis(scores.lookupTtftP95Ms) },
  { title: 'itl p95', get: (scores) => millis(scores.itlP95Ms) },
  { title: 'cache hit', get: (scores) => percent(scores.cacheHit) },
];

/**
 * Formats figures as a table that is the same, byte for byte, for the same figures.
 *
 * @param all - Figures by workload.
 */
export function formatTable(all: readonly WorkloadScores[]): string {
  const head = ['workload', 'policy', ...COLUMNS.map((column) => column.title)];
  const rows = all.flatMap((one) =>
    one.policies.map(({ policy, scores }) => [
      one.workload,
      policy,
      ...COLUMNS.map((column) => column.get(scores)),
    ]),
  );
  const widths = head.map((title, at) =>
    [title, ...rows.map((row) => row[at] ?? '')].reduce(
      (most, cell) => Math.max(most, cell.length),
      0,
    ),
  );
  const line = (cells: readonly string[]): string =>
    cells
      .map((cell, at) => (at < 2 ? cell.padEnd(widths[at] ?? 0) : cell.padStart(widths[at] ?? 0)))
      .join('  ')
      .trimEnd();
  return [head, ...rows].map(line).join('\n');
}
