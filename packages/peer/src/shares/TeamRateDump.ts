import type { Millis, TeamId } from '@camphorvane/core';
import type { ShareHolder } from '@camphorvane/group';

/** The state of a team's rate on this host, for the state dump. */
export interface TeamRateDump {
  readonly share: number;
  readonly level: number;
  readonly validForMs: Millis;
  readonly waiting: number;
}

/** Creates the dump of all teams of which a holder has a share. */
export function dumpTeamRates(
  holder: ShareHolder,
  now: Millis,
  waitingOf: (team: TeamId) => number,
): Readonly<Record<TeamId, TeamRateDump>> {
  const entries = [...holder.state.held.keys()].map((team) => {
    const held = holder.getHeldShare(team, now);
    const dump: TeamRateDump = {
      share: held?.share ?? 0,
      level: Math.floor(held?.bucket.level ?? 0),
      validForMs: Math.max(0, Math.round(holder.validUntil(team) - now)),
      waiting: waitingOf(team),
    };
    return [team, dump] as const;
  });
  return Object.fromEntries(entries);
}
