import type { LogLine } from './logLines.ts';
import { parseLogLines } from './logLines.ts';

/** Events that change what a host believes; they explain decisions made soon after. */
const BELIEFS: ReadonlySet<string> = new Set([
  'config_in_force',
  'store_lost',
  'store_regained',
  'sharers',
  'state',
  'left_out',
]);

/** Milliseconds before a request from which changes of belief at its host are shown. */
const BELIEF_WINDOW_MS = 2_000;

/**
 * Tells the story of a request from the logs of several hosts.
 *
 * @param id - The request's id, as its caller gave it.
 * @param lines - Lines of the logs, in any order; whatever stands before the JSON names the host.
 * @returns The story, a line for each event, with milliseconds since the first; empty for an unknown id.
 */
export function explainRequest(id: string, lines: readonly string[]): readonly string[] {
  const all = parseLogLines(lines);
  const own = all.filter((line) => line.fields.id === id).sort(byTime);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) return [];
  const hosts = new Set(own.map((line) => line.host));
  const beliefs = all.filter(
    (line) =>
      hosts.has(line.host) &&
      BELIEFS.has(line.event) &&
      line.t >= first.t - BELIEF_WINDOW_MS &&
      line.t <= last.t,
  );
  return [...beliefs, ...own].sort(byTime).map((line) => describe(line, first.t));
}

function byTime(a: LogLine, b: LogLine): number {
  return a.t - b.t;
}

function describe(line: LogLine, startedAt: number): string {
  const after = `${String(line.t - startedAt).padStart(7)} ms`;
  const fields = Object.entries(line.fields)
    .filter(([name]) => name !== 'id')
    .map(([name, value]) => `${name}=${String(value)}`);
  const mark = BELIEFS.has(line.event) ? '*' : ' ';
  return [after, mark, line.host, `${line.part}.${line.event}`, ...fields].join(' ');
}
