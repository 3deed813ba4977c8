import type { Millis, UpstreamId } from '@camphorvane/core';
import type {
  AnswerReport,
  CrashReport,
  SurvivalReport,
  SuspicionReports,
} from '@camphorvane/decisions';
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

/** Tells whether there is nothing to report. */
export function isEmptySuspicion({ crashes, answers, survivals }: SuspicionReports): boolean {
  return crashes.length + answers.length + survivals.length === 0;
}

/** A digest or an upstream, and an age. */
type AgeRow = readonly [string, number];

/** Encodes reports; crashes of one upstream share a row, since many requests ran on it. */
export function encodeSuspicion({
  crashes,
  answers,
  survivals,
}: SuspicionReports): readonly [readonly CrashRow[], readonly AgeRow[], readonly AgeRow[]] {
  const groups = crashes.reduce((all, { upstream, digest, ageMs }) => {
    const key = `${upstream} ${Math.round(ageMs / MAX_AGE_SPREAD_MS)}`;
    const group = all.get(key) ?? { upstream, ageMs: 0, digests: [] };
    const digests = [...group.digests, digest];
    return all.set(key, { upstream, ageMs: Math.max(group.ageMs, ageMs), digests });
  }, new Map<string, CrashGroup>());
  return [
    [...groups.values()].map(({ upstream, ageMs, digests }): CrashRow => [
      upstream,
      Math.floor(ageMs),
      ...digests,
    ]),
    answers.map(({ digest, ageMs }): AgeRow => [digest, Math.ceil(ageMs)]),
    survivals.map(({ upstream, ageMs }): AgeRow => [upstream, Math.ceil(ageMs)]),
  ];
}

/**
 * Decodes a field of {@link encodeSuspicion}; undefined where it is malformed. A missing field is valid:
 * hosts of an earlier version, which may run during a rolling update, don't send it.
 */
export function decodeSuspicion(field: unknown): SuspicionReports | undefined {
  if (field === undefined) return { crashes: [], answers: [], survivals: [] };
  if (!Array.isArray(field)) return undefined;
  const [crashRows, answerRows, survivalRows] = field as readonly unknown[];
  const groups = decodeRows(crashRows, decodeCrashRow);
  const answers = decodeRows(answerRows, decodeAnswerRow);
  const survivals = decodeRows(survivalRows, decodeSurvivalRow);
  if (groups === undefined || answers === undefined || survivals === undefined) return undefined;
  return {
    crashes: groups.flat().slice(0, MAX_READ),
    answers: answers.slice(0, MAX_READ),
    survivals: survivals.slice(0, MAX_READ),
  };
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
