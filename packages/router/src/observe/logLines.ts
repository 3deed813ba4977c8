/** A parsed log line, with the host that wrote it. */
export interface LogLine {
  /** Wall-clock time of the host, in Unix milliseconds. */
  readonly t: number;
  /** Name of the host; empty if the line has no prefix. */
  readonly host: string;
  readonly part: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses log lines; the last word before the JSON is the name of the host.
 *
 * @param lines - Lines in any order; those that are not log lines are skipped.
 * @returns The parsed lines.
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

/** Parses JSON; returns undefined for lines that were truncated when their process ended. */
function parseJson(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
