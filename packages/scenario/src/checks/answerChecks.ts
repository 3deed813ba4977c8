import { markOf } from '../callers/plannedRequest.ts';
import { lastSend } from '../callers/RequestLog.ts';
import type { RequestLog } from '../callers/RequestLog.ts';
import type { Check, RunLog } from './RunLog.ts';
import { violation } from './RunLog.ts';

function recordsOf(log: RunLog, { request }: RequestLog): RunLog['records'] {
  return log.records.filter((record) => record.text.includes(markOf(request.id)));
}

/** Each answer that claims to be whole is whole, and its caller's own. */
export const answersAreOwnAndWhole: Check = (log) =>
  log.requests.flatMap(({ request, sends }) =>
    sends
      .filter((send) => send.wrong !== undefined)
      .map((send) => violation('own_whole_answer', `${request.id}: ${send.wrong}`)),
  );

/** No position of a stream is lost or comes twice, whole or not. */
export const positionsAreInOrder: Check = (log) =>
  log.requests.flatMap(({ request, sends }) =>
    sends.flatMap((send) => {
      const at = send.positions.findIndex((position, index) => position !== index);
      if (at < 0) return [];
      const message = `${request.id}: position ${send.positions[at]} came where ${at} was due`;
      return [violation('positions', message)];
    }),
  );

/** No request is answered twice. */
export const answeredOnce: Check = (log) =>
  log.requests.flatMap(({ request, sends }) => {
    const answers = sends.reduce((sum, send) => sum + send.answers, 0);
    return answers > 1 ? [violation('answered_once', `${request.id}: ${answers} answers`)] : [];
  });

/** A refusal that says `not_run` is true: no upstream ran anything of it. */
export const notRunIsTrue: Check = (log) =>
  log.requests.flatMap((entry) => {
    const allNotRun = entry.sends.every(
      ({ outcome }) =>
        outcome.type === 'connection_refused' ||
        (outcome.type === 'refused' && outcome.refusal.execution === 'not_run'),
    );
    const ran = recordsOf(log, entry)[0];
    if (!allNotRun || ran === undefined || entry.sends.length === 0) return [];
    const message = `${entry.request.id}: not_run, but ${ran.upstream} ran its ${ran.kind}`;
    return [violation('not_run', message)];
  });

/** A call that may not be repeated takes effect at most once, however often it is sent. */
export const nonIdempotentAtMostOnce: Check = (log) =>
  log.requests.flatMap((entry) => {
    const { work, id } = entry.request;
    const service = log.scenario.service.find((one) => one.id === work.service);
    const route = service?.route.find(
      (one) => one.method === work.method && work.path.startsWith(one.path),
    );
    const times = recordsOf(log, entry).filter((record) => record.kind === 'call').length;
    if (route === undefined || route.idempotent || times <= 1) return [];
    return [violation('at_most_once', `${id}: took effect ${times} times`)];
  });

/** Each attempt runs at most once, so that an answer can be told by its attempt. */
export const attemptsAreUnique: Check = (log) => {
  const keys = log.records.map(({ upstream, kind, attempt }) => `${kind} ${attempt} ${upstream}`);
  const seen = new Set<string>();
  return keys.flatMap((key) => {
    if (!seen.has(key)) {
      seen.add(key);
      return [];
    }
    return [violation('unique_attempts', `${key} ran twice`)];
  });
};

/** Every request ends: nobody waits for ever, and every stream has an end. */
export const everyRequestEnds: Check = (log) =>
  log.requests.flatMap((entry) =>
    lastSend(entry) === undefined
      ? [violation('ends', `${entry.request.id}: still open when all was over`)]
      : [],
  );
