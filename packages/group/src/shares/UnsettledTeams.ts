import type { TeamId } from '@camphorvane/core';

/**
 * Remembers for each holder the teams whose shares may lie far from their targets, so that a
 * steward looks at those alone and not at all its idle teams with each message.
 */
export class UnsettledTeams {
  private readonly teams = new Map<string, Set<TeamId>>();

  /** Gets all that is remembered, as plain values. */
  get state(): readonly (readonly [string, readonly TeamId[]])[] {
    return [...this.teams].map(([holder, teams]) => [holder, [...teams]] as const);
  }

  /** Copies this memory; what happens to one does not touch the other. */
  fork(): UnsettledTeams {
    const copy = new UnsettledTeams();
    this.teams.forEach((teams, holder) => copy.teams.set(holder, new Set(teams)));
    return copy;
  }

  /** Starts anew after a change of members, with all teams to be looked at. */
  reset(holders: readonly string[], teams: readonly TeamId[]): void {
    this.teams.clear();
    holders.forEach((holder) => this.teams.set(holder, new Set(teams)));
  }

  /** Has a team looked at for each holder. */
  add(team: TeamId): void {
    this.teams.forEach((teams) => teams.add(team));
  }

  /** Notes that a team was looked at for one holder. */
  remove(holder: string, team: TeamId): void {
    this.teams.get(holder)?.delete(team);
  }

  /** Gets the teams to be looked at for one holder. */
  of(holder: string): readonly TeamId[] {
    return [...(this.teams.get(holder) ?? [])];
  }
}
