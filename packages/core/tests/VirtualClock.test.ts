import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock, sleep } from '@camphorvane/core';

test('timers fire in order of time, each at its own time', async () => {
  const clock = new VirtualClock();
  const fired: string[] = [];
  clock.after(20, () => fired.push(`b${clock.now()}`));
  clock.after(10, () => fired.push(`a${clock.now()}`));
  await clock.advance(15);
  assert.deepEqual(fired, ['a10']);
  await clock.advance(10);
  assert.deepEqual(fired, ['a10', 'b20']);
  assert.equal(clock.now(), 25);
});

test('a task that sleeps in a loop wakes at each interval', async () => {
  const clock = new VirtualClock();
  const fired: number[] = [];
  const task = async (left: number): Promise<void> => {
    if (left === 0) return;
    await sleep(clock, 100);
    fired.push(clock.now());
    await task(left - 1);
  };
  const running = task(3);
  await clock.advance(1000);
  await running;
  assert.deepEqual(fired, [100, 200, 300]);
});

test('an aborted sleep ends at once and leaves no pending timer', async () => {
  const clock = new VirtualClock();
  const abort = new AbortController();
  const waiting = sleep(clock, 1000, abort.signal);
  abort.abort();
  await waiting;
  assert.equal(clock.countPendingTimers(), 0);
});
