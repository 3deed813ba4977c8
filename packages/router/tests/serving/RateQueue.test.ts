import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TeamConfig } from '@camphorvane/core';
import { VirtualClock, notRun } from '@camphorvane/core';
import { errAsync, okAsync } from 'neverthrow';
import { RateQueue } from '../../src/serving/RateQueue.ts';
import type { RateGate } from '../../src/host/ports.ts';

const TEAM: TeamConfig = {
  id: 'house',
  rate: { tokensPerSecond: 1_000, burstTokens: 3_000 },
  keyDigests: [],
  models: [],
  weight: 1,
};

/** A token bucket that starts empty, as after a crash of the host that held the tokens. */
function emptyBucket(clock: VirtualClock): RateGate {
  const state = { spent: 0 };
  return {
    charge: (team, tokens) => {
      const level = clock.now() - state.spent;
      if (level < tokens) {
        return errAsync(notRun('over_rate', 'The team is over its rate.', tokens - level));
      }
      state.spent += tokens;
      return okAsync({ team, tokens });
    },
    refund: () => undefined,
  };
}

async function outcomes(
  clock: VirtualClock,
  calls: readonly Promise<{ readonly isOk: () => boolean }>[],
  advanceMs: number,
): Promise<readonly string[]> {
  const seen: string[] = calls.map(() => 'queued');
  calls.forEach((call, i) => {
    void call.then((result) => {
      seen[i] = result.isOk() ? 'charged' : 'refused';
    });
  });
  await clock.advance(advanceMs);
  return [...seen];
}

test('summaries queue for tokens that were lost with a crashed host', async () => {
  // Guards against refusing requests that may wait for a minute, for lack of tokens that are refilled within
  // seconds of a host's crash.
  const clock = new VirtualClock();
  const queue = new RateQueue(clock, emptyBucket(clock));
  const req = { team: TEAM, class: 'summary', tokens: 2_000, maxWaitMs: 60_000 } as const;
  const unaborted = new AbortController().signal;
  const calls = [1, 2, 3].map(() => queue.charge(req, unaborted));
  assert.deepEqual(await outcomes(clock, calls, 2_500), ['charged', 'queued', 'queued']);
  assert.deepEqual(await outcomes(clock, calls, 40_000), ['charged', 'charged', 'charged']);
  assert.equal(queue.getQueuedTokens('house'), 0);
});

test('a summary that cannot be charged within its longest wait is refused at once', async () => {
  // Guards against requests that queue until their longest wait and are refused then, when a team sends far
  // more than its rate; an early refusal tells the caller when to retry.
  const clock = new VirtualClock();
  const queue = new RateQueue(clock, emptyBucket(clock));
  const req = { team: TEAM, class: 'summary', tokens: 2_000, maxWaitMs: 20_000 } as const;
  const unaborted = new AbortController().signal;
  const calls = [1, 2, 3, 4, 5].map(() => queue.charge(req, unaborted));
  const initial = await outcomes(clock, calls, 0);
  assert.deepEqual(initial, ['queued', 'queued', 'refused', 'refused', 'refused']);
});

test('a lookup is not queued for tokens', async () => {
  const clock = new VirtualClock();
  const queue = new RateQueue(clock, emptyBucket(clock));
  const req = { team: TEAM, class: 'lookup', tokens: 200, maxWaitMs: 700 } as const;
  const call = queue.charge(req, new AbortController().signal);
  assert.deepEqual(await outcomes(clock, [call], 0), ['refused']);
});

test('a caller that disconnects while queued lets the next request proceed', async () => {
  const clock = new VirtualClock();
  const queue = new RateQueue(clock, emptyBucket(clock));
  const req = { team: TEAM, class: 'summary', tokens: 2_000, maxWaitMs: 60_000 } as const;
  const leaving = new AbortController();
  const calls = [leaving.signal, new AbortController().signal].map((s) => queue.charge(req, s));
  await clock.advance(100);
  leaving.abort();
  assert.deepEqual(await outcomes(clock, calls, 2_500), ['refused', 'charged']);
});

test('queued summaries leave refilled tokens to the lookups of their team', async () => {
  // Guards against queued summaries that take every token as it is refilled, so that all lookups of the team
  // are refused.
  const clock = new VirtualClock();
  const queue = new RateQueue(clock, emptyBucket(clock));
  const unaborted = new AbortController().signal;
  const summary = { team: TEAM, class: 'summary', tokens: 2_000, maxWaitMs: 60_000 } as const;
  const lookup = { team: TEAM, class: 'lookup', tokens: 200, maxWaitMs: 700 } as const;
  const queued = [1, 2, 3, 4].map(() => queue.charge(summary, unaborted));
  await clock.advance(1_000);
  const seconds = Array.from({ length: 20 }, (_, i) => i);
  const charged = await seconds.reduce(async (before, _) => {
    const count = await before;
    const result = queue.charge(lookup, unaborted);
    await clock.advance(1_000);
    return count + ((await result).isOk() ? 1 : 0);
  }, Promise.resolve(0));
  assert.ok(charged >= 18, `${charged} of 20 lookups`);
  assert.equal((await queued[0])?.isOk(), true);
});
