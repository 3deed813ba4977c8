import { type LinearFit, linearFit, type Point } from './linearFit.ts';

/** A quantity measured at several sizes. */
export interface Slope {
  readonly name: string;
  /** What grows, such as `hosts in the group`. */
  readonly size: string;
  /** Unit of what is measured, such as `bytes/s per host`. */
  readonly unit: string;
  readonly points: readonly Point[];
  readonly fit: LinearFit;
}

/** Makes a slope of measured points. */
export function slopeOf(name: string, size: string, unit: string, points: readonly Point[]): Slope {
  return { name, size, unit, points, fit: linearFit(points) };
}

/** Gets what a slope says of a size. */
export function at(slope: Slope, size: number): number {
  return Math.max(0, slope.fit.intercept + slope.fit.slope * size);
}

function short(value: number): string {
  return Number(value.toPrecision(4)).toString();
}

/** Prints a slope: its points, the line through them and how well it fits. */
export function formatSlope(slope: Slope): string {
  const { fit } = slope;
  const points = slope.points.map(({ x, y }) => `${short(x)}: ${short(y)}`).join(', ');
  return [
    `${slope.name} (${slope.unit}, by ${slope.size})`,
    `  points    ${points}`,
    `  line      ${short(fit.intercept)} + ${short(fit.slope)} * size, residual ${short(fit.residual)}`,
  ].join('\n');
}
