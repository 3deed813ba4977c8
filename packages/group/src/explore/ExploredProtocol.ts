/** A rule that every reachable state must keep. */
export interface Invariant<State> {
  /** A short name, such as `one steward`. */
  readonly name: string;

  /**
   * Checks one state.
   *
   * @param state - The state reached.
   * @returns What is wrong with it, or undefined where the rule holds.
   */
  check(state: State): string | undefined;
}

/**
 * A protocol that the search can walk through: the code that runs in a host, together with a small
 * world of messages, clocks and faults around it. States are plain values and never change.
 */
export interface ExploredProtocol<State, Action> {
  /** What the command line calls it. */
  readonly name: string;

  /** Gets the states that a run may start in. */
  initial(): readonly State[];

  /**
   * Gets what can happen next.
   *
   * @param state - A state.
   * @returns All actions possible in it, in an order that does not vary.
   */
  actions(state: State): readonly Action[];

  /**
   * Lets one thing happen.
   *
   * @param state - The state before; left as it is.
   * @param action - One of the state's actions.
   * @returns The state after.
   */
  apply(state: State, action: Action): State;

  /**
   * Gets a text that is equal for two states only if they have the same future.
   *
   * Times belong in it relative to the present, or no two states would ever be equal.
   */
  key(state: State): string;

  /** Gets a line for a trace. */
  describe(action: Action): string;

  /** The rules to check. */
  readonly invariants: readonly Invariant<State>[];
}

/** One broken rule with the way that led to it. */
export interface Violation {
  readonly invariant: string;
  readonly message: string;
  /** One line for each action, from an initial state to the broken one. */
  readonly trace: readonly string[];
}

/** What a search found. */
export interface Exploration {
  readonly statesVisited: number;
  readonly transitions: number;
  /** Depth to which every state was visited. */
  readonly depth: number;
  /** True where a bound on states ended the search before its depth. */
  readonly truncated: boolean;
  /** The first violation of each invariant. */
  readonly violations: readonly Violation[];
}
