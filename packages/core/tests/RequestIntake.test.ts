import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReadLag, RequestIntake, untilPolled } from '@camphorvane/core';

const STAYS = new AbortController().signal;

/** A lag of a fixed time, until all that had arrived is read. */
class FixedLag extends ReadLag {
  caughtUp = 0;

  constructor(private fixedMs: number) {
    super();
  }

  override getLagMs(): number {
    return this.fixedMs;
  }

  override recordCaughtUp(): void {
    this.caughtUp += 1;
    this.fixedMs = 0;
  }
}

function intakeOf(lagMs: number): { readonly intake: RequestIntake; readonly lag: FixedLag } {
  const lag = new FixedLag(lagMs);
  return { intake: new RequestIntake(lag), lag };
}

test('a process that is on time starts all requests', async () => {
  const { intake, lag } = intakeOf(0);
  const decisions = await Promise.all(
    [1, 2, 3].map(() => intake.untilStart({ signal: STAYS, getMaxWaitMs: () => 0 })),
  );
  assert.deepEqual(decisions, ['start', 'start', 'start']);
  assert.equal(lag.caughtUp, 0);
});

// Guards against a late process that begins requests for which nobody waits any more.
test('a late process refuses what has waited too long, and starts the newest of the others first', async () => {
  const { intake } = intakeOf(100);
  const order: string[] = [];
  const enter = async (name: string, maxWaitMs: number): Promise<void> => {
    const request = { signal: STAYS, getMaxWaitMs: () => maxWaitMs };
    order.push(`${name} ${await intake.untilStart(request)}`);
  };
  await Promise.all([enter('a', 5_000), enter('b', 90), enter('c', 5_000)]);
  assert.deepEqual(order, ['b late', 'c start', 'a start']);
});

// Guards against connections that wait to be accepted, one a turn, while requests that came before them are served.
test('a late process reads all that has arrived before the next request starts', async () => {
  const { intake, lag } = intakeOf(100);
  let arrivals = 0;
  const arrive = (): void => {
    intake.recordArrival();
    arrivals += 1;
    if (arrivals < 5) setImmediate(arrive);
  };
  setImmediate(arrive);
  await intake.untilStart({ signal: STAYS, getMaxWaitMs: () => 5_000 });
  assert.equal(arrivals, 5);
  assert.equal(lag.caughtUp, 1);
});

test('a request whose caller has left is not refused', async () => {
  const { intake } = intakeOf(100);
  const signal = AbortSignal.abort();
  const decision = await intake.untilStart({ signal, getMaxWaitMs: () => 0 });
  assert.equal(decision, 'start');
});

// Guards against callers that are turned away by a late host, although it has nothing else to do.
test('a late process starts a request that nothing else waits beside', async () => {
  const { intake } = intakeOf(100);
  const decision = await intake.untilStart({ signal: STAYS, getMaxWaitMs: () => 0 });
  assert.equal(decision, 'start');
});

test('what was read too late is known before its body is read', () => {
  const { intake } = intakeOf(100);
  assert.equal(
    intake.isLate(() => 100),
    true,
  );
  assert.equal(
    intake.isLate(() => 101),
    false,
  );
});

// Guards against refusals by a process that is never idle, as streams keep it busy, and reads all that arrives at once.
test('a process that is busy with other work is not late, unless what arrives waits', async () => {
  const { intake, lag } = intakeOf(900);
  intake.recordTick(100);
  await untilPolled();
  await untilPolled();
  assert.equal(lag.caughtUp, 1);
  assert.equal(intake.getLagMs(), 0);
  const behind = intakeOf(900);
  behind.intake.recordTick(100);
  setImmediate(() => behind.intake.recordArrival());
  await untilPolled();
  await untilPolled();
  assert.equal(behind.lag.caughtUp, 0);
});
