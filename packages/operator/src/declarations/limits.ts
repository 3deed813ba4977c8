/**
 * Largest declarations file, in bytes. 20,000 teams with one key each take about 5 MB; parsing a file
 * several times as large, most likely a mistake, would take minutes and gigabytes of memory.
 */
export const MAX_FILE_BYTES = 24 * 1024 * 1024;

/** Most teams: 2.5 times the planned 20,000. */
export const MAX_TEAMS = 50_000;

/** Most entries of each other list in the file. */
export const MAX_ENTRIES = 5000;

/** Most keys of a team; allows one key per person, so that keys are withdrawn individually. */
export const MAX_KEYS = 100;

/** Highest rate, in tokens per second; far above the output of the whole planned fleet. */
export const MAX_RATE = 1_000_000_000;

/** Largest burst, in tokens; sums over all teams remain exact integers. */
export const MAX_BURST = 100_000_000_000;

/** Largest request, prompt plus output, in tokens. */
export const MAX_TOKENS = 10_000_000;

/** Largest memory of an engine, in pieces. */
export const MAX_PIECES = 10_000_000;

/** Longest duration, in milliseconds: one day. */
export const MAX_MILLIS = 86_400_000;

/** Most errors reported per check. */
export const MAX_ERRORS = 100;
