import type { Millis, Refusal, RequestId, TeamId } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { HoldRanks } from './HoldRanks.ts';
import type { EnginePair, LocalPlacement, PlacementWish } from './LocalPlacement.ts';

/** A request that waits for engines. */
export interface QueuedWish extends PlacementWish {
  readonly request: RequestId;
  readonly team: TeamId;
  /** Lower goes first. */
  readonly priority: number;
  /** Its memory times the output tokens for which it holds it. */
  readonly memorySteps: number;
  /** Time at which it came. */
  readonly since: Millis;
  /** Time after which its first token can't be on time any more. */
  readonly lateAt: Millis;
  /** Time at which the request is refused if it has no engines by then. */
  readonly giveUpAt: Millis;
}

/** A request with what it holds compared with others. */
interface RankedWish extends QueuedWish {
  /** Part of the requests before it that hold less. */
  readonly rank: number;
}

/** What a request waits for: room at a decode engine, the reading of a prompt, or those before it. */
export type Lack = 'room' | 'reading' | 'turn';

/** What the queue decided for a request. */
export type QueueDecision =
  | {
      readonly type: 'place';
      readonly request: RequestId;
      readonly pair: EnginePair;
      /** What it waited for last; undefined where it did not wait. */
      readonly lacked: Lack | undefined;
    }
  | { readonly type: 'refuse'; readonly request: RequestId; readonly refusal: Refusal };

/**
 * Longest time in which a prompt that is sent now should be read, in milliseconds. Prompts wait here
 * and not at an engine, where a more urgent one could not pass them, and where they would still be
 * read after their caller has left.
 */
const MAX_READ_MS: Millis = 350;

/** Milliseconds by which the reading of a late prompt may be longer than on an idle engine. */
const LATE_READ_MARGIN_MS: Millis = 60;

/**
 * Part of its patience for which the request that holds most lets others pass. The rest is left for it
 * to find room in, so that large requests are served less often under overload, but not starved.
 */
const LET_PASS_PART = 0.8;

/** Requests that wait at most; more could not be served before their callers leave. */
const MAX_WAITING = 512;

/** Milliseconds after which a refused caller may try: the length of a short burst's tail. */
const RETRY_AFTER_MS: Millis = 1_000;

/** Milliseconds between two looks at the engines while requests wait: a tenth of a prefill. */
export const QUEUE_RECHECK_MS: Millis = 10;

/**
 * Requests of one pool that wait on this host for engines.
 *
 * Made for bursts: while no engine has room, the most urgent request of the team with the fewest
 * running ones goes first, so that one team's burst delays mostly itself. A request that can't be on
 * time any more lets all others pass: served in order of arrival, one burst would make everybody late
 * for as long as it lasts. It lets those on other hosts pass too: room on the engines is everybody's,
 * and where each host goes by its own queue alone, a late request on one takes what would have made
 * another host's be on time. It takes engines that nobody else wants, until its caller would have left.
 *
 * While more wait than there is room for, what holds little memory for a short time goes first: the
 * same memory serves several short answers in the time of one long one. How long a request lets others
 * pass follows from how many of those that wait are likely to hold less than it does.
 */
export class LocalQueue {
  private readonly placement: LocalPlacement;

  private readonly runningByTeam = new Map<TeamId, number>();

  private waiting: readonly RankedWish[] = [];

  /** What those who wait have waited for last. */
  private readonly lacks = new Map<RequestId, Lack>();

  private readonly ranks = new HoldRanks();

  private readonly peersOnTime: (now: Millis) => number;

  /**
   * @param placement - Chooses engines.
   * @param peersOnTime - Gets how many requests wait on other hosts and can still be on time.
   */
  constructor(placement: LocalPlacement, peersOnTime: (now: Millis) => number = () => 0) {
    this.placement = placement;
    this.peersOnTime = peersOnTime;
  }

  /** Gets how many requests wait. */
  get size(): number {
    return this.waiting.length;
  }

  /** Counts the requests that wait and can still be on time, to be told to peers. */
  countOnTime(now: Millis): number {
    return this.waiting.filter((wish) => wish.lateAt > now).length;
  }

