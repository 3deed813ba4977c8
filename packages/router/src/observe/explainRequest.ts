import { explainEnd } from './explainEnd.ts';
import type { LogLine } from './logLines.ts';
import { parseLogLines } from './logLines.ts';

/** Events that change a host's state or its view of other hosts, and so explain later decisions. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'config_in_force',
  'store_lost',
  'store_regained',
  'sharers',
  'state',
  'left_out',
  'limit_named',
  'limit_ended',
  'leaving',
  'rest',
  'withheld',
  'upstreams_lost',
  'upstreams_back',
  'versions_serving',
  'caught_up',
  'loop_late',
  'loop_on_time',
]);

/** Events that tell why requests with the same content, or the same part, are refused, at whatever host and time. */
const CRASH_EVENTS: ReadonlySet<string> = new Set([
  'crash_recorded',
  'request_blocked',
  'trial_started',
]);

/** Events of the start and the stop of a host's process. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set(['start', 'stop']);

/** Indent of a finding below the timeline, so that it stands below the markers. */
const FINDING_INDENT = ' '.repeat(11);

/** Milliseconds before a request from which state events of its hosts are included. */
const STATE_WINDOW_MS = 2_000;

/**
 * Formats the timeline of a request from the logs of several hosts.
 *
 * State events, which are marked with `*`, are included from shortly before the request. For a request that
 * was running when upstreams crashed, the crashes under all requests with its content are included, and for one
 * that is refused for a part of its prompt those under all requests with that part.
 *
 * @param id - Id of the request, as its caller knows it.
 * @param lines - Log lines in any order; the last word before the JSON is the name of the host.
 * @returns A line for each event, with milliseconds since the request's first, then one, marked with `=`, for each
 * finding on how the answer was broken off; empty for an unknown id.
 */
export function explainRequest(id: string, lines: readonly string[]): readonly string[] {
  const logLines = parseLogLines(lines);
  const requestLines = logLines.filter((line) => isOf(id, line)).sort(byTime);
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) return [];
  const hosts = new Set(requestLines.map((line) => line.host));
  const stateLines = logLines.filter(
    (line) =>
      hosts.has(line.host) &&
      STATE_EVENTS.has(line.event) &&
      line.t >= first.t - STATE_WINDOW_MS &&
      line.t <= last.t,
  );
  const traits = new Set(requestLines.flatMap(traitsOf));
  const crashLines = logLines.filter(
    (line) =>
      CRASH_EVENTS.has(line.event) &&
      traitsOf(line).some((trait) => traits.has(trait)) &&
      line.t <= last.t &&
      !requestLines.includes(line),
  );
  const processLines = logLines.filter(({ event }) => PROCESS_EVENTS.has(event)).sort(byTime);
  return [
    ...[...stateLines, ...crashLines, ...requestLines]
      .sort(byTime)
      .map((line) => formatLine(line, first.t)),
    ...explainEnd(requestLines, processLines).map((finding) => `${FINDING_INDENT}= ${finding}`),
  ];
}

/** Gets the traits of requests that a line names: one's content, what it shares with others, or a combination. */
function traitsOf({ fields }: LogLine): readonly string[] {
  return [fields.digest, fields.trait, fields.traits]
    .flatMap((names) => String(names ?? '').split(','))
    .filter((name) => name !== '');
}

/** Tells whether a line is about a request, or about one of its attempts, which have a number after the id. */
function isOf(id: string, { fields }: LogLine): boolean {
  const lineId = String(fields.id ?? '');
  return lineId === id || lineId.replace(/\.\d+$/, '') === id;
}

function byTime(a: LogLine, b: LogLine): number {
  return a.t - b.t;
}

function formatLine(line: LogLine, startedAt: number): string {
  const elapsed = `${String(line.t - startedAt).padStart(7)} ms`;
  const fields = Object.entries(line.fields)
    .filter(([name]) => name !== 'id')
    .map(([name, value]) => `${name}=${String(value)}`);
  const isState = STATE_EVENTS.has(line.event) || CRASH_EVENTS.has(line.event);
  const marker = isState ? '*' : ' ';
  return [elapsed, marker, line.host, `${line.part}.${line.event}`, ...fields].join(' ');
}
