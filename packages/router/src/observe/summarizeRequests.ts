import type { LogLine } from './logLines.ts';

/** How a request ended for its caller. */
export type RequestOutcome = 'on_time' | 'late' | 'refused' | 'unfinished';

/** Summary of a request from its log lines. */
export interface RequestSummary {
  readonly id: string;
  readonly host: string;
  readonly route: string;
  readonly team: string;
  /** Wall-clock time of its arrival, in Unix milliseconds. */
  readonly at: number;
  readonly end: RequestOutcome;
  /** What took most of the time, or why the request was refused; undefined if it was on time. */
  readonly cause: string | undefined;
}

interface DelayCause {
  readonly cause: string;
  readonly ms: number;
}

/**
 * Determines how each accepted request ended, and why it was not on time.
 *
 * @param lines - Log lines of all hosts, in any order.
 * @returns The requests in order of arrival; those in flight when the logs end are unfinished.
 */
export function summarizeRequests(lines: readonly LogLine[]): readonly RequestSummary[] {
  const byId = new Map<string, LogLine[]>();
  lines.forEach((line) => {
    const { id } = line.fields;
    if (typeof id !== 'string') return;
    const requestLines = byId.get(id);
    if (requestLines === undefined) byId.set(id, [line]);
    else requestLines.push(line);
  });
  return [...byId]
    .flatMap(([id, requestLines]) => summarize(id, requestLines))
    .sort((a, b) => a.at - b.at);
}

function summarize(id: string, lines: readonly LogLine[]): readonly RequestSummary[] {
  const accepted = lines.find((line) => line.event === 'accepted');
  if (accepted === undefined) return [];
  const { end, cause } = outcomeOf(accepted, lines);
  const { route, team } = accepted.fields;
  const { host, t: at } = accepted;
  return [{ id, host, route: String(route), team: String(team), at, end, cause }];
}

function outcomeOf(
  accepted: LogLine,
  lines: readonly LogLine[],
): Pick<RequestSummary, 'end' | 'cause'> {
  const refused = lines.find((line) => line.event === 'refused');
  if (refused !== undefined) return { end: 'refused', cause: refusalCause(refused, lines) };
  const whole = lines.find((line) => line.event === 'whole');
  if (whole === undefined) return { end: 'unfinished', cause: 'no end in the logs' };
  const { targetMs, longestPauseMs } = accepted.fields;
  if (numberOf(whole.fields.firstMs) > numberOf(targetMs, Infinity)) {
    return { end: 'late', cause: slowestCause(whole, lines) };
  }
  if (numberOf(whole.fields.pauseMs) > numberOf(longestPauseMs, Infinity)) {
    return { end: 'late', cause: 'pause between events' };
  }
  return { end: 'on_time', cause: undefined };
}

function refusalCause(refused: LogLine, lines: readonly LogLine[]): string {
  const failures = lines.filter(isFailure).length;
  const code = String(refused.fields.code);
  return failures === 0 ? code : `${code} after failed tries`;
}

/** Gets the cause that took the longest until the first event of the answer. */
function slowestCause(whole: LogLine, lines: readonly LogLine[]): string {
  const failures = lines.filter(isFailure);
  const placed = lines.filter((line) => line.event === 'placed');
  const prefilled = lines.filter((line) => line.event === 'prefilled');
  const waits = placed.map(({ part, fields }): DelayCause => ({
    cause:
      part === 'service' ? 'waited for a server' : `waited for ${String(fields.lacked ?? 'room')}`,
    ms: numberOf(fields.waitedMs),
  }));
  const prefills = prefilled.map(({ fields }): DelayCause => ({
    cause: 'prompt read slowly',
    ms: numberOf(fields.tookMs),
  }));
  const known = [...waits, ...prefills];
  const knownMs = known.reduce((sum, { ms }) => sum + ms, 0);
  const remainder: DelayCause = {
    cause: failures.length > 0 ? 'failed tries' : 'upstream answered slowly',
    ms: numberOf(whole.fields.firstMs) - knownMs,
  };
  return [...known, remainder].reduce((max, delay) => (delay.ms > max.ms ? delay : max)).cause;
}

function isFailure({ event }: LogLine): boolean {
  return event === 'attempt_failed' || event === 'try_failed';
}

function numberOf(value: unknown, absent = 0): number {
  return typeof value === 'number' ? value : absent;
}
