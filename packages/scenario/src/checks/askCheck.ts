import type { Millis } from '@camphorvane/core';
import type { Dispatch } from '../world/DispatchLog.ts';
import type { Asked } from '../world/World.ts';
import type { Check, RunLog } from './RunLog.ts';
import { violation } from './RunLog.ts';

/** Milliseconds within which hosts must hold a limit. */
const LIMIT_DEADLINE_MS: Millis = 3_000;

/** Length in milliseconds of the windows in which requests are counted. */
const WINDOW_MS: Millis = 4_000;

/** Milliseconds for which a server that is leaving may still get requests of a host that knows. */
const DRAIN_DEADLINE_MS: Millis = 2_000;

/** Milliseconds within which a host must act on an answer, with the way of the answer. */
const REACTION_MS: Millis = 600;

/** Requests that a host may send to a server that has asked it for rest. */
const MAX_REQUESTS_IN_REST = 2;

/** Servers get no more than they ask for in their answers. */
export const askedIsGiven: Check = (log) =>
  log.asked.flatMap((asked) => {
    const sent = log.dispatches.filter(
      ({ upstream, at }) => upstream === asked.upstream && at >= asked.from && at <= asked.to,
    );
    const problems = [
      ...limitProblems(asked, sent),
      ...byHost(log, sent).flatMap((own) => [
        ...leavingProblems(asked, own),
        ...restProblems(asked, own),
      ]),
    ];
    return problems.map((message) => violation('asked', `${asked.upstream} ${message}`));
  });

function limitProblems({ signals, from }: Asked, sent: readonly Dispatch[]): readonly string[] {
  const { requestsPerSecond } = signals;
  if (requestsPerSecond === undefined) return [];
  const times = sent.map(({ at }) => at).filter((at) => at >= from + LIMIT_DEADLINE_MS);
  const most = Math.max(
    0,
    ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS).length),
  );
  const allowed = (1.5 * requestsPerSecond * WINDOW_MS) / 1_000 + 5;
  return most > allowed ? [`got ${most} requests in a window, ${allowed} allowed`] : [];
}

function leavingProblems({ signals }: Asked, sent: readonly Dispatch[]): readonly string[] {
  const [first] = sent;
  if (!signals.leaving || first === undefined) return [];
  const late = sent.filter(({ at }) => at > first.at + DRAIN_DEADLINE_MS + REACTION_MS);
  return late.length > 0 ? [`got ${late.length} requests of ${first.host} while leaving`] : [];
}

function restProblems({ signals }: Asked, sent: readonly Dispatch[]): readonly string[] {
  const { restMs } = signals;
  if (restMs === undefined) return [];
  return sent.flatMap(({ host, at }) => {
    const inRest = sent.filter((other) => other.at > at + REACTION_MS && other.at < at + restMs);
    return inRest.length > MAX_REQUESTS_IN_REST
      ? [`got ${inRest.length} requests of ${host} in a rest`]
      : [];
  });
}

function byHost(log: RunLog, sent: readonly Dispatch[]): readonly (readonly Dispatch[])[] {
  const hosts = [...new Set(log.dispatches.map(({ host }) => host))];
  return hosts.map((host) => sent.filter((dispatch) => dispatch.host === host));
}
