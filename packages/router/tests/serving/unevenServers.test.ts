import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { sleep, SystemClock } from '@camphorvane/core';
import { ok, ResultAsync } from 'neverthrow';
import type { CallScript } from '../support/ForwardFleet.ts';
import { answerEnding, ForwardFleet } from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

function takes(ms: number): CallScript {
  const answer = ok({ status: 200, headers: {}, body: Buffer.from('answer') });
  return () => new ResultAsync(sleep(new SystemClock(), ms).then(() => answer));
}

async function callsTo(server: string, completionTimes: boolean): Promise<number> {
  const fleet = new ForwardFleet({
    overload: { completionTimes },
    callScripts: { s1: takes(60), s2: takes(5) },
  });
  await Array.from({ length: 24 }).reduce<Promise<void>>(async (before) => {
    await before;
    assert.equal(answerEnding(await fleet.send('/safe/x')), 'done');
  }, Promise.resolve());
  return fleet.calls.filter((id) => id === server).length;
}

// Load: one call at a time, for a server that takes 60 ms and one that takes 5 ms. Guards against a host that
// learns call times, but doesn't use them.
test('calls go to the faster of two idle servers, except for probes', async () => {
  assert.ok((await callsTo('s1', true)) <= 3);
  assert.ok((await callsTo('s1', false)) >= 5);
});
