import type { Millis, UpstreamId } from '@camphorvane/core';
import type {
  AnswerReport,
  CrashReport,
  SurvivalReport,
  SuspicionReports,
  TrialReport,
  TrialState,
} from '@camphorvane/decisions';
import { isSharedDigest } from '@camphorvane/decisions';
import { decodeRows, isNonNegativeNumber, isStringArray } from './hintRowCodec.ts';

/** Most crashes, and most successes, that are read from one datagram. */
const MAX_READ = 1_000;

/** Most milliseconds between the ages of one crash that two requests recorded, to share a row. */
const MAX_AGE_SPREAD_MS: Millis = 10_000;

/** The upstream, the age of its crash and the digests of the requests that it was running. */
type CrashRow = readonly [UpstreamId, number, ...string[]];

/** Digests of requests that were running on an upstream that crashed. */
interface CrashGroup {
  readonly upstream: UpstreamId;
  readonly ageMs: Millis;
  readonly digests: readonly string[];
}

/** A digest or an upstream, and an age. */
type AgeRow = readonly [string, number];

/** Crashes and answers of traits that requests share, and the trials. */
type SharedRows = readonly [readonly CrashRow[], readonly AgeRow[], readonly TrialRow[]];

/** The subject of a trial, its age, the index of its state, and the upstream that it crashed. */
type TrialRow = readonly [string, number, number, UpstreamId?];

/** States of trials by their index in rows. */
const TRIAL_STATES: readonly TrialState[] = ['running', 'failed', 'ended'];

type SuspicionRows = readonly [
  crashes: readonly CrashRow[],
  answers: readonly AgeRow[],
  survivals: readonly AgeRow[],
  shared?: SharedRows,
];

/** Tells whether there is nothing to report. */
export function isEmptySuspicion(reports: SuspicionReports): boolean {
  const { crashes, answers, survivals, trials = [] } = reports;
  return crashes.length + answers.length + survivals.length + trials.length === 0;
}

/**
 * Encodes reports. What requests share is in rows of its own, which hosts of an earlier version don't read: they
 * would take it for requests with more crashes than others, and let those run.
 */
export function encodeSuspicion(reports: SuspicionReports): SuspicionRows {
  const { crashes, answers, survivals, trials = [] } = reports;
  const sharedCrashes = crashes.filter(({ digest }) => isSharedDigest(digest));
  const sharedAnswers = answers.filter(({ digest }) => isSharedDigest(digest));
  const shared: SharedRows = [
    encodeCrashes(sharedCrashes),
    sharedAnswers.map(toAgeRow),
    trials.map(({ digest, ageMs, state, upstream }): TrialRow => {
      const row = [digest, Math.floor(ageMs), TRIAL_STATES.indexOf(state)] as const;
      return upstream === undefined ? row : [...row, upstream];
    }),
  ];
  const ofRequests: SuspicionRows = [
    encodeCrashes(crashes.filter(({ digest }) => !isSharedDigest(digest))),
    answers.filter(({ digest }) => !isSharedDigest(digest)).map(toAgeRow),
    survivals.map(({ upstream, ageMs }): AgeRow => [upstream, Math.ceil(ageMs)]),
  ];
  const hasShared = shared.some((rows) => rows.length > 0);
  return hasShared ? [ofRequests[0], ofRequests[1], ofRequests[2], shared] : ofRequests;
}

function toAgeRow({ digest, ageMs }: AnswerReport): AgeRow {
  return [digest, Math.ceil(ageMs)];
}

/** Encodes crashes; those of one upstream share a row, since many requests ran on it. */
function encodeCrashes(crashes: readonly CrashReport[]): readonly CrashRow[] {
  const groups = crashes.reduce((all, { upstream, digest, ageMs }) => {
    const key = `${upstream} ${Math.round(ageMs / MAX_AGE_SPREAD_MS)}`;
    const group = all.get(key) ?? { upstream, ageMs: 0, digests: [] };
    const digests = [...group.digests, digest];
    return all.set(key, { upstream, ageMs: Math.max(group.ageMs, ageMs), digests });
  }, new Map<string, CrashGroup>());
  return [...groups.values()].map(({ upstream, ageMs, digests }): CrashRow => [
    upstream,
    Math.floor(ageMs),
    ...digests,
  ]);
}

