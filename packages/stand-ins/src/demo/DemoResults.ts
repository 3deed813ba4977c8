import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** Outcome of one request of the demo. */
export type DemoOutcome =
  | { readonly type: 'whole' }
  | { readonly type: 'refused'; readonly code: string }
  | { readonly type: 'broken'; readonly message: string };

/** Result of one request of the demo, as its caller saw it. */
export interface DemoResult {
  readonly kind: string;
  readonly outcome: DemoOutcome;
  /** Time to the first token, or to the answer of a plain service, in milliseconds. */
  readonly firstMs?: number;
  /** Token intervals in milliseconds. */
  readonly gapsMs: readonly number[];
  /** Number of end markers received; more than one is an error. */
  readonly endMarkers: number;
}

const MICROS_PER_MS = 1000;
const COLUMN_WIDTHS = [14, 7, 7, 9, 9, 10, 10];

function formatPercentile(histogram: Histogram, percentile: number): string {
  if (histogram.totalCount === 0) return '-';
  return (histogram.getValueAtPercentile(percentile) / MICROS_PER_MS).toFixed(1);
}

function formatRow(cells: readonly string[]): string {
  return cells.map((cell, index) => cell.padStart(COLUMN_WIDTHS[index] ?? 0)).join(' ');
}

/** Collects the results of all requests and formats them as a table. */
export class DemoResults {
  private readonly answers: DemoResult[] = [];

  /** Adds the result of a request. */
  add(answer: DemoResult): void {
    this.answers.push(answer);
  }

  /** Gets the number of completed requests. */
  get total(): number {
    return this.answers.length;
  }

  /** Gets the number of requests that were answered more than once. */
  get answeredTwice(): number {
    return this.answers.filter((answer) => answer.endMarkers > 1).length;
  }

  /** Gets the number of refusals by error code. */
  get refusals(): ReadonlyMap<string, number> {
    const codes = this.answers.flatMap(({ outcome }) =>
      outcome.type === 'refused' ? [outcome.code] : [],
    );
    return new Map(
      [...new Set(codes)].map((code) => [code, codes.filter((c) => c === code).length]),
    );
  }

  /** Gets descriptions of the broken requests. */
  get broken(): readonly string[] {
    return this.answers.flatMap(({ kind, outcome }) =>
      outcome.type === 'broken' ? [`${kind}: ${outcome.message}`] : [],
    );
  }

  /** Gets the lines of the table. */
  lines(): readonly string[] {
    const kinds = [...new Set(this.answers.map((answer) => answer.kind))].sort();
    const refusals = [...this.refusals].map(([code, count]) => `${code} ${count}`).join(', ');
    return [
      formatRow(['', 'sent', 'whole', 'first p50', 'first p95', 'gap p50', 'gap p95']),
      ...kinds.map((kind) => this.formatKind(kind)),
      `times in ms; refused: ${refusals === '' ? '0' : refusals}`,
      `broken: ${this.broken.length}`,
      `answered twice: ${this.answeredTwice}`,
    ];
  }

  private formatKind(kind: string): string {
    const results = this.answers.filter((answer) => answer.kind === kind);
    const firstTokenTimes = build();
    const intervals = build();
    results.forEach((answer) => {
      if (answer.firstMs !== undefined)
        firstTokenTimes.recordValue(Math.round(answer.firstMs * MICROS_PER_MS));
      answer.gapsMs.forEach((gap) => intervals.recordValue(Math.round(gap * MICROS_PER_MS)));
    });
    const whole = results.filter((answer) => answer.outcome.type === 'whole').length;
    return formatRow([
      kind,
      String(results.length),
      String(whole),
      formatPercentile(firstTokenTimes, 50),
      formatPercentile(firstTokenTimes, 95),
      formatPercentile(intervals, 50),
      formatPercentile(intervals, 95),
    ]);
  }
}
