import type { TeamId } from '@camphorvane/core';

/** Asks a holder to report some teams at once; no teams if any report will do. */
export interface ShareNudge {
  readonly holder: string;
  readonly teams: readonly TeamId[];
}

/**
 * Merges nudges into one per holder.
 *
 * @param wanted - Nudges for single teams.
 * @param members - Holders that get a nudge even if no team is listed for them.
 */
export function mergeNudges(
  wanted: readonly ShareNudge[],
  members: readonly string[],
): readonly ShareNudge[] {
  const holders = [...new Set([...wanted.map((nudge) => nudge.holder), ...members])];
  return holders.map((holder) => {
    const own = wanted.filter((nudge) => nudge.holder === holder);
    return { holder, teams: [...new Set(own.flatMap((nudge) => nudge.teams))] };
  });
}