/**
 * Decodes a field of {@link encodeSuspicion}; undefined where it is malformed. A missing field is valid:
 * hosts of an earlier version, which may run during a rolling update, don't send it.
 */
export function decodeSuspicion(field: unknown): SuspicionReports | undefined {
  if (field === undefined) return { crashes: [], answers: [], survivals: [] };
  if (!Array.isArray(field)) return undefined;
  const [crashRows, answerRows, survivalRows, sharedRows = []] = field as readonly unknown[];
  const groups = decodeRows(crashRows, decodeCrashRow);
  const answers = decodeRows(answerRows, decodeAnswerRow);
  const survivals = decodeRows(survivalRows, decodeSurvivalRow);
  const shared = decodeSharedRows(sharedRows);
  if (groups === undefined || answers === undefined || survivals === undefined) return undefined;
  if (shared === undefined) return undefined;
  return {
    crashes: [...groups.flat().slice(0, MAX_READ), ...shared.crashes],
    answers: [...answers.slice(0, MAX_READ), ...shared.answers],
    survivals: survivals.slice(0, MAX_READ),
    ...(shared.trials.length === 0 ? {} : { trials: shared.trials }),
  };
}

function decodeSharedRows(
  rows: unknown,
): Required<Omit<SuspicionReports, 'survivals'>> | undefined {
  if (!Array.isArray(rows)) return undefined;
  const [crashRows = [], answerRows = [], trialRows = []] = rows as readonly unknown[];
  const groups = decodeRows(crashRows, decodeCrashRow);
  const answers = decodeRows(answerRows, decodeAnswerRow);
  const trials = decodeRows(trialRows, decodeTrialRow);
  if (groups === undefined || answers === undefined || trials === undefined) return undefined;
  return {
    crashes: groups.flat().slice(0, MAX_READ),
    answers: answers.slice(0, MAX_READ),
    trials: trials.slice(0, MAX_READ),
  };
}

function decodeTrialRow(row: unknown): TrialReport | undefined {
  if (!Array.isArray(row)) return undefined;
  const [digest, ageMs, stateIndex, upstream] = row as readonly unknown[];
  const state = isNonNegativeNumber(stateIndex) ? TRIAL_STATES[stateIndex] : undefined;
  if (typeof digest !== 'string' || !isNonNegativeNumber(ageMs)) return undefined;
  if (upstream !== undefined && typeof upstream !== 'string') return undefined;
  return state === undefined ? undefined : { digest, ageMs, state, upstream };
}

function decodeCrashRow(row: unknown): readonly CrashReport[] | undefined {
  if (!Array.isArray(row)) return undefined;
  const [upstream, ageMs, ...digests] = row as readonly unknown[];
  if (typeof upstream !== 'string' || !isNonNegativeNumber(ageMs)) return undefined;
  if (!isStringArray(digests)) return undefined;
  return digests.map((digest: string) => ({ digest, upstream, ageMs }));
}

function decodeAnswerRow(row: unknown): AnswerReport | undefined {
  const [digest, ageMs] = decodeAgeRow(row) ?? [];
  return digest === undefined || ageMs === undefined ? undefined : { digest, ageMs };
}

function decodeSurvivalRow(row: unknown): SurvivalReport | undefined {
  const [upstream, ageMs] = decodeAgeRow(row) ?? [];
  return upstream === undefined || ageMs === undefined ? undefined : { upstream, ageMs };
}

function decodeAgeRow(row: unknown): AgeRow | undefined {
  if (!Array.isArray(row)) return undefined;
  const [name, ageMs] = row as readonly unknown[];
  return typeof name === 'string' && isNonNegativeNumber(ageMs) ? [name, ageMs] : undefined;
}
