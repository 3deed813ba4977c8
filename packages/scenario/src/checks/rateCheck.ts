import { estimateTokens } from '@camphorvane/core';
import type { Millis, TeamId, TeamRate } from '@camphorvane/core';
import { markOf } from '../callers/plannedRequest.ts';
import type { RequestLog } from '../callers/RequestLog.ts';
import type { Check, RunLog } from './RunLog.ts';
import { violation } from './RunLog.ts';

const SECOND_MS = 1000;

/** A lower rate is in force everywhere after so long; until then the old one may still count. */
const RATE_CHANGE_MS = 6 * SECOND_MS;

/** Rounding of tokens in the limit, since hosts count whole tokens. */
const ROUNDING = 1;

interface Received {
  readonly at: Millis;
  readonly tokens: number;
}

/** Gets the tokens of a request that ran, at the time when the first upstream began with it. */
function received(log: RunLog, entry: RequestLog): Received | undefined {
  const mark = markOf(entry.request.id);
  const first = log.records.find((record) => record.text.includes(mark));
  if (first === undefined) return undefined;
  const { work, prompt } = entry.request;
  if (work.service !== undefined) {
    const service = log.scenario.service.find((one) => one.id === work.service);
    const route = service?.route.find((one) => work.path.startsWith(one.path));
    return { at: first.at, tokens: route?.cost ?? 0 };
  }
  const most = Math.max(0, ...entry.sends.map((send) => send.positions.length));
  return { at: first.at, tokens: estimateTokens(prompt) + most };
}

function rateOf(log: RunLog, index: number, team: TeamId): TeamRate | undefined {
  return log.applied[index]?.config.teams.find((one) => one.id === team)?.rate;
}

/** Gets the most that a team may have received by a time, over all changes of its rate. */
function allowance(log: RunLog, team: TeamId, until: Millis): number {
  const starts = log.applied.map((change) => change.at);
  const bursts = log.applied.map((_, index) => rateOf(log, index, team)?.burstTokens ?? 0);
  const accrued = starts.map((from, index) => {
    const rate = rateOf(log, index, team)?.tokensPerSecond ?? 0;
    const before = rateOf(log, index - 1, team)?.tokensPerSecond ?? rate;
    const to = Math.min(until, starts[index + 1] ?? until);
    const late = Math.max(0, Math.min(to, from + RATE_CHANGE_MS) - from);
    const span = Math.max(0, to - from);
    return (span * rate + late * Math.max(0, before - rate)) / SECOND_MS;
  });
  return Math.max(...bursts) + accrued.reduce((sum, one) => sum + one, 0) + ROUNDING;
}

/** No team ever receives more than its rate times the time plus its burst, over all hosts. */
export const teamsStayWithinRate: Check = (log) =>
  log.scenario.team.flatMap((team) => {
    const all = log.requests
      .filter((entry) => entry.request.work.team === team.id)
      .flatMap((entry) => received(log, entry) ?? [])
      .sort((a, b) => a.at - b.at);
    let sum = 0;
    const over = all.find((one) => {
      sum += one.tokens;
      return sum > allowance(log, team.id, one.at);
    });
    if (over === undefined) return [];
    const limit = Math.floor(allowance(log, team.id, over.at));
    return [violation('team_rate', `${team.id} had ${sum} tokens by ${over.at}, over ${limit}`)];
  });
