import type { CommandResult } from '@camphorvane/operator';
import { EXIT } from '@camphorvane/operator';

/**
 * Prints the result of a command and sets the exit code of the process.
 *
 * @param result - The result.
 * @param json - Whether to print JSON instead of text.
 */
export function printResult(result: CommandResult, json: boolean): void {
  const text = json ? JSON.stringify(result.json) : result.text;
  const isFailure = result.exitCode > EXIT.refused;
  (isFailure && !json ? process.stderr : process.stdout).write(`${text}\n`);
  process.exitCode = result.exitCode;
}
