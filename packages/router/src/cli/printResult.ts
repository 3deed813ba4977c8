import type { CommandResult } from '@camphorvane/operator';
import { EXIT } from '@camphorvane/operator';

/**
 * Prints what a command has to say, and sets the exit code of the process.
 *
 * @param result - What the command found.
 * @param json - True to print the form for programs.
 */
export function printResult(result: CommandResult, json: boolean): void {
  const text = json ? JSON.stringify(result.json) : result.text;
  const isFailure = result.exitCode > EXIT.refused;
  (isFailure && !json ? process.stderr : process.stdout).write(`${text}\n`);
  process.exitCode = result.exitCode;
}
