import { RandomSource, sha256Hex } from '@camphorvane/core';
import type { Exploration, ExploredProtocol, Invariant, Violation } from './ExploredProtocol.ts';

/** Hexadecimal characters kept of a digest: 96 bits, at which no collision among 1e6 is likely. */
const DIGEST_LENGTH = 24;

/** Bounds of an exhaustive search. */
export interface SearchBounds {
  /** Largest number of actions from an initial state. */
  readonly depth: number;
  /** Largest number of states to visit, which bounds the memory. */
  readonly maxStates: number;
  /** Whether to stop at the first violation. */
  readonly stopAtFirst: boolean;
}

/** A visited state with its trace, as a list linked backwards. */
interface Visit<State> {
  readonly state: State;
  readonly action?: string;
  readonly parent?: Visit<State>;
}

function traceOf<State>(visit: Visit<State>): readonly string[] {
  const lines: string[] = [];
  let at: Visit<State> | undefined = visit;
  while (at?.action !== undefined) {
    lines.push(at.action);
    at = at.parent;
  }
  return lines.reverse();
}

function findViolations<State>(
  invariants: readonly Invariant<State>[],
  visit: Visit<State>,
  found: ReadonlyMap<string, Violation>,
): readonly Violation[] {
  return invariants.flatMap((invariant) => {
    if (found.has(invariant.name)) return [];
    const message = invariant.check(visit.state);
    return message === undefined
      ? []
      : [{ invariant: invariant.name, message, trace: traceOf(visit) }];
  });
}

/**
 * Searches all states within bounds, breadth first, so that the first violation found has the
 * shortest trace.
 *
 * @param protocol - The protocol to search.
 * @param bounds - Bounds of the search.
 * @returns The result.
 */
export function searchAll<State, Action>(
  protocol: ExploredProtocol<State, Action>,
  bounds: SearchBounds,
): Exploration {
  const seen = new Set<string>();
  const found = new Map<string, Violation>();
  let transitions = 0;
  let depth = 0;
  let truncated = false;
  const admit = (visit: Visit<State>): readonly Visit<State>[] => {
    // Digests instead of whole keys let some 100,000 states fit into memory.
    const key = sha256Hex(protocol.key(visit.state)).slice(0, DIGEST_LENGTH);
    if (seen.has(key)) return [];
    if (seen.size >= bounds.maxStates) {
      truncated = true;
      return [];
    }
    seen.add(key);
    findViolations(protocol.invariants, visit, found).forEach((violation) =>
      found.set(violation.invariant, violation),
    );
    return [visit];
  };
  const isDone = (): boolean => truncated || (bounds.stopAtFirst && found.size > 0);
  let frontier = protocol.initial().flatMap((state) => admit({ state }));
  const expand = (visit: Visit<State>): readonly Visit<State>[] => {
    if (isDone()) return [];
    return protocol.actions(visit.state).flatMap((action) => {
      transitions += 1;
      const state = protocol.apply(visit.state, action);
      return admit({ state, action: protocol.describe(action), parent: visit });
    });
  };
  while (frontier.length > 0 && depth < bounds.depth && !isDone()) {
    frontier = frontier.flatMap(expand);
    depth += 1;
  }
  const violations = [...found.values()];
  return { statesVisited: seen.size, transitions, depth, truncated, violations };
}

/** Result of an empty search. */
export const EMPTY_EXPLORATION: Exploration = {
  statesVisited: 0,
  transitions: 0,
  depth: 0,
  truncated: false,
  violations: [],
};

/** Merges the results of two searches; the depth is that of the later one. */
export function mergeExplorations(before: Exploration, later: Exploration): Exploration {
  const known = new Set(before.violations.map((violation) => violation.invariant));
  const fresh = later.violations.filter((violation) => !known.has(violation.invariant));
  return {
    statesVisited: before.statesVisited + later.statesVisited,
    transitions: before.transitions + later.transitions,
    depth: later.depth,
    truncated: before.truncated || later.truncated,
    violations: [...before.violations, ...fresh],
  };
}

/** Bounds of random runs. */
export interface RandomBounds {
  readonly runs: number;
  /** Number of actions in each run. */
  readonly length: number;
  readonly seed: number;
}

/**
 * Runs random walks, which go far deeper than an exhaustive search can.
 *
 * @param protocol - The protocol to search.
 * @param bounds - Number and length of the runs, and the seed.
 * @returns The result; traces are not minimal.
 */
export function searchRandomly<State, Action>(
  protocol: ExploredProtocol<State, Action>,
  bounds: RandomBounds,
): Exploration {
  const random = new RandomSource(bounds.seed);
  const found = new Map<string, Violation>();
  let transitions = 0;
  const initial = protocol.initial();
  Array.from({ length: bounds.runs }).forEach(() => {
    const start = initial[random.int(0, initial.length - 1)];
    if (start === undefined) return;
    let visit: Visit<State> = { state: start };
    let steps = 0;
    while (steps < bounds.length) {
      const actions = protocol.actions(visit.state);
      const action = actions[random.int(0, Math.max(0, actions.length - 1))];
      if (action === undefined) return;
      const state = protocol.apply(visit.state, action);
      visit = { state, action: protocol.describe(action), parent: visit };
      transitions += 1;
      steps += 1;
      const violations = findViolations(protocol.invariants, visit, found);
      violations.forEach((violation) => found.set(violation.invariant, violation));
      if (violations.length > 0) return;
    }
  });
  const violations = [...found.values()];
  const depth = bounds.length;
  return { statesVisited: transitions, transitions, depth, truncated: false, violations };
}
