import type { TeamId, Tokens, WorkClass } from '@camphorvane/core';
import { IndexedHeap } from '../structures/IndexedHeap.ts';
import type { QueuedWork } from './QueuedWork.ts';
import { WorkList } from './WorkList.ts';

/** The classes of work in order of priority, highest first. */
export const WORK_CLASSES: readonly WorkClass[] = ['lookup', 'certificate', 'summary'];

interface TeamState {
  readonly team: TeamId;
  weight: number;
  /** Virtual start time of the next request: tokens served divided by weight. The lowest goes first. */
  startTag: number;
  readonly lists: Readonly<Record<WorkClass, WorkList>>;
}

interface ClassState {
  /** Teams with waiting requests of the class, by start tag. */
  readonly teams: IndexedHeap<TeamId>;
  size: number;
  cost: Tokens;
  /** Sum of the weights of those teams. */
  weight: number;
}

const emptyClass = (): ClassState => ({
  teams: new IndexedHeap<TeamId>(),
  size: 0,
  cost: 0,
  weight: 0,
});

/**
 * Waiting requests, scheduled across teams by start-time fair queueing over tokens.
 *
 * First come, first served would give engines to teams in proportion to what they send, so that a team at
 * several times its rate would displace small ones. Here each team with waiting requests gets tokens in
 * proportion to its weight, whatever the others send. One account covers all classes, so that a team can't
 * exceed its share by sending lookups. A team that was idle resumes at the present virtual time: with credit
 * for its idle time it could occupy every engine until it has caught up.
 */
export class FairQueue {
  private readonly teams = new Map<TeamId, TeamState>();

  private readonly classes: Readonly<Record<WorkClass, ClassState>> = {
    lookup: emptyClass(),
    certificate: emptyClass(),
    summary: emptyClass(),
  };

  /** Teams without waiting requests whose start tag is ahead of the virtual time. */
  private readonly idleTeams = new IndexedHeap<TeamId>();

  private virtualTime = 0;

  /** Gets the number of waiting requests. */
  get size(): number {
    return WORK_CLASSES.reduce((sum, name) => sum + this.classes[name].size, 0);
  }

  /** Gets the number of teams whose state is kept. */
  get trackedTeams(): number {
    return this.teams.size;
  }

  /** Gets the number of waiting requests of a class. */
  getSize(name: WorkClass): number {
    return this.classes[name].size;
  }

  /** Gets the cost of all waiting requests of a class, in tokens. */
  getCost(name: WorkClass): Tokens {
    return this.classes[name].cost;
  }

  /** Gets the number of waiting requests of a team over all classes. */
  getTeamSize(team: TeamId): number {
    const state = this.teams.get(team);
    return state === undefined
      ? 0
      : WORK_CLASSES.reduce((sum, name) => sum + state.lists[name].size, 0);
  }

  /**
   * Gets the tokens that are served before a new request of a team in a class.
   *
   * While the requests of the team itself are served, other teams are served in proportion to their weights,
   * but no more than they have waiting.
   *
   * @param team - The team.
   * @param weight - Its weight.
   * @param name - The class.
   * @param behind - Tokens of the team that are queued but not served before; 0 for a new request.
   * @returns Tokens of the team itself and of others.
   */
  getCostAhead(team: TeamId, weight: number, name: WorkClass, behind: Tokens = 0): Tokens {
    const own = this.teams.get(team)?.lists[name].cost ?? 0;
    const all = this.classes[name];
    const totalWeight = own > 0 ? all.weight : all.weight + weight;
    return Math.min(all.cost - behind, (own - behind) * (totalWeight / weight));
  }

  /** Gets the waiting request of each team in a class that was added last. */
  getLastOfTeams(name: WorkClass): readonly QueuedWork[] {
    return [...this.teams.values()].flatMap(({ lists }) => lists[name].tail ?? []);
  }

  /** Adds a request. */
  push(work: QueuedWork): void {
    const { item } = work;
    const state = this.activate(item.team, item.weight);
    const list = state.lists[item.class];
    const classState = this.classes[item.class];
    if (list.size === 0) classState.weight += state.weight;
    list.push(work);
    classState.size += 1;
    classState.cost += work.cost;
    classState.teams.set(item.team, state.startTag);
  }

  /** Removes a request, which must be in the queue. */
  remove(work: QueuedWork): void {
    const { item } = work;
    const state = this.teams.get(item.team);
    if (state === undefined) return;
    const list = state.lists[item.class];
    const classState = this.classes[item.class];
    list.remove(work);
    classState.size -= 1;
    classState.cost -= work.cost;
    if (list.size > 0) return;
    classState.teams.delete(item.team);
    classState.weight = classState.size === 0 ? 0 : classState.weight - state.weight;
    if (this.getTeamSize(item.team) === 0) this.deactivate(state);
  }

  /** Charges a team for a placed request, which was removed before by {@link FairQueue.remove}. */
  charge(work: QueuedWork): void {
    const { item, cost } = work;
    const state = this.activate(item.team, item.weight);
    this.virtualTime = Math.max(this.virtualTime, state.startTag);
    state.startTag += cost / state.weight;
    WORK_CLASSES.filter((name) => state.lists[name].size > 0).forEach((name) =>
      this.classes[name].teams.set(item.team, state.startTag),
    );
    if (this.getTeamSize(item.team) === 0) this.deactivate(state);
  }

  /**
   * Finds a request of a class that fits, among the first request of each team; lowest start tag first.
   *
   * @param name - The class.
   * @param fits - Gets whether a request can be placed now.
   * @param limit - Largest number of teams to try.
   * @returns The request, which stays in the queue; undefined if none fits.
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

  /** Gets the state of a team, which resumes at the present virtual time if it was idle. */
  private activate(team: TeamId, weight: number): TeamState {
    const known = this.teams.get(team);
    if (known === undefined) {
      const lists = {
        lookup: new WorkList(),
        certificate: new WorkList(),
        summary: new WorkList(),
      };
      const created: TeamState = { team, weight, startTag: this.virtualTime, lists };
      this.teams.set(team, created);
      return created;
    }
    if (this.getTeamSize(team) === 0) {
      this.idleTeams.delete(team);
      known.weight = weight;
      known.startTag = Math.max(known.startTag, this.virtualTime);
    }
    return known;
  }

  /** Keeps an idle team only while its start tag is ahead of the virtual time, to bound the memory. */
  private deactivate(state: TeamState): void {
    this.idleTeams.set(state.team, state.startTag);
    let [team, startTag] = [this.idleTeams.peek(), this.idleTeams.peekKey()];
    while (team !== undefined && startTag !== undefined && startTag <= this.virtualTime) {
      this.idleTeams.delete(team);
      this.teams.delete(team);
      [team, startTag] = [this.idleTeams.peek(), this.idleTeams.peekKey()];
    }
  }
}
