import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { hedge } from '../../src/follow/hedge.ts';

type Answer = Result<string, string>;

/** Makes calls that end after given times, each by its own answer. */
function callsOf(clock: VirtualClock, answers: readonly { ms: number; answer: Answer }[]) {
  let made = 0;
  const call = () => {
    const next = answers[made];
    made += 1;
    return new ResultAsync(
      new Promise<Answer>((resolve) => {
        clock.after(next?.ms ?? 0, () => resolve(next?.answer ?? err('not expected')));
      }),
    );
  };
  return { call, count: () => made };
}

// Guards against a host that waits for the timeout of a read whose response is late, while the next one would succeed.
test('a read whose response is late is made once more, and the first success counts', async () => {
  const clock = new VirtualClock();
  const calls = callsOf(clock, [
    { ms: 1_200, answer: err('no response') },
    { ms: 5, answer: ok('list') },
  ]);
  const read = hedge(clock, calls.call);
  await clock.advance(500);
  assert.deepEqual(await read, ok('list'));
  assert.equal(calls.count(), 2);
});

test('a read that fails or succeeds in time is made once', async () => {
  const clock = new VirtualClock();
  const failing = callsOf(clock, [{ ms: 5, answer: err('closed') }]);
  const failed = hedge(clock, failing.call);
  const succeeding = callsOf(clock, [{ ms: 5, answer: ok('list') }]);
  const succeeded = hedge(clock, succeeding.call);
  await clock.advance(2_000);
  assert.deepEqual(await failed, err('closed'));
  assert.deepEqual(await succeeded, ok('list'));
  assert.equal(failing.count() + succeeding.count(), 2);
});

test('a late read that fails twice ends with its last failure', async () => {
  const clock = new VirtualClock();
  const calls = callsOf(clock, [
    { ms: 1_200, answer: err('first') },
    { ms: 1_200, answer: err('second') },
  ]);
  const read = hedge(clock, calls.call);
  await clock.advance(2_000);
  assert.deepEqual(await read, err('second'));
});
