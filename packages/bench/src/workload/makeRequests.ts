import { type Millis, RandomSource, type Tokens } from '@camphorvane/core';
import type { SimRequest } from './SimRequest.ts';
import { TokenBucket } from './TokenBucket.ts';
import type { Flow, Workload } from './Workload.ts';

const MS_PER_SECOND = 1000;

/** Share of a team's callers that use one host; the others spread evenly, as with kept addresses. */
const HOME_HOST_SHARE = 0.4;

/** Seeds of the flows differ by a large prime, so that no two runs share a sequence. */
const SEED_STEP = 7_919;

type Draft = Omit<SimRequest, 'withinRate' | 'id'>;

/**
 * Makes all requests of a run, in order of arrival; equal seeds give equal requests.
 *
 * @param workload - The workload.
 * @param seed - Any integer.
 */
export function makeRequests(workload: Workload, seed: number): readonly SimRequest[] {
  const drafts = workload.flows
    .flatMap((flow, index) =>
      makeFlow(workload, flow, index, new RandomSource(seed * SEED_STEP + index)),
    )
    .sort((a, b) => a.arrivesAt - b.arrivesAt);
  const buckets = new Map(
    workload.teams.map((team) => [
      team.id,
      new TokenBucket(
        team.tokensPerSecond * workload.rateFactor,
        team.burstTokens * workload.rateFactor,
      ),
    ]),
  );
  return drafts.map((draft, index) => ({
    ...draft,
    id: `q${index}`,
    withinRate:
      buckets.get(draft.team)?.take(draft.promptTokens + draft.maxOutputTokens, draft.arrivesAt) ??
      false,
  }));
}

function makeFlow(workload: Workload, flow: Flow, index: number, random: RandomSource): Draft[] {
  const factor = workload.load * (workload.teamLoad[flow.team] ?? 1);
  const burst = workload.bursts[flow.class] ?? flow.burst;
  const gapMs = (MS_PER_SECOND * burst) / (flow.requestsPerSecond * factor);
  const until = workload.seconds * MS_PER_SECOND;
  const drafts: Draft[] = [];
  let at = random.exponential(gapMs);
  while (at < until) {
    const moment = at;
    drafts.push(...[...Array(burst).keys()].map(() => draw(workload, flow, index, moment, random)));
    at += random.exponential(gapMs);
  }
  return drafts;
}

function draw(
  workload: Workload,
  flow: Flow,
  index: number,
  arrivesAt: Millis,
  random: RandomSource,
): Draft {
  const home = workload.teams.findIndex((team) => team.id === flow.team) % workload.hosts;
  const host = random.next() < HOME_HOST_SHARE ? home : random.int(0, workload.hosts - 1);
  const maxWaitMs = flow.maxWaitMs * workload.waitFactor;
  const own = drawTokens(flow.promptTokens, random);
  const prefix = flow.prefixes;
  const shared = prefix === undefined ? 0 : random.int(0, prefix.count - 1);
  return {
    host: `host-${host}`,
    team: flow.team,
    weight: workload.teams.find((team) => team.id === flow.team)?.weight ?? 1,
    class: flow.class,
    arrivesAt,
    promptTokens: own + (prefix?.tokens ?? 0),
    maxOutputTokens: flow.maxOutputTokens,
    prefixes:
      prefix === undefined ? [] : [{ digest: `f${index}-${shared}`, tokens: prefix.tokens }],
    maxWaitMs,
    firstTokenLimitMs: workload.ttftTargetMs + (flow.class === 'lookup' ? 0 : maxWaitMs),
    outputTokens: Math.min(flow.maxOutputTokens, drawTokens(flow.outputTokens, random)),
  };
}

function drawTokens([least, most]: readonly [number, number], random: RandomSource): Tokens {
  return Math.round(least * (most / least) ** random.next());
}
