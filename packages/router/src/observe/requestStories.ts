import type { LogLine } from './logLines.ts';

/** How a request ended for its caller. */
export type RequestEnd = 'on_time' | 'late' | 'refused' | 'unfinished';

/** What the logs say of one request as a whole. */
export interface RequestStory {
  readonly id: string;
  readonly host: string;
  readonly route: string;
  readonly team: string;
  /** Wall time of its arrival, in Unix milliseconds. */
  readonly at: number;
  readonly end: RequestEnd;
  /** What cost most of its time, or why it was refused; absent for one on time. */
  readonly cause: string | undefined;
}

interface TimeLoss {
  readonly cause: string;
  readonly ms: number;
}

/**
 * Tells of each accepted request how it ended, and why it was not on time.
 *
 * @param lines - Lines of all hosts, in any order.
 * @returns The requests in order of arrival; those still under way when the logs end are unfinished.
 */
export function requestStories(lines: readonly LogLine[]): readonly RequestStory[] {
  const byId = new Map<string, LogLine[]>();
  lines.forEach((line) => {
    const { id } = line.fields;
    if (typeof id !== 'string') return;
    const own = byId.get(id);
    if (own === undefined) byId.set(id, [line]);
    else own.push(line);
  });
  return [...byId].flatMap(([id, own]) => storyOf(id, own)).sort((a, b) => a.at - b.at);
}

function storyOf(id: string, lines: readonly LogLine[]): readonly RequestStory[] {
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
): Pick<RequestStory, 'end' | 'cause'> {
  const refused = lines.find((line) => line.event === 'refused');
  if (refused !== undefined) return { end: 'refused', cause: refusalCause(refused, lines) };
  const whole = lines.find((line) => line.event === 'whole');
  if (whole === undefined) return { end: 'unfinished', cause: 'no end in the logs' };
  const { targetMs, longestPauseMs } = accepted.fields;
  if (numberOf(whole.fields.firstMs) > numberOf(targetMs, Infinity)) {
    return { end: 'late', cause: slowestPart(whole, lines) };
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

/** Gets what took longest until the first event. */
function slowestPart(whole: LogLine, lines: readonly LogLine[]): string {
  const failures = lines.filter(isFailure);
  const placed = lines.filter((line) => line.event === 'placed');
  const prefilled = lines.filter((line) => line.event === 'prefilled');
  const waits = placed.map(({ part, fields }): TimeLoss => ({
    cause:
      part === 'service' ? 'waited for a server' : `waited for ${String(fields.lacked ?? 'room')}`,
    ms: numberOf(fields.waitedMs),
  }));
  const reads = prefilled.map(({ fields }): TimeLoss => ({
    cause: 'prompt read slowly',
    ms: numberOf(fields.tookMs),
  }));
  const known = [...waits, ...reads];
  const knownMs = known.reduce((sum, { ms }) => sum + ms, 0);
  const rest: TimeLoss = {
    cause: failures.length > 0 ? 'failed tries' : 'upstream answered slowly',
    ms: numberOf(whole.fields.firstMs) - knownMs,
  };
  return [...known, rest].reduce((most, loss) => (loss.ms > most.ms ? loss : most)).cause;
}

function isFailure({ event }: LogLine): boolean {
  return event === 'attempt_failed' || event === 'try_failed';
}

function numberOf(value: unknown, absent = 0): number {
  return typeof value === 'number' ? value : absent;
}
