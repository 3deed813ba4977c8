import type { Tokens, WorkClass } from '@camphorvane/core';
import { WORK_CLASSES } from './FairQueue.ts';

/**
 * Smallest share of the tokens placed that a class gets while it has waiting work. Lookups need no
 * floor, since they are first in line. A tenth for summaries is enough to drain them within their
 * wait bounds over a peak, and costs lookups at most that tenth.
 */
const FLOORS: Readonly<Record<WorkClass, number>> = { lookup: 0, certificate: 0.1, summary: 0.1 };

/** Most tokens that a class may be owed, so that a long wait can't turn into a long burst. */
const MAX_OWED: Tokens = 65_536;

/**
 * Decides which class of work goes first.
 *
 * Made for a flood of lookups: strict order would starve summaries and certificates for as long as
 * it lasts, and they would run into their wait bounds. Each class that waits earns a small share of
 * the tokens placed, and goes first, for one request, when the share it is owed covers the request.
 */
export class ClassShares {
  private readonly owed: Record<WorkClass, Tokens> = { lookup: 0, certificate: 0, summary: 0 };

  /**
   * Gets the classes in the order in which they are to be tried.
   *
   * @param headCost - Tokens that the first waiting request of a class costs; undefined if none.
   */
  order(headCost: (name: WorkClass) => Tokens | undefined): readonly WorkClass[] {
    const due = WORK_CLASSES.filter((name) => {
      const cost = headCost(name);
      return FLOORS[name] > 0 && cost !== undefined && this.owed[name] >= Math.min(cost, MAX_OWED);
    });
    return [...due, ...WORK_CLASSES.filter((name) => !due.includes(name))];
  }

  /**
   * Accounts for a request that got its place.
   *
   * @param placed - Its class.
   * @param cost - Its tokens.
   * @param waits - Tells whether a class has waiting work; only such classes earn a share.
   */
  charge(placed: WorkClass, cost: Tokens, waits: (name: WorkClass) => boolean): void {
    WORK_CLASSES.forEach((name) => {
      if (name === placed) this.owed[name] = Math.max(0, this.owed[name] - cost);
      else if (!waits(name)) this.owed[name] = 0;
      else this.owed[name] = Math.min(MAX_OWED, this.owed[name] + cost * FLOORS[name]);
    });
  }
}
