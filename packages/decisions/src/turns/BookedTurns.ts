import type { Millis } from '@camphorvane/core';

/** Milliseconds after its time for which a turn may still be used: a caller's connection and jitter. */
export const TURN_GRACE_MS: Millis = 250;

/**
 * Most turns that a queue keeps. At a drain of 100 units per second it covers the waits that callers accept
 * (a third of some 15 s), and it bounds memory and processor time in a flood of refusals.
 */
export const MAX_TURNS = 512;

/** A retry time for which capacity is booked. */
export interface BookedTurn {
  readonly at: Millis;
  /** Lower goes first. */
  readonly priority: number;
  readonly units: number;
}

/** Units that flow into the stock from which turns are served. */
export interface Inflow {
  readonly drainPerMs: number;
  /** Milliseconds before its time at which the units of a turn must be there. */
  readonly leadMs: Millis;
}

/** The turns of one queue that their callers may still use, by time. */
export class BookedTurns {
  private turns: readonly BookedTurn[] = [];

  /** Gets the number of turns. */
  get size(): number {
    return this.turns.length;
  }

  /** Tells whether no other turn can be added. */
  get isFull(): boolean {
    return this.turns.length >= MAX_TURNS;
  }

  /** Gets the mean units of a turn; undefined where there is none. */
  meanUnits(): number | undefined {
    const sum = this.turns.reduce((units, turn) => units + turn.units, 0);
    return this.turns.length === 0 ? undefined : sum / this.turns.length;
  }

  /** Adds a turn. */
  add(turn: BookedTurn): void {
    const following = this.turns.findIndex(({ at }) => at > turn.at);
    const index = following < 0 ? this.turns.length : following;
    this.turns = [...this.turns.slice(0, index), turn, ...this.turns.slice(index)];
  }

  /**
   * Removes the turn that a returning caller uses: the earliest one of its priority that is due. Turns bear
   * no name, so a caller that was refused elsewhere uses one in place of a caller that returns elsewhere.
   *
   * @returns Whether there was one.
   */
  take(priority: number, now: Millis): boolean {
    const index = this.turns.findIndex(
      (turn) => turn.priority === priority && turn.at <= now + TURN_GRACE_MS,
    );
    if (index < 0) return false;
    this.turns = this.turns.filter((_, i) => i !== index);
    return true;
  }

  /**
   * Removes the turns that nobody has taken in time.
   *
   * @returns How many there were.
   */
  expire(now: Millis): number {
    const before = this.turns.length;
    const first = this.turns[0];
    if (first === undefined || now <= first.at + TURN_GRACE_MS) return 0;
    this.turns = this.turns.filter(({ at }) => now <= at + TURN_GRACE_MS);
    return before - this.turns.length;
  }

  /**
   * Gets the units that must be in stock now, so that all turns as urgent as a priority or more urgent find
   * theirs. What flows in until the time of a turn need not be in stock.
   *
   * @param priority - The priority.
   * @param inflow - What flows in until then.
   * @param now - Present time.
   */
  reservedUnits(priority: number, { drainPerMs, leadMs }: Inflow, now: Millis): number {
    return this.turns
      .filter((turn) => turn.priority <= priority)
      .reduce(
        ({ sum, reserved }, { at, units }) => {
          const due = sum + units;
          const inflow = drainPerMs * Math.max(0, at - leadMs - now);
          return { sum: due, reserved: Math.max(reserved, due - inflow) };
        },
        { sum: 0, reserved: 0 },
      ).reserved;
  }
}
