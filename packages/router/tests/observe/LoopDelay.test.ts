import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CancelTimer, Millis } from '@camphorvane/core';
import { VirtualClock } from '@camphorvane/core';
import { Metrics } from '@camphorvane/router';
import { LoopDelay } from '../../src/observe/LoopDelay.ts';

/** A clock whose timers fire late. */
class LateClock extends VirtualClock {
  lateMs: Millis = 0;

  override after(delay: Millis, run: () => void): CancelTimer {
    return super.after(delay + this.lateMs, run);
  }
}

test('the gauge tells how late timers fire', async () => {
  const clock = new LateClock();
  const metrics = new Metrics();
  const stop = new AbortController();
  const gauges: number[] = [];
  Object.assign(metrics, { gauge: (_name: string, value: number) => gauges.push(value) });
  void new LoopDelay(clock, metrics).run(stop.signal);
  await clock.advance(250);
  clock.lateMs = 600;
  await clock.advance(1_000);
  stop.abort();
  assert.deepEqual(gauges, [0, 0, 0, 600]);
});
