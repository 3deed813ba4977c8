import type { BoundedLog } from './BoundedLog.ts';
import type { LogFields } from './LogFields.ts';

/**
 * Writes one line for a decision or a change of belief.
 *
 * @param change - Name of the change, in snake case.
 * @param fields - Its details.
 */
export type StateLog = (change: string, fields: LogFields) => void;

let output: BoundedLog | undefined;

/**
 * Sends all lines of this process to an output from now on; before that none is written.
 *
 * @param log - The output; undefined ends writing.
 */
export function setLogOutput(log: BoundedLog | undefined): void {
  output = log;
}

/**
 * Gets the log of one part of the program.
 *
 * @param part - Name of the part.
 * @returns The log.
 */
export function stateLog(part: string): StateLog {
  return (change, fields) => output?.write(part, change, fields);
}
