import type { Millis } from '@camphorvane/core';

/** How often hosts tell each other what they have, and what follows from silence. */
export interface WordPace {
  /** Longest time between two words, in milliseconds. */
  readonly periodMs: Millis;
  /** Shortest time between two words where there is news, in milliseconds. */
  readonly gapMs: Millis;
  /** Milliseconds without a word after which a host is not counted on. */
  readonly silentMs: Millis;
  /** Milliseconds between two writes of a host's record in the store. */
  readonly recordMs: Millis;
}

/**
 * Words that a host sends in a second at most where there is no news, to all its peers together. Each
 * costs the sender and the receiver about 60 microseconds, so words take about a hundredth of a core
 * however many hosts there are.
 */
const WORDS_PER_SECOND = 90;

/** Words in a second while there is news. */
const NEWS_PER_SECOND = 300;

const LEAST_PERIOD_MS: Millis = 200;
const LEAST_GAP_MS: Millis = 40;

/** With periods above this, hosts would learn of a dead one later than callers do. */
const LONGEST_PERIOD_MS: Millis = 1_500;

/** Periods without a word that make a host silent: two lost words are no sign of death. */
const SILENT_PERIODS = 3;

/** Records that all hosts together write in a second; each write to the store has its price. */
const RECORDS_PER_SECOND = 4;

const LEAST_RECORD_MS: Millis = 3_000;
const LONGEST_RECORD_MS: Millis = 20_000;

const MS_PER_SECOND = 1_000;

/**
 * Gets how often hosts speak in a fleet of a size, so that what each spends on it stays the same.
 *
 * @param hosts - Hosts of the fleet.
 * @returns The pace.
 */
export function wordPace(hosts: number): WordPace {
  const peers = Math.max(1, hosts - 1);
  const periodMs = clamp(
    (peers / WORDS_PER_SECOND) * MS_PER_SECOND,
    LEAST_PERIOD_MS,
    LONGEST_PERIOD_MS,
  );
  const gapMs = clamp((peers / NEWS_PER_SECOND) * MS_PER_SECOND, LEAST_GAP_MS, periodMs);
  const recordMs = clamp(
    (hosts / RECORDS_PER_SECOND) * MS_PER_SECOND,
    LEAST_RECORD_MS,
    LONGEST_RECORD_MS,
  );
  return { periodMs, gapMs, silentMs: periodMs * SILENT_PERIODS + LEAST_PERIOD_MS, recordMs };
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
