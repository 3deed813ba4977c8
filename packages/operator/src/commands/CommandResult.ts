/** Exit codes of the operators' commands. */
export const EXIT = {
  ok: 0,
  /** Refused, in conflict, or different. */
  refused: 1,
  /** Wrong usage or invalid input. */
  invalid: 2,
  /** The platform or the host does not answer, or the outcome is open. */
  unavailable: 3,
} as const;

/** One of {@link EXIT}. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** What a command has to say; the command line prints one of both forms and exits. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  /** For a person, without a newline at its end. */
  readonly text: string;
  /** For a program, printed with `--json`. */
  readonly json: unknown;
}
