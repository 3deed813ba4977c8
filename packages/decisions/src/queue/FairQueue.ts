import type { TeamId, Tokens, WorkClass } from '@camphorvane/core';
import { IndexedHeap } from '../structures/IndexedHeap.ts';
import type { QueuedWork } from './QueuedWork.ts';
import { WorkList } from './WorkList.ts';

/** The classes of work, first in line first. */
export const WORK_CLASSES: readonly WorkClass[] = ['lookup', 'certificate', 'summary'];

interface TeamState {
  readonly team: TeamId;
  weight: number;
  /** Tokens served divided by weight; the team with the least goes first. */
  served: number;
  readonly lists: Readonly<Record<WorkClass, WorkList>>;
}

interface ClassState {
  readonly teams: IndexedHeap<TeamId>;
  size: number;
  cost: Tokens;
  weight: number;
}

const emptyClass = (): ClassState => ({
  teams: new IndexedHeap<TeamId>(),
  size: 0,
  cost: 0,
  weight: 0,
});

/**
 * Waiting requests, fair across teams by tokens served (start-time fair queueing).
 *
 * Made for one team that sends several times its rate beside small ones. Order of arrival would
 * give engines to teams in proportion to what they send; here each team with waiting work gets
 * tokens in proportion to its weight, whatever the others send. A team is charged for all classes
 * together, so that lookups can't be used to get more than a share. A team that comes back from a
 * pause starts at the present level: otherwise its idle time would be a credit, and it could hold
 * every engine until it has caught up.
 */
export class FairQueue {
  private readonly teams = new Map<TeamId, TeamState>();

  private readonly classes: Readonly<Record<WorkClass, ClassState>> = {
    lookup: emptyClass(),
    certificate: emptyClass(),
    summary: emptyClass(),
  };

  /** Teams without waiting work whose level is still above the present one. */
  private readonly idle = new IndexedHeap<TeamId>();

  private level = 0;

  /** Gets the number of waiting requests. */
  get size(): number {
    return WORK_CLASSES.reduce((sum, name) => sum + this.classes[name].size, 0);
  }

  /** Gets the number of teams whose level is remembered. */
  get knownTeams(): number {
    return this.teams.size;
  }

  /** Gets the number of waiting requests of a class. */
  getSize(name: WorkClass): number {
    return this.classes[name].size;
  }

  /** Gets the tokens that the waiting requests of a class cost together. */
  getCost(name: WorkClass): Tokens {
    return this.classes[name].cost;
  }

  /** Gets the number of waiting requests of a team, over all classes. */
  getTeamSize(team: TeamId): number {
    const state = this.teams.get(team);
    return state === undefined
      ? 0
      : WORK_CLASSES.reduce((sum, name) => sum + state.lists[name].size, 0);
  }

  /**
   * Gets the tokens that are served before a new request of a team in a class.
   *
   * The team's own tokens wait for the other teams' in proportion to the weights; other teams can't
   * hold it up by more than they have waiting.
   */
  getCostAhead(team: TeamId, weight: number, name: WorkClass): Tokens {
    const own = this.teams.get(team)?.lists[name].cost ?? 0;
    const others = this.classes[name];
    const known = own > 0 ? others.weight : others.weight + weight;
    return Math.min(others.cost, own * (known / weight));
  }

  /** Adds a request. */
  push(work: QueuedWork): void {
    const { item } = work;
    const state = this.wake(item.team, item.weight);
    const list = state.lists[item.class];
    const kind = this.classes[item.class];
    if (list.size === 0) kind.weight += state.weight;
    list.push(work);
    kind.size += 1;
    kind.cost += work.cost;
    kind.teams.set(item.team, state.served);
  }

  /** Takes out a request that is in the queue. */
  remove(work: QueuedWork): void {
    const { item } = work;
    const state = this.teams.get(item.team);
    if (state === undefined) return;
    const list = state.lists[item.class];
    const kind = this.classes[item.class];
    list.remove(work);
    kind.size -= 1;
    kind.cost -= work.cost;
    if (list.size > 0) return;
    kind.teams.delete(item.team);
    kind.weight = kind.size === 0 ? 0 : kind.weight - state.weight;
    if (this.getTeamSize(item.team) === 0) this.rest(state);
  }

  /** Charges a team for a request that got its place, after {@link remove}. */
  charge(work: QueuedWork): void {
    const { item, cost } = work;
    const state = this.wake(item.team, item.weight);
    this.level = Math.max(this.level, state.served);
    state.served += cost / state.weight;
    WORK_CLASSES.filter((name) => state.lists[name].size > 0).forEach((name) =>
      this.classes[name].teams.set(item.team, state.served),
    );
    if (this.getTeamSize(item.team) === 0) this.rest(state);
  }

  /**
   * Finds the first waiting request of a class that fits, least served team first.
   *
   * @param name - The class.
   * @param fits - Tells whether a request can be placed now.
   * @param limit - Most teams to look at.
   * @returns The request, still in the queue.
   */
  find(
    name: WorkClass,
    fits: (work: QueuedWork) => boolean,
    limit: number,
  ): QueuedWork | undefined {
    const head = (team: TeamId): QueuedWork | undefined => this.teams.get(team)?.lists[name].head;
    const team = this.classes[name].teams.find((id) => {
      const work = head(id);
      return work !== undefined && fits(work);
    }, limit);
    return team === undefined ? undefined : head(team);
  }

  private wake(team: TeamId, weight: number): TeamState {
    const known = this.teams.get(team);
    if (known === undefined) {
      const lists = {
        lookup: new WorkList(),
        certificate: new WorkList(),
        summary: new WorkList(),
      };
      const fresh: TeamState = { team, weight, served: this.level, lists };
      this.teams.set(team, fresh);
      return fresh;
    }
    if (this.getTeamSize(team) === 0) {
      this.idle.delete(team);
      known.weight = weight;
      known.served = Math.max(known.served, this.level);
    }
    return known;
  }

  /** Remembers an idle team only while it is ahead of the others, so that memory stays bounded. */
  private rest(state: TeamState): void {
    this.idle.set(state.team, state.served);
    let [team, served] = [this.idle.peek(), this.idle.peekKey()];
    while (team !== undefined && served !== undefined && served <= this.level) {
      this.idle.delete(team);
      this.teams.delete(team);
      [team, served] = [this.idle.peek(), this.idle.peekKey()];
    }
  }
}
