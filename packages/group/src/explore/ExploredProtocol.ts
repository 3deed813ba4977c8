/** A condition that holds in every reachable state. */
export interface Invariant<State> {
  /** A short name, such as `rate and burst`. */
  readonly name: string;

  /**
   * Checks one state.
   *
   * @param state - The state to check.
   * @returns A description of the violation, or undefined if the invariant holds.
   */
  check(state: State): string | undefined;
}

/**
 * A protocol for the model checker: the code that runs in a host, with a simulated environment of
 * messages, clocks and faults. States are immutable.
 */
export interface ExploredProtocol<State, Action> {
  /** Name of the protocol on the command line. */
  readonly name: string;

  /** Gets the initial states. */
  initial(): readonly State[];

  /**
   * Gets the actions enabled in a state.
   *
   * @param state - A state.
   * @returns All enabled actions, in a deterministic order.
   */
  actions(state: State): readonly Action[];

  /**
   * Applies an action.
   *
   * @param state - The present state, which is not modified.
   * @param action - One of its enabled actions.
   * @returns The next state.
   */
  apply(state: State, action: Action): State;

  /**
   * Gets a key that two states share only if they have the same possible futures.
   *
   * Times in it are relative to the present; with absolute times no two states would be equal.
   */
  key(state: State): string;

  /** Describes an action in one line of a trace. */
  describe(action: Action): string;

  /** The invariants to check. */
  readonly invariants: readonly Invariant<State>[];
}

/** A violated invariant with the trace that led to it. */
export interface Violation {
  readonly invariant: string;
  readonly message: string;
  /** One line per action, from an initial state to the violating one. */
  readonly trace: readonly string[];
}

/** Result of a search. */
export interface Exploration {
  readonly statesVisited: number;
  readonly transitions: number;
  /** Depth to which every state was visited. */
  readonly depth: number;
  /** Whether the bound on states ended the search before its depth. */
  readonly truncated: boolean;
  /** The first violation of each invariant. */
  readonly violations: readonly Violation[];
}
