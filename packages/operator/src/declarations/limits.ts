/**
 * Largest declarations file, in bytes. 20,000 teams with a key each take about 5 MB; a file that is
 * several times as large is a mistake, and parsing it would take minutes and gigabytes.
 */
export const MAX_FILE_BYTES = 24 * 1024 * 1024;

/** Most teams: two and a half times the size that is planned for. */
export const MAX_TEAMS = 50_000;

/** Most entries of every other list of the file. */
export const MAX_ENTRIES = 5000;

/** Most keys of a team: enough to give and withdraw keys a person at a time. */
export const MAX_KEYS = 100;

/** Highest rate in tokens a second, far over what the whole planned fleet generates. */
export const MAX_RATE = 1_000_000_000;

/** Largest burst in tokens; sums over all teams stay exact integers. */
export const MAX_BURST = 100_000_000_000;

/** Largest prompt plus output, in tokens. */
export const MAX_TOKENS = 10_000_000;

/** Largest memory of an engine, in pieces. */
export const MAX_PIECES = 10_000_000;

/** Longest time that may be declared, in milliseconds: a day. */
export const MAX_MILLIS = 86_400_000;

/** Most errors that one check reports. */
export const MAX_ERRORS = 100;
