import type { Millis } from '@camphorvane/core';

/** How often hosts tell each other what they have, and what follows from silence. */
export interface WordPace {
  /** Whether words go through a few relaying hosts, which pass on sums of them. */
  readonly isRelayed: boolean;
  /** Longest time between two words, in milliseconds. */
  readonly periodMs: Millis;
  /** Shortest time between two words where there is news, in milliseconds. */
  readonly gapMs: Millis;
  /** Milliseconds between two digests of a relaying host. */
  readonly digestMs: Millis;
  /** Milliseconds without a word after which a host is not counted on. */
  readonly silentMs: Millis;
  /** Milliseconds between two writes of a host's record in the store. */
  readonly recordMs: Millis;
}

/**
 * Hosts up to which each speaks to all others. Words then reach everybody within 40 ms; with more
 * hosts they grow with the square of the fleet, to 24,000 a second at 91 hosts.
 */
const ALL_SPEAK_UP_TO = 9;

/** Longest and shortest time between two words where all speak to all. */
const SMALL_PERIOD_MS: Millis = 200;
const SMALL_GAP_MS: Millis = 40;

/**
 * Words in a second that a relaying host takes in at most where there is news, and half as many where
 * there is none. Each costs it about 40 microseconds, so this is a hundredth of a core.
 */
const WORDS_PER_SECOND = 250;

/** Digests in a second that a relaying host sends; each costs it about 50 microseconds. */
const DIGESTS_PER_SECOND = 200;

/** A word is no news sooner than this. */
const LEAST_GAP_MS: Millis = 100;
const LEAST_DIGEST_MS: Millis = 100;

/** With periods above this, hosts would learn of a dead one later than callers do. */
const LONGEST_PERIOD_MS: Millis = 3_000;

/** Periods without a word that make a host silent: two lost words are no sign of death. */
const SILENT_PERIODS = 3;

/** What a word may be late by, beyond its periods. */
const SILENT_MARGIN_MS: Millis = 200;

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
  const isRelayed = hosts > ALL_SPEAK_UP_TO;
  const gapMs = isRelayed ? Math.max(LEAST_GAP_MS, everyMs(hosts, WORDS_PER_SECOND)) : SMALL_GAP_MS;
  const periodMs = isRelayed ? Math.min(LONGEST_PERIOD_MS, 2 * gapMs) : SMALL_PERIOD_MS;
  const digestMs = Math.max(LEAST_DIGEST_MS, everyMs(hosts, DIGESTS_PER_SECOND));
  const recordMs = Math.min(
    LONGEST_RECORD_MS,
    Math.max(LEAST_RECORD_MS, everyMs(hosts, RECORDS_PER_SECOND)),
  );
  const silentMs = periodMs * SILENT_PERIODS + SILENT_MARGIN_MS;
  return { isRelayed, periodMs, gapMs, digestMs, silentMs, recordMs };
}

function everyMs(hosts: number, perSecond: number): Millis {
  return (hosts / perSecond) * MS_PER_SECOND;
}
