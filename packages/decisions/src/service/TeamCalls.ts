import type { Millis, TeamId } from '@camphorvane/core';

/** Milliseconds for which a call counts against its team where servers take few calls. */
const RECENT_CALL_MS: Millis = 4_000;

/** The calls of each team to a plain service from this host. */
export class TeamCalls {
  private readonly inFlight = new Map<TeamId, number>();

  /** Recent calls to servers that take few, by team. */
  private readonly scarce = new Map<TeamId, readonly Millis[]>();

  /** Records a call that starts; `isScarce` where its server takes few calls. */
  recordStarted(team: TeamId, isScarce: boolean, now: Millis): void {
    this.inFlight.set(team, this.countInFlight(team) + 1);
    if (!isScarce) return;
    const recent = (this.scarce.get(team) ?? []).filter((at) => at > now - RECENT_CALL_MS);
    this.scarce.set(team, [...recent, now]);
  }

  /** Records a call that has ended. */
  recordEnded(team: TeamId): void {
    const remaining = (this.inFlight.get(team) ?? 1) - 1;
    if (remaining > 0) this.inFlight.set(team, remaining);
    else this.inFlight.delete(team);
  }

  /** Gets the number of calls of a team in flight. */
  countInFlight(team: TeamId): number {
    return this.inFlight.get(team) ?? 0;
  }

  /** Counts the recent calls of a team to servers that take few: these calls are too short to be in flight. */
  countScarce(team: TeamId, now: Millis): number {
    return (this.scarce.get(team) ?? []).filter((at) => at > now - RECENT_CALL_MS).length;
  }
}
