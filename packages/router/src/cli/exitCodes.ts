/** Exit codes of the program; docs/OPERATIONS.md lists them. */
export const EXIT = {
  ok: 0,
  /** The command ran, and its answer is no: a conflict, a difference, a refusal. */
  refused: 1,
  /** The command line, a file or the settings are wrong. */
  usage: 2,
  /** The platform or a host does not answer. */
  unavailable: 3,
} as const;
