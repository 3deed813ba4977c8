import type { World } from '../physics/World.ts';
import type { OutcomeBook } from '../report/OutcomeBook.ts';
import type { SimRequest } from '../workload/SimRequest.ts';

/** What decides over a run's requests. */
export interface Policy {
  /** Takes a request that has just arrived at its host. */
  arrive(request: SimRequest): void;
}

/** What a policy is made from. */
export interface PolicyContext {
  readonly world: World;
  readonly book: OutcomeBook;
  readonly seed: number;
}

/** Engine priorities by class; lower goes first. */
export const CLASS_PRIORITY = { lookup: 0, certificate: 1, summary: 2 } as const;
