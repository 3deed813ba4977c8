import type { Millis } from '@camphorvane/core';

/** One way to load a group. */
export interface RateCase {
  readonly name: string;
  /** Where a team's callers come in. */
  readonly callers: 'spread' | 'one host';
  /** Demand of the first team as a multiple of its rate; the others stay at the usual one. */
  readonly firstTeam?: number;
  /** Whose death happens at {@link DEATH_AT_MS}, if any. */
  readonly death?: 'host' | 'steward';
}

/** When a host dies, from the start of the load. */
export const DEATH_AT_MS: Millis = 20_000;

/** How long after a death refusals are counted. */
export const DEATH_SPAN_MS: Millis = 10_000;

/** The cases that the targets speak of. */
export const RATE_CASES: readonly RateCase[] = [
  { name: 'calm', callers: 'spread' },
  { name: 'skewed', callers: 'one host' },
  { name: 'neighbour at 5x', callers: 'spread', firstTeam: 5 },
  { name: "host's death", callers: 'spread', death: 'host' },
  { name: "steward's death", callers: 'spread', death: 'steward' },
];
