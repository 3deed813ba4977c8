/** One line of a log, with the host that wrote it where that is known. */
export interface LogLine {
  /** Wall time of the host, in Unix milliseconds. */
  readonly t: number;
  readonly host: string;
  readonly part: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Reads lines of logs; whatever stands before the JSON names the host.
 *
 * @param lines - Lines in any order. Those that are no log lines are passed over.
 * @returns What they say.
 */
export function parseLogLines(lines: readonly string[]): readonly LogLine[] {
  return lines.flatMap(parseLine);
}

function parseLine(line: string): readonly LogLine[] {
  const start = line.indexOf('{');
  if (start < 0) return [];
  const fields = parseJson(line.slice(start));
  if (fields === undefined || typeof fields.t !== 'number') return [];
  const { t, part, event, level, ...rest } = fields;
  const host = line.slice(0, start).trim().split(/\s+/).at(-1) ?? '';
  return [{ t, host, part: String(part ?? ''), event: String(event), fields: rest }];
}

/** A line that was cut off when its process ended tells nothing. */
function parseJson(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
