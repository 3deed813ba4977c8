import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import { BoundedLog } from '../../src/observe/BoundedLog.ts';

// One kind of failure comes ten thousand times in a second. Writing a line for each would take the
// processor from requests; the lines of other kinds must not be lost with them.
test('each kind of line has its own bound, and what was left out is counted', async () => {
  const clock = new VirtualClock();
  const lines: Record<string, unknown>[] = [];
  const log = new BoundedLog(clock, { write: (fields) => lines.push({ ...fields }) });
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
