import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** How one request of the demo ended. */
export type DemoOutcome =
  | { readonly type: 'whole' }
  | { readonly type: 'refused'; readonly code: string }
  | { readonly type: 'broken'; readonly message: string };

/** What one request of the demo saw. */
export interface DemoAnswer {
  readonly kind: string;
  readonly outcome: DemoOutcome;
  /** Milliseconds to the first token, or to the answer of a plain service. */
  readonly firstMs?: number;
  /** Milliseconds between tokens. */
  readonly gapsMs: readonly number[];
  /** Ends of an answer that came; more than one is a fault. */
  readonly ends: number;
}

const MICROS = 1000;
const COLUMNS = [14, 7, 7, 9, 9, 10, 10];

function shown(histogram: Histogram, percentile: number): string {
  if (histogram.totalCount === 0) return '-';
  return (histogram.getValueAtPercentile(percentile) / MICROS).toFixed(1);
}

function row(cells: readonly string[]): string {
  return cells.map((cell, index) => cell.padStart(COLUMNS[index] ?? 0)).join(' ');
}

/** Counts what callers saw and prints it as a table. */
export class DemoCounts {
  private readonly answers: DemoAnswer[] = [];

  /** Takes in one answer. */
  add(answer: DemoAnswer): void {
    this.answers.push(answer);
  }

  /** Gets how many requests ended. */
  get total(): number {
    return this.answers.length;
  }

  /** Gets how many requests were answered more than once. */
  get answeredTwice(): number {
    return this.answers.filter((answer) => answer.ends > 1).length;
  }

  /** Gets the refusals by code. */
  get refusals(): ReadonlyMap<string, number> {
    const codes = this.answers.flatMap(({ outcome }) =>
      outcome.type === 'refused' ? [outcome.code] : [],
    );
    return new Map(
      [...new Set(codes)].map((code) => [code, codes.filter((c) => c === code).length]),
    );
  }

  /** Gets what broke, in words. */
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
      row(['', 'sent', 'whole', 'first p50', 'first p95', 'gap p50', 'gap p95']),
      ...kinds.map((kind) => this.line(kind)),
      `times in ms; refused: ${refusals === '' ? '0' : refusals}`,
      `broken: ${this.broken.length}`,
      `answered twice: ${this.answeredTwice}`,
    ];
  }

  private line(kind: string): string {
    const mine = this.answers.filter((answer) => answer.kind === kind);
    const firsts = build();
    const gaps = build();
    mine.forEach((answer) => {
      if (answer.firstMs !== undefined) firsts.recordValue(Math.round(answer.firstMs * MICROS));
      answer.gapsMs.forEach((gap) => gaps.recordValue(Math.round(gap * MICROS)));
    });
    const whole = mine.filter((answer) => answer.outcome.type === 'whole').length;
    return row([
      kind,
      String(mine.length),
      String(whole),
      shown(firsts, 50),
      shown(firsts, 95),
      shown(gaps, 50),
      shown(gaps, 95),
    ]);
  }
}
