import type { TeamId } from '@camphorvane/core';

/** A holder that should report some teams at once; none where any report will do. */
export interface ShareNudge {
  readonly holder: string;
  readonly teams: readonly TeamId[];
}

/**
 * Joins nudges, so that each holder gets one.
 *
 * @param wanted - Nudges for single teams.
 * @param members - Holders that are nudged in any case.
 */
export function mergeNudges(
  wanted: readonly ShareNudge[],
  members: readonly string[],
): readonly ShareNudge[] {
  const holders = [...new Set([...wanted.map((one) => one.holder), ...members])];
  return holders.map((holder) => {
    const own = wanted.filter((one) => one.holder === holder);
    return { holder, teams: [...new Set(own.flatMap((one) => one.teams))] };
  });
}
