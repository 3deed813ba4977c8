import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseLogLines } from '../../src/observe/logLines.ts';
import { lossTable } from '../../src/observe/lossTable.ts';
import type { RequestSummary } from '../../src/observe/summarizeRequests.ts';
import { summarizeRequests } from '../../src/observe/summarizeRequests.ts';

const TARGET_FIELDS = '"kind":"stream","targetMs":900,"longestPauseMs":300,"team":"t"';

const accepted = (id: string, t: number): string =>
  `h1 {"t":${t},"part":"request","event":"accepted","id":"${id}","route":"r",${TARGET_FIELDS}}`;

const line = (id: string, t: number, event: string, fields: string): string =>
  `h1 {"t":${t},"part":"x","event":"${event}","id":"${id}",${fields}}`;

const summaryOf = (...lines: readonly string[]): RequestSummary | undefined =>
  summarizeRequests(parseLogLines(lines))[0];

test('a stream whose first event and pauses are within their bounds is on time', () => {
  const summary = summaryOf(
    accepted('a', 0),
    line('a', 3_000, 'whole', '"firstMs":899,"pauseMs":300,"tookMs":3000'),
  );
  assert.equal(summary?.end, 'on_time');
});

test('a late stream is attributed to what took longest', () => {
  const late = '"firstMs":1500,"pauseMs":50,"tookMs":4000';
  const placed = '"waitedMs":1100,"lacked":"room"';
  const waited = summaryOf(
    accepted('a', 0),
    line('a', 1_100, 'placed', placed),
    line('a', 1_300, 'prefilled', '"tookMs":200'),
    line('a', 4_000, 'whole', late),
  );
  assert.equal(waited?.cause, 'waited for room');
  const failed = summaryOf(
    accepted('b', 0),
    line('b', 50, 'placed', '"waitedMs":50'),
    line('b', 1_200, 'attempt_failed', '"error":"silent"'),
    line('b', 4_000, 'whole', late),
  );
  assert.equal(failed?.cause, 'failed tries');
});

test('a late call is attributed to its wait for a server', () => {
  const placed = '{"t":390,"part":"service","event":"placed","id":"a","waitedMs":380}';
  const late = '"firstMs":470,"pauseMs":0,"tookMs":470';
  const tightTarget = accepted('a', 0).replace('"targetMs":900', '"targetMs":386');
  assert.equal(
    summaryOf(tightTarget, `h1 ${placed}`, line('a', 470, 'whole', late))?.cause,
    'waited for a server',
  );
});

test('a stream with a pause longer than its bound is late', () => {
  const summary = summaryOf(
    accepted('a', 0),
    line('a', 3_000, 'whole', '"firstMs":400,"pauseMs":301,"tookMs":3000'),
  );
  assert.deepEqual([summary?.end, summary?.cause], ['late', 'pause between events']);
});

// A host is killed while it answers. Its logs stop, and no other log tells how the request ended.
test('a request without a final event is unfinished', () => {
  assert.equal(
    summaryOf(accepted('a', 0), line('a', 5, 'placed', '"waitedMs":5'))?.end,
    'unfinished',
  );
});

test('the table counts a late answer as a fractional loss and lists the worst time windows', () => {
  const requests = summarizeRequests(
    parseLogLines([
      accepted('a', 0),
      line('a', 900, 'whole', '"firstMs":100,"pauseMs":0,"tookMs":900'),
      accepted('b', 100),
      line('b', 3_000, 'whole', '"firstMs":2000,"pauseMs":0,"tookMs":2900'),
      accepted('c', 5_000),
      line('c', 5_010, 'refused', '"code":"over_rate"'),
    ]),
  );
  const table = lossTable(requests, { lateValue: 0.2, windowMs: 2_000 });
  assert.equal(table[0], '3 requests, 1 on time, worth lost 1.8');
  assert.match(table[3] ?? '', /r +over_rate +0 +1 +0 +1\.0/);
  assert.match(table.join('\n'), /\n +4000 +1 +0 +0 +1 +0 +1\.0/);
});
