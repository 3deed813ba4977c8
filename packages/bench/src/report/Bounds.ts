import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as z from 'zod';
import { POLICY_NAMES } from '../policies/names.ts';
import { SCORE_NAMES } from './Scores.ts';
import type { WorkloadScores } from './formatTable.ts';

const boundSchema = z
  .strictObject({
    workload: z.string().min(1),
    policy: z.enum(POLICY_NAMES),
    figure: z.enum(SCORE_NAMES),
    least: z.number().optional(),
    most: z.number().optional(),
  })
  .refine((bound) => bound.least !== undefined || bound.most !== undefined, 'least or most');

const boundsSchema = z.strictObject({
  seeds: z.array(z.number().int()).min(1),
  bounds: z.array(boundSchema).min(1),
});

/** The regression bounds that CI holds the figures to. */
export type Bounds = z.output<typeof boundsSchema>;

/** A figure that is outside its bound, or that was not measured at all. */
export interface Violation {
  readonly bound: Bounds['bounds'][number];
  readonly measured: number | undefined;
}

/** Reads the bounds file; throws where it is malformed, since a bound that is not read holds nothing. */
export function readBounds(file: string): Bounds {
  return boundsSchema.parse(parse(readFileSync(file, 'utf8')));
}

/**
 * Holds figures to bounds.
 *
 * @param bounds - The bounds.
 * @param all - Measured figures; a bound on a figure that is missing counts as violated.
 * @returns All violations; empty if every bound holds.
 */
export function findViolations(
  bounds: Bounds,
  all: readonly WorkloadScores[],
): readonly Violation[] {
  return bounds.bounds.flatMap((bound) => {
    const measured = all
      .find((one) => one.workload === bound.workload)
      ?.policies.find((one) => one.policy === bound.policy)?.scores[bound.figure];
    const holds =
      measured !== undefined &&
      measured >= (bound.least ?? -Infinity) &&
      measured <= (bound.most ?? Infinity);
    return holds ? [] : [{ bound, measured }];
  });
}
