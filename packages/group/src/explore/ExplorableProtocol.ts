import type { Exploration } from './ExploredProtocol.ts';
import type { RandomBounds, SearchBounds } from './search.ts';

/** A protocol that the command line can check. */
export interface ExplorableProtocol {
  readonly name: string;
  /** Names of the variants with a broken rule, in which a search must find a violation. */
  readonly mutations: readonly string[];
  /** Default number of hosts. */
  readonly defaultHosts: number;
  /** Default depth of the exhaustive search. */
  readonly defaultDepth: number;

  /**
   * Searches all states within bounds.
   *
   * @param hosts - Number of hosts.
   * @param mutation - One of `mutations`, or undefined for the real protocol.
   * @param bounds - Bounds of the search.
   */
  searchAll(hosts: number, mutation: string | undefined, bounds: SearchBounds): Exploration;

  /** Runs random walks; parameters as in `searchAll`. */
  searchRandomly(hosts: number, mutation: string | undefined, bounds: RandomBounds): Exploration;
}
