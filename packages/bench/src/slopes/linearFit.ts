/** One measured point of a slope. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line through measured points. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  /** Root of the mean squared distance of the points from the line, in the unit of y. */
  readonly residual: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length;
}

/**
 * Fits a line by least squares.
 *
 * @param points - At least two points with different x.
 * @returns The line and how far the points lie from it.
 */
export function linearFit(points: readonly Point[]): LinearFit {
  const x = mean(points.map((point) => point.x));
  const y = mean(points.map((point) => point.y));
  const spread = mean(points.map((point) => (point.x - x) ** 2));
  const slope = mean(points.map((point) => (point.x - x) * (point.y - y))) / spread;
  const intercept = y - slope * x;
  const errors = points.map((point) => (point.y - intercept - slope * point.x) ** 2);
  return { intercept, slope, residual: Math.sqrt(mean(errors)) };
}
