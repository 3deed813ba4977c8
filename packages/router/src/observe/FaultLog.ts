import type { Clock, Millis } from '@camphorvane/core';
import { eventLog } from './EventLog.ts';
import type { Metrics } from './Metrics.ts';

const log = eventLog('process');

/** Milliseconds in which the same fault is logged once. */
const REPEAT_MS: Millis = 1_000;

/** Most different faults that are told apart; beyond it, all count as new. */
const MAX_KNOWN_FAULTS = 256;

const STACK_FRAME = /^\s+at /;

interface KnownFault {
  readonly loggedAt: Millis;
  /** How often it came since it was logged. */
  readonly repeated: number;
}

/** Logs what was thrown where nothing else handles it, each kind with its stack, and counts it by place. */
export class FaultLog {
  private readonly clock: Clock;

  private readonly metrics: Metrics;

  private readonly known = new Map<string, KnownFault>();

  /**
   * @param clock - Clock of the rate limit.
   * @param metrics - Gets the counts.
   */
  constructor(clock: Clock, metrics: Metrics) {
    this.clock = clock;
    this.metrics = metrics;
  }

  /**
   * Records a fault. The same one is logged once in {@link REPEAT_MS}, with how often it came in between.
   *
   * @param place - Name of the work that threw.
   * @param thrown - What was thrown.
   */
  record(place: string, thrown: unknown): void {
    this.metrics.count('fault', { place });
    const frames = stackFramesOf(thrown);
    const kind = `${place} ${frames[0] ?? describe(thrown)}`;
    const now = this.clock.now();
    const known = this.known.get(kind);
    if (known !== undefined && now - known.loggedAt < REPEAT_MS) {
      this.known.set(kind, { ...known, repeated: known.repeated + 1 });
      return;
    }
    if (known === undefined && this.known.size >= MAX_KNOWN_FAULTS) this.known.clear();
    this.known.set(kind, { loggedAt: now, repeated: 0 });
    const stack = frames.map((frame) => frame.trim()).join('; ');
    log('fault', { place, problem: describe(thrown), stack, repeated: known?.repeated ?? 0 });
  }
}

function stackFramesOf(thrown: unknown): readonly string[] {
  const stack = thrown instanceof Error ? (thrown.stack ?? '') : '';
  return stack.split('\n').filter((line) => STACK_FRAME.test(line));
}

function describe(thrown: unknown): string {
  // The message of a parser quotes its input, which may hold a prompt or a key.
  if (thrown instanceof SyntaxError) return thrown.name;
  return thrown instanceof Error ? `${thrown.name}: ${thrown.message}` : typeof thrown;
}
