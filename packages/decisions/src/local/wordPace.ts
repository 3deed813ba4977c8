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
 * Words in a second that a relaying host takes in where there is no news. Each costs it about
 * 40 microseconds, so this is half a hundredth of a core.
 */
const WORDS_PER_SECOND = 120;

/**
 * Shortest time between two words where there is news. Hosts of a large fleet place a request every
 * few seconds each, so a short gap costs little, and the engines' use is known before the next one.
 */
const RELAYED_GAP_MS: Millis = 60;

/**
 * Digests in a second that all relaying hosts send together; each costs about 50 microseconds. At 91
 * hosts one comes each 182 ms: with 455 ms, hosts filled the same engines, and 207 instead of 79
 * thousand prompt tokens were read in vain in 16 s of a busy day.
 */
const DIGESTS_PER_SECOND = 500;

const LEAST_DIGEST_MS: Millis = 100;

/** Fleets just above the small ones speak no more often than this without news. */
const LEAST_PERIOD_MS: Millis = 300;

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
  const gapMs = isRelayed ? RELAYED_GAP_MS : SMALL_GAP_MS;
  const relayedMs = Math.max(LEAST_PERIOD_MS, everyMs(hosts, WORDS_PER_SECOND));
  const periodMs = isRelayed ? Math.min(LONGEST_PERIOD_MS, relayedMs) : SMALL_PERIOD_MS;
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
