import createDebug from 'debug';

/** What a log line carries besides its name; plain values, never a key or a prompt. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Writes one line for each change of state.
 *
 * @param change - Name of the change, in snake case.
 * @param fields - Its details.
 */
export type StateLog = (change: string, fields: LogFields) => void;

/**
 * Gets the log of one part of the program; on with `DEBUG=camphorvane:*`.
 *
 * @param part - Name of the part.
 * @returns The log, which writes JSON.
 */
export function stateLog(part: string): StateLog {
  const write = createDebug(`camphorvane:${part}`);
  return (change, fields) => write('%s', JSON.stringify({ change, ...fields }));
}
