import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReadLag } from '@camphorvane/core';

/** A process whose times are set by hand. */
class FakeTimes {
  private nowMs = 1_000;

  private idleMs = 100;

  now = (): number => this.nowMs;

  idle = (): number => this.idleMs;

  work(ms: number): void {
    this.nowMs += ms;
  }

  rest(ms: number): void {
    this.nowMs += ms;
    this.idleMs += ms;
  }
}

test('what is read while the event loop is on time counts as just arrived', () => {
  const times = new FakeTimes();
  const lag = new ReadLag(times);
  times.rest(400);
  times.work(49);
  assert.equal(lag.getLagMs(), 0);
});

test('what is read after work has waited for half of that, on average', () => {
  const times = new FakeTimes();
  const lag = new ReadLag(times);
  times.rest(100);
  times.work(300);
  assert.equal(lag.getLagMs(), 150);
  times.rest(1);
  times.work(10);
  assert.equal(lag.getLagMs(), 0);
});

test('the lag grows for as long as the event loop is never idle, until all is read', () => {
  const times = new FakeTimes();
  const lag = new ReadLag(times);
  times.rest(100);
  const seen = [1, 2, 3].map(() => {
    times.work(200);
    return lag.getLagMs();
  });
  assert.deepEqual(seen, [100, 200, 300]);
  lag.recordCaughtUp();
  times.work(60);
  assert.equal(lag.getLagMs(), 30);
});

// Guards against a busy event loop that counts as ever later, although it reads what arrives each time it comes round.
test('what is read has arrived since the tick before the last one', () => {
  const times = new FakeTimes();
  const lag = new ReadLag(times);
  lag.recordTick(100);
  Array.from({ length: 20 }).forEach(() => {
    times.work(100);
    lag.recordTick(100);
  });
  times.work(40);
  assert.equal(lag.getLagMs(), 70);
});

// Guards against a process that gets no processor while it waits for events, which looks idle to itself.
test('a tick that is overdue shows that the process stood still', () => {
  const times = new FakeTimes();
  const lag = new ReadLag(times);
  lag.recordTick(100);
  times.rest(700);
  assert.equal(lag.getLagMs(), 300);
  times.work(20);
  lag.recordTick(100);
  assert.equal(lag.getLagMs(), 310, 'what waited meanwhile is still to be read');
  times.rest(5);
  assert.equal(lag.getLagMs(), 0);
});
