/** Exit codes of the operator commands. */
export const EXIT = {
  ok: 0,
  /** Refused, conflicting, or (for `diff`) different. */
  refused: 1,
  /** Wrong usage or invalid input. */
  invalid: 2,
  /** The platform or host is unavailable, or the outcome is unknown. */
  unavailable: 3,
  /** The process has left because of a fault of its own. */
  failed: 4,
} as const;

/** One of the codes of {@link EXIT}. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** The result of a command; the command line prints one of its two forms and exits. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  /** Text output, without a trailing newline. */
  readonly text: string;
  /** JSON output, printed with `--json`. */
  readonly json: unknown;
}
