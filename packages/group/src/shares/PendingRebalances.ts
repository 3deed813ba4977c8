import type { TeamId } from '@camphorvane/core';

/**
 * Tracks for each holder the teams whose shares may be far from their targets, so that with each
 * message a coordinator rebalances only these and not all its idle teams.
 */
export class PendingRebalances {
  private readonly teams = new Map<string, Set<TeamId>>();

  /** Gets the tracked teams as plain values. */
  get state(): readonly (readonly [string, readonly TeamId[]])[] {
    return [...this.teams].map(([holder, teams]) => [holder, [...teams]] as const);
  }

  /** Creates an independent copy. */
  fork(): PendingRebalances {
    const copy = new PendingRebalances();
    this.teams.forEach((teams, holder) => copy.teams.set(holder, new Set(teams)));
    return copy;
  }

  /** Marks all teams for all holders, after a change of members. */
  reset(holders: readonly string[], teams: readonly TeamId[]): void {
    this.teams.clear();
    holders.forEach((holder) => this.teams.set(holder, new Set(teams)));
  }

  /** Marks a team for all holders. */
  addForAll(team: TeamId): void {
    this.teams.forEach((teams) => teams.add(team));
  }

  /** Unmarks a team for one holder. */
  remove(holder: string, team: TeamId): void {
    this.teams.get(holder)?.delete(team);
  }

  /** Gets the teams marked for one holder. */
  getTeams(holder: string): readonly TeamId[] {
    return [...(this.teams.get(holder) ?? [])];
  }
}
