import type { Millis, RequestId, TeamId } from '@camphorvane/core';
import { dominantShare } from './dominantShare.ts';
import type { ResourceCapacity } from './dominantShare.ts';
import type { PriorityLevels } from './priorityLevels.ts';
import type { OrderedEntry, QueueOrder } from './QueueOrder.ts';
import { StarvationGuard } from './StarvationGuard.ts';
import type { TeamUsage } from './TeamUsage.ts';

/** Fraction of the time to its target after which a waiting request moves up one priority. */
const RAISE_FRACTION = 0.5;

/** Rank of the requests of a priority that was passed over too often. */
const STARVED_RANK = -Infinity;

/** A waiting request as the order of a queue knows it before the queue compares it. */
export type WaitingEntry = Pick<OrderedEntry, 'team' | 'priority' | 'submittedAt' | 'lateAt'>;

/**
 * Why a request was placed before others: by the shares of the teams, since it moved up one priority,
 * since its priority was passed over too often, or as a late one with capacity that others left.
 */
export type PlacementReason = 'share' | 'raised' | 'starved' | 'late';

/** A placement that the order decided. */
export interface OrderedPlacement {
  readonly reason: PlacementReason;
  readonly waitedMs: Millis;
  /** Dominant share of the team before the placement. */
  readonly share: number;
  /** Requests that still wait. */
  readonly waiting: number;
}

/** What the order of one queue depends on beside the waiting requests. */
export interface FairOrderOptions {
  readonly usage: TeamUsage;
  /** Gets the resources of the queue with their present capacity. */
  readonly resources: () => readonly ResourceCapacity[];
  /** Gets the weight of a team; 1 for an unknown one. */
  readonly weightOf: (team: TeamId) => number;
  readonly levels: () => PriorityLevels;
}

/** Values that are the same for all comparisons of a pass. */
interface Pass {
  readonly now: Millis;
  readonly usageRevision: number;
  readonly resources: readonly ResourceCapacity[];
  /** Priority that was passed over too often; undefined where none was. */
  readonly starved: number | undefined;
  /** Whether requests of the starved priority go first also while they can still wait. */
  readonly mayOvertake: boolean;
  /** Priority to which requests of each priority move up. */
  readonly raisedTo: PriorityLevels;
  /** Dominant shares of the teams compared so far. */
  readonly shares: Map<TeamId, number>;
}

/**
 * Orders the waiting requests of one queue by lateness, priority, return in turn, the share that their team
 * holds on all hosts, and footprint.
 *
 * A queue sorts up to 512 requests in each pass. Shares and the starved priority are therefore computed once
 * per pass: they are kept until the time, the usage or the waiting requests change.
 */
export class FairOrder implements QueueOrder {
  private readonly options: FairOrderOptions;

  private readonly guard = new StarvationGuard();

  private readonly waiting = new Map<RequestId, WaitingEntry>();

  private pass: Pass | undefined;

  /** @param options - Usage, capacity, weights and priorities. */
  constructor(options: FairOrderOptions) {
    this.options = options;
  }

  /** {@inheritDoc QueueOrder.compare} */
  compare(a: OrderedEntry, b: OrderedEntry, now: Millis): number {
    const pass = this.passAt(now);
    const isLateA = a.lateAt <= now;
    if (isLateA !== b.lateAt <= now) return isLateA ? 1 : -1;
    const rankA = rankOf(a, pass);
    const rankB = rankOf(b, pass);
    if (rankA !== rankB) return rankA < rankB ? -1 : 1;
    const isInTurnA = a.returnStatus === 'in_turn';
    if (isInTurnA !== (b.returnStatus === 'in_turn')) return isInTurnA ? -1 : 1;
    if (a.team !== b.team) {
      const byShare = this.shareIn(pass, a.team) - this.shareIn(pass, b.team);
      if (byShare !== 0) return byShare;
    }
    return a.footprint - b.footprint;
  }

  /** Records a request that begins to wait. */
  enter(request: RequestId, entry: WaitingEntry): void {
    this.waiting.set(request, entry);
    this.pass = undefined;
  }

  /** Removes a request that waits no more, and gets whether it was waiting until now. */
  leave(request: RequestId): boolean {
    const wasWaiting = this.waiting.delete(request);
    if (wasWaiting) this.pass = undefined;
    return wasWaiting;
  }

  /**
   * Records the placement of a waiting request. It must be called before the team's usage changes and
   * before the next comparison.
   *
   * @param request - The request.
   * @param now - Present time.
   * @returns The placement; undefined where the request did not wait.
   */
  recordPlaced(request: RequestId, now: Millis): OrderedPlacement | undefined {
    const entry = this.waiting.get(request);
    if (entry === undefined) return undefined;
    const pass = this.passAt(now);
    const placement: OrderedPlacement = {
      reason: reasonOf(entry, pass),
      waitedMs: now - entry.submittedAt,
      share: this.shareIn(pass, entry.team),
      waiting: this.waiting.size - 1,
    };
    this.waiting.delete(request);
    const priorities = new Set([...this.waiting.values()].map(({ priority }) => priority));
    this.guard.recordPlaced(entry.priority, priorities, now);
    this.pass = undefined;
    return placement;
  }

  /** Gets the dominant share of a team. */
  shareOf(team: TeamId, now: Millis): number {
    return this.shareIn(this.passAt(now), team);
  }

  /** Gets the waiting requests, for the state dump. */
  getWaiting(): readonly WaitingEntry[] {
    return [...this.waiting.values()];
  }

  private passAt(now: Millis): Pass {
    const { usage, resources } = this.options;
    const usageRevision = usage.revision;
    if (this.pass?.now === now && this.pass.usageRevision === usageRevision) return this.pass;
    const { starved, endangered } = this.guard.assess(this.waiting.values(), now);
    const levels = [...this.options.levels()].filter(([, raised]) => !endangered.has(raised));
    this.pass = {
      ...{ now, usageRevision, resources: resources(), shares: new Map<TeamId, number>() },
      ...{ starved, raisedTo: new Map(levels) },
      mayOvertake: [...endangered].every((priority) => priority === starved),
    };
    return this.pass;
  }

  private shareIn({ now, resources, shares }: Pass, team: TeamId): number {
    const known = shares.get(team);
    if (known !== undefined) return known;
    const { usage, weightOf } = this.options;
    const share = dominantShare(usage, team, resources, weightOf(team), now);
    shares.set(team, share);
    return share;
  }
}

/**
 * Gets the rank of a request among those that are on time, or among the late ones; lower goes first.
 *
 * It is the priority, which moves up by one after half of the time to the target unless a request of that
 * priority would become late by it. A priority that was passed over too often goes first; with requests that
 * can still wait only if no request of another priority would become late by it.
 */
function rankOf(entry: WaitingEntry, pass: Pass): number {
  const { priority, lateAt } = entry;
  const raised = isRaised(entry, pass.now);
  if (priority === pass.starved && (raised || pass.mayOvertake || lateAt <= pass.now)) {
    return STARVED_RANK;
  }
  return raised ? (pass.raisedTo.get(priority) ?? priority) : priority;
}

function isRaised({ submittedAt, lateAt }: WaitingEntry, now: Millis): boolean {
  return lateAt > now && now - submittedAt >= (lateAt - submittedAt) * RAISE_FRACTION;
}

function reasonOf(entry: WaitingEntry, pass: Pass): PlacementReason {
  if (entry.lateAt <= pass.now) return 'late';
  const rank = rankOf(entry, pass);
  if (rank === STARVED_RANK) return 'starved';
  return rank === entry.priority ? 'share' : 'raised';
}
