import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import { RateLimitedLog } from '../../src/observe/RateLimitedLog.ts';

// One kind of failure occurs 10,000 times in a second. Writing a line for each would take CPU time
// from requests; limiting them must not drop lines of other kinds.
test('each kind of line has its own limit, and dropped lines are counted', async () => {
  const clock = new VirtualClock();
  const lines: Record<string, unknown>[] = [];
  const log = new RateLimitedLog(clock, { write: (fields) => lines.push({ ...fields }) });
  Array.from({ length: 10_000 }).forEach(() => log.write('request', 'refused', { code: 'x' }));
  log.write('request', 'whole', {});
  assert.ok(lines.length < 1_000, `${lines.length} lines`);
  assert.equal(lines.filter((line) => line.event === 'whole').length, 1);
  const written = lines.filter((line) => line.event === 'refused').length;
  await clock.advance(1_000);
  log.write('request', 'refused', { code: 'x' });
  const summary = lines.find((line) => line.event === 'left_out');
  assert.equal(summary?.lines, 10_000 - written);
});
