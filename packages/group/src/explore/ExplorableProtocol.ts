import type { Exploration } from './ExploredProtocol.ts';
import type { RandomBounds, SearchBounds } from './search.ts';

/** A protocol as the command line offers it. */
export interface ExplorableProtocol {
  readonly name: string;
  /** Names of the broken variants that the search must find a violation in. */
  readonly mutations: readonly string[];
  /** Hosts where the command line names none. */
  readonly defaultHosts: number;
  /** Depth of the search of everything where the command line names none. */
  readonly defaultDepth: number;

  /**
   * Searches everything within bounds.
   *
   * @param hosts - How many hosts take part.
   * @param mutation - One of `mutations`, or undefined for the protocol as it runs.
   * @param bounds - How far.
   */
  searchAll(hosts: number, mutation: string | undefined, bounds: SearchBounds): Exploration;

  /** Walks at random; parameters as in `searchAll`. */
  searchRandomly(hosts: number, mutation: string | undefined, bounds: RandomBounds): Exploration;
}
