import type { ScenarioResult } from './runScenario.ts';

const SHOWN_VIOLATIONS = 10;

function nonZero(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .filter(([, count]) => count > 0)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}

/**
 * Gets the lines that tell a person how a run ended.
 *
 * @param result - The run.
 * @returns One line for the run and one for each violation, up to a few.
 */
export function reportLines({ name, seed, counts, violations }: ScenarioResult): readonly string[] {
  const verdict = violations.length === 0 ? 'pass' : 'FAIL';
  const codes = nonZero(counts.byCode);
  const shown = violations.slice(0, SHOWN_VIOLATIONS);
  const more = violations.length - shown.length;
  return [
    `${verdict} ${name} (seed ${seed}): sent ${counts.sent}, ${nonZero(counts.byOutcome)}${
      codes === '' ? '' : ` [${codes}]`
    }`,
    ...shown.map(({ check, message }) => `  ${check}: ${message}`),
    ...(more > 0 ? [`  and ${more} more`] : []),
  ];
}