  /** Puts a request into the queue, or refuses it at once. */
  submit(wish: QueuedWish): Refusal | undefined {
    if (!this.placement.hasEngines()) {
      return notRun('no_capacity', 'No engine of this model is known.', RETRY_AFTER_MS);
    }
    if (this.waiting.length >= MAX_WAITING) {
      return notRun('queue_full', 'Too many requests wait for this model.', RETRY_AFTER_MS);
    }
    this.waiting = [...this.waiting, { ...wish, rank: this.ranks.rankOf(wish.memorySteps) }];
    this.ranks.note(wish.memorySteps);
    return undefined;
  }

  /** Takes a request out, because its caller has gone. */
  withdraw(request: RequestId): void {
    this.waiting = this.waiting.filter((wish) => wish.request !== request);
    this.lacks.delete(request);
  }

  /** Notes that a placed request has ended. */
  ended(team: TeamId): void {
    const left = (this.runningByTeam.get(team) ?? 1) - 1;
    if (left > 0) this.runningByTeam.set(team, left);
    else this.runningByTeam.delete(team);
  }

  /**
   * Gets the next decision that is due.
   *
   * @param now - Present time.
   * @returns The decision; undefined where all who wait go on waiting. The caller notes the use of
   *   the engines before it asks again.
   */
  next(now: Millis): QueueDecision | undefined {
    const late = this.waiting.find((wish) => wish.giveUpAt <= now);
    if (late !== undefined) {
      this.withdraw(late.request);
      const refusal = notRun('target_missed', 'No engine became free in time.', RETRY_AFTER_MS);
      return { type: 'refuse', request: late.request, refusal };
    }
    const [first] = [...this.waiting].sort((a, b) => this.compare(a, b, now));
    if (first === undefined) return undefined;
    if (this.letsOthersPass(first, now)) {
      this.noteLacks(first, 'turn');
      return undefined;
    }
    const pair = this.placement.choose(first, now);
    if (pair === undefined || pair.readMs > this.allowedReadMs(first, pair, now)) {
      this.noteLacks(first, pair === undefined ? 'room' : 'reading');
      return undefined;
    }
    const lacked = this.lacks.get(first.request);
    this.withdraw(first.request);
    this.runningByTeam.set(first.team, (this.runningByTeam.get(first.team) ?? 0) + 1);
    return { type: 'place', request: first.request, pair, lacked };
  }

  /** Tells whether a request leaves free room to those that wait on other hosts. */
  private letsOthersPass(wish: RankedWish, now: Millis): boolean {
    const others = this.peersOnTime(now);
    if (wish.lateAt <= now) return others > 0;
    const lighterOthers = wish.rank * others;
    return lighterOthers >= 1 && waitedPart(wish, now) < wish.rank * LET_PASS_PART;
  }

  private noteLacks(first: QueuedWish, lack: Lack): void {
    this.waiting.forEach(({ request }) => {
      if (request === first.request) this.lacks.set(request, lack);
      else if (!this.lacks.has(request)) this.lacks.set(request, 'turn');
    });
  }

  /** A prompt that takes longer than the bound on an idle engine is not held back for its size. */
  private allowedReadMs(wish: QueuedWish, pair: EnginePair, now: Millis): Millis {
    const idleMs = this.placement.idleReadMs(wish, pair) + LATE_READ_MARGIN_MS;
    return now >= wish.lateAt ? idleMs : Math.max(MAX_READ_MS, idleMs);
  }

  private compare(a: RankedWish, b: RankedWish, now: Millis): number {
    const late = Number(a.lateAt <= now) - Number(b.lateAt <= now);
    if (late !== 0) return late;
    if (a.priority !== b.priority) return a.priority - b.priority;
    const running = (wish: RankedWish): number => this.runningByTeam.get(wish.team) ?? 0;
    return running(a) - running(b) || order(a, now) - order(b, now);
  }
}

/** The order of requests on time: those that hold little first, but each in the end. */
function order(wish: RankedWish, now: Millis): number {
  return wish.rank * LET_PASS_PART - waitedPart(wish, now);
}

/** Gets the part that has passed of the time in which a request can be on time. */
function waitedPart({ since, lateAt }: QueuedWish, now: Millis): number {
  return (now - since) / Math.max(1, lateAt - since);
}
