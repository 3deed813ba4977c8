import type { LogLine } from './logLines.ts';

/** Events that tell of the end of an answer. */
const END_EVENTS: ReadonlySet<string> = new Set(['answer_ended', 'whole', 'refused']);

/** Ends of answers of which the caller got a part, or may have. */
const BROKEN_ENDS: ReadonlySet<string> = new Set(['broken', 'unended']);

/** What the causes of `answer_ended` mean. */
const CAUSES: ReadonlyMap<string, string> = new Map([
  ['upstream', 'an upstream that failed'],
  ['stop_order', 'an order to stop the run, which its engine may have carried out'],
  ['host_stopping', 'the stop of the host'],
  ['peer', 'the loss of the peer that served it'],
  ['deadline', 'its deadline'],
  ['caller', 'its caller, who left or read nothing'],
  ['illegal', 'an event that could not follow, or a fault of the host'],
  ['bound', 'the bound of what is held for a caller'],
  ['key', 'the withdrawal of its key'],
]);

/**
 * Says in plain words how the answer of a request ended, and what in the logs shows that it was broken off.
 *
 * @param requestLines - Lines of the request, ordered by time.
 * @param processLines - Lines of all hosts on the start and the stop of their processes, ordered by time.
 * @returns A sentence for each finding; empty where the answer ended in a usual way.
 */
export function explainEnd(
  requestLines: readonly LogLine[],
  processLines: readonly LogLine[],
): readonly string[] {
  return [
    ...foreignAnswers(requestLines),
    ...emptyStreams(requestLines),
    ...lateOrders(requestLines),
    ...illegalEvents(requestLines),
    ...causes(requestLines),
    ...endedHosts(requestLines, processLines),
    ...undelivered(requestLines),
    ...peers(requestLines),
  ];
}

/** Engines that answered a stream which they were to go on with by something else. */
function foreignAnswers(lines: readonly LogLine[]): readonly string[] {
  const answers = linesOf(lines, 'decode_ended')
    .filter(({ fields }) => fields.end === 'answer' && isTakenUp(fields))
    .map(
      ({ fields }) =>
        `engine ${text(fields.engine)} answered ${text(fields.status)} in place of the stream's rest from event ${text(fields.from)} on`,
    );
  const appended = linesOf(lines, 'answer_ended')
    .filter(({ fields }) => Number(fields.foreignChunks ?? 0) > 0)
    .map(
      ({ host, fields }) =>
        `${text(fields.foreignChunks)} chunks that are no events followed event ${text(fields.lastPosition)} at host ${host}, and the answer ended as ${text(fields.end)}`,
    );
  return [...answers, ...appended];
}

/** Engines that closed a stream before any event of its rest. */
function emptyStreams(lines: readonly LogLine[]): readonly string[] {
  return linesOf(lines, 'decode_ended')
    .filter(
      ({ fields }) => fields.end === 'done' && Number(fields.events) === 0 && isTakenUp(fields),
    )
    .map(
      ({ fields }) =>
        `engine ${text(fields.engine)} ended the stream with no event from event ${text(fields.from)} on${byClose(fields.endsWithConnection)}`,
    );
}

/** Engines that closed a stream after a move had failed, whose order to stop may have been carried out late. */
function lateOrders(lines: readonly LogLine[]): readonly string[] {
  return linesOf(lines, 'run_ended').flatMap(({ t, fields }) => {
    const failed = linesOf(lines, 'stream_move_failed')
      .filter((line) => line.t <= t)
      .at(-1);
    return fields.end === 'done' && fields.endsWithConnection === true && failed !== undefined
      ? [
          `engine ${text(fields.engine)} closed its stream ${t - failed.t} ms after the move off ${text(failed.fields.from)} had failed (${text(failed.fields.failure)}): an order to stop it may have been carried out late`,
        ]
      : [];
  });
}

/** Events at which a host itself broke the answer off. */
function illegalEvents(lines: readonly LogLine[]): readonly string[] {
  return linesOf(lines, 'answer_illegal').map(
    ({ host, fields }) => `host ${host} let an event not pass to the caller: ${text(fields.fault)}`,
  );
}

/** What broke off answers that had begun. */
function causes(lines: readonly LogLine[]): readonly string[] {
  return linesOf(lines, 'answer_ended')
    .filter(({ fields }) => BROKEN_ENDS.has(text(fields.end)) && fields.cause !== undefined)
    .map(({ host, fields }) => {
      const position =
        fields.lastPosition === undefined ? '' : ` after event ${text(fields.lastPosition)}`;
      return `the answer broke off at host ${host}${position}, by ${describeCause(text(fields.cause))}`;
    });
}

function describeCause(cause: string): string {
  return CAUSES.get(cause) ?? `the cause ${cause}`;
}

/** Hosts whose process ended before the answer did. */
function endedHosts(
  lines: readonly LogLine[],
  processLines: readonly LogLine[],
): readonly string[] {
  return linesOf(lines, 'accepted').flatMap(({ host, t }) => {
    const hasEnded = lines.some((line) => line.host === host && END_EVENTS.has(line.event));
    const next = processLines.find((line) => line.host === host && line.t >= t);
    if (hasEnded || next === undefined) return [];
    return [
      next.event === 'stop'
        ? `host ${host} stopped before the answer ended, with ${text(next.fields.cutOff)} requests in flight`
        : `host ${host} was killed, or ended by itself, before the answer ended, and started again ${next.t - t} ms after it had accepted the request`,
    ];
  });
}

/** Answers that had ended, and whose connection closed before the caller had taken them. */
function undelivered(lines: readonly LogLine[]): readonly string[] {
  return linesOf(lines, 'answer_undelivered').map(({ host, fields }) => {
    const when = fields.stage === 'stopping' ? ', while the host stopped' : '';
    return `the connection closed at host ${host} before the caller had taken the end of the answer${when}`;
  });
}

/** Peers by way of which the request was served. */
function peers(lines: readonly LogLine[]): readonly string[] {
  return linesOf(lines, 'answer_ended')
    .filter(({ fields }) => fields.relayedBy !== undefined)
    .map(
      ({ host, fields }) =>
        `host ${host} served it for its peer ${text(fields.relayedBy)}, and its part ended as ${text(fields.end)}`,
    );
}

function linesOf(lines: readonly LogLine[], event: string): readonly LogLine[] {
  return lines.filter((line) => line.event === event);
}

function isTakenUp(fields: LogLine['fields']): boolean {
  return Number(fields.from ?? 0) > 0;
}

function byClose(endsWithConnection: unknown): string {
  return endsWithConnection === true ? ', by the close of its connection' : '';
}

function text(value: unknown): string {
  return value === undefined ? '(unknown)' : String(value);
}
