import type { Tokens, WorkClass } from '@camphorvane/core';
import { WORK_CLASSES } from './FairQueue.ts';

/**
 * Smallest share of the placed tokens that a class gets while requests of it wait. Lookups need none, since
 * they go first. A tenth drains summaries within their maximum wait over a peak, and costs lookups at most
 * that tenth.
 */
const SHARES: Readonly<Record<WorkClass, number>> = { lookup: 0, certificate: 0.1, summary: 0.1 };

/** Most tokens that a class can be owed, so that a long wait can't turn into a long burst. */
const MAX_OWED: Tokens = 65_536;

/**
 * Decides in which order the classes of work are served.
 *
 * With strict priority, a flood of lookups would starve summaries and certificates until they exceed their
 * maximum wait. So each waiting class earns a small share of the placed tokens, and goes first, for one
 * request, once the tokens that it is owed cover the request.
 */
export class ClassShares {
  /** Tokens that each class has earned and not used yet. */
  private readonly owed: Record<WorkClass, Tokens> = { lookup: 0, certificate: 0, summary: 0 };

  /**
   * Gets the classes in the order in which they are to be tried.
   *
   * @param headCost - Gets the cost of the first waiting request of a class in tokens; undefined if none.
   * @returns All classes.
   */
  order(headCost: (name: WorkClass) => Tokens | undefined): readonly WorkClass[] {
    const due = WORK_CLASSES.filter((name) => {
      const cost = headCost(name);
      return SHARES[name] > 0 && cost !== undefined && this.owed[name] >= Math.min(cost, MAX_OWED);
    });
    return [...due, ...WORK_CLASSES.filter((name) => !due.includes(name))];
  }

  /**
   * Accounts for a placed request.
   *
   * @param placed - Class of the request.
   * @param cost - Tokens of the request.
   * @param waits - Gets whether requests of a class wait; only such classes earn a share.
   */
  charge(placed: WorkClass, cost: Tokens, waits: (name: WorkClass) => boolean): void {
    WORK_CLASSES.forEach((name) => {
      if (name === placed) this.owed[name] = Math.max(0, this.owed[name] - cost);
      else if (!waits(name)) this.owed[name] = 0;
      else this.owed[name] = Math.min(MAX_OWED, this.owed[name] + cost * SHARES[name]);
    });
  }
}
