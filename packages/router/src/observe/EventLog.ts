import type { RateLimitedLog } from './RateLimitedLog.ts';
import type { LogFields } from './LogFields.ts';

/**
 * Logs a decision or a state change.
 *
 * @param event - Name of the event, in snake case.
 * @param fields - Fields of the event.
 */
export type EventLog = (event: string, fields: LogFields) => void;

let output: RateLimitedLog | undefined;

/**
 * Sets the output of all logs of this process. Nothing is written before the first call.
 *
 * @param log - The output; undefined disables logging.
 */
export function setLogOutput(log: RateLimitedLog | undefined): void {
  output = log;
}

/**
 * Creates the log of a component.
 *
 * @param part - Name of the component.
 * @returns The log.
 */
export function eventLog(part: string): EventLog {
  return (event, fields) => output?.write(part, event, fields);
}
