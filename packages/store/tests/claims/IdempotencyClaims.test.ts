import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import {
  CLAIM_KIND,
  ClaimSweeper,
  DEFAULT_RETENTION_MS,
  IdempotencyClaims,
  MAX_STORED_RESPONSE_BYTES,
  claimRefusal,
  type Claim,
  type ClaimOutcome,
  type ClaimRequest,
  type ClaimHolderState,
} from '@camphorvane/store';
import { MemoryObjectStore } from '@camphorvane/stand-ins';
import fc from 'fast-check';
import { TimeoutStore } from '../support/TimeoutStore.ts';
import { advanceUntilSettled } from '../support/advanceUntilSettled.ts';

const RESPONSE = { status: 201, headers: { 'x-lot': '7' }, body: Buffer.from('{"certificate":7}') };

const call = (host: string, attempt: string, more: Partial<ClaimRequest> = {}): ClaimRequest => ({
  team: 'harbour',
  service: 'certificates',
  route: 'POST /issue',
  key: 'batch-7',
  requestDigest: 'd1',
  attempt,
  host,
  incarnation: `${host}.1`,
  ...more,
});

function setUp() {
  const clock = new VirtualClock();
  const store = new MemoryObjectStore(clock);
  const states = new Map<string, ClaimHolderState>();
  const host = (seed = 1): IdempotencyClaims =>
    new IdempotencyClaims({
      store,
      clock,
      random: new RandomSource(seed),
      holderState: (id) => states.get(id) ?? 'live',
    });
  return { clock, store, states, host };
}

function granted(outcome: ClaimOutcome): Claim {
  if (outcome.type !== 'claimed') assert.fail(`expected a claim, got ${outcome.type}`);
  return outcome.claim;
}

test('a call that has run replays its response to a caller that sends it again', async () => {
  const { clock, host } = setUp();
  const [a, b] = [host(), host(2)];
  const claim = granted(await advanceUntilSettled(clock, a.claim(call('a', '1'))));
  await advanceUntilSettled(clock, a.finish(claim, RESPONSE));
  const again = await advanceUntilSettled(clock, b.claim(call('b', '2')));
  assert.ok(again.type === 'finished');
  assert.deepEqual({ ...again.answer, body: Buffer.from(again.answer!.body) }, RESPONSE);
  assert.equal(a.getOpenCount(), 0);
});

test('a call sent again while it runs is not run a second time', async () => {
  // The caller times out before the service does and sends the same call again, to the same host and
  // to another one; both must detect that the first call is in flight.
  const { clock, host } = setUp();
  const [a, b] = [host(), host(2)];
  granted(await advanceUntilSettled(clock, a.claim(call('a', '1'))));
  const outcomes = [
    await advanceUntilSettled(clock, a.claim(call('a', '2'))),
    await advanceUntilSettled(clock, b.claim(call('b', '3'))),
  ];
  assert.deepEqual(
    outcomes.map((outcome) => outcome.type),
    ['in_use', 'in_use'],
  );
  assert.equal(claimRefusal(outcomes[0]!)?.execution, 'unknown');
});

test('a host that crashes with a call in flight leaves its outcome unknown for good', async () => {
  // It is unknown whether the service issued the certificate. The caller may send the call again even
  // after a month, and must never get a second certificate.
  const { clock, store, states, host } = setUp();
  granted(await advanceUntilSettled(clock, host().claim(call('a', '1'))));
  states.set('a', 'gone');
  const outcome = await advanceUntilSettled(clock, host(2).claim(call('b', '2')));
  assert.equal(outcome.type, 'outcome_unknown');
  assert.equal(claimRefusal(outcome)?.execution, 'unknown');
  await clock.advance(31 * DEFAULT_RETENTION_MS);
  const sweeper = new ClaimSweeper({
    store,
    clock,
    random: new RandomSource(4),
    retentionMs: DEFAULT_RETENTION_MS,
  });
  const sweeps = Array.from({ length: 200 }, () => advanceUntilSettled(clock, sweeper.sweep()));
  await Promise.all(sweeps);
  assert.equal(
    (await advanceUntilSettled(clock, host(3).claim(call('c', '3')))).type,
    'outcome_unknown',
  );
});

test('a call without a response has an unknown outcome at once, on every host', async () => {
  const { clock, host } = setUp();
  const a = host();
  const claim = granted(await advanceUntilSettled(clock, a.claim(call('a', '1'))));
  await advanceUntilSettled(clock, a.markOutcomeUnknown(claim));
  assert.equal((await advanceUntilSettled(clock, a.claim(call('a', '2')))).type, 'outcome_unknown');
  assert.equal(
    (await advanceUntilSettled(clock, host(2).claim(call('b', '3')))).type,
    'outcome_unknown',
  );
});

test('a claim whose write got no response is recognized as its own', async () => {
  // The claim is stored and the response is lost. Taking the stored claim for another attempt's would
  // refuse the caller as in use although no attempt runs.
  const { clock, store, host } = setUp();
  store.setFaults({ lostAnswers: 1 });
  granted(await advanceUntilSettled(clock, host().claim(call('a', '1'))));
  assert.equal(store.snapshot().length, 1);
});

test('the same key is a mismatch with another body, and independent for another team or route', async () => {
  const { clock, host } = setUp();
  const a = host();
  granted(await advanceUntilSettled(clock, a.claim(call('a', '1'))));
  const other = await advanceUntilSettled(clock, a.claim(call('a', '2', { requestDigest: 'd2' })));
  assert.equal(other.type, 'mismatch');
  granted(await advanceUntilSettled(clock, a.claim(call('a', '3', { team: 'yard' }))));
  granted(await advanceUntilSettled(clock, a.claim(call('a', '4', { route: 'POST /void' }))));
});

test('during an outage a call is refused as not run, and its key is free afterwards', async () => {
  // The write may take effect just before the outage. The caller is refused as not run and sends the
  // call again later; the stored claim must not block it.
  const { clock, store, host } = setUp();
  const a = host();
  store.setFaults({ lostAnswers: 1 });
  const pending = a.claim(call('a', '1'));
  while (store.faults.lostAnswers > 0) await clock.advance(1);
  store.setFaults({ down: true });
  const refusal = claimRefusal(await advanceUntilSettled(clock, pending));
  assert.deepEqual(
    [refusal?.code, refusal?.execution],
    ['idempotency_store_unavailable', 'not_run'],
  );
  assert.equal(store.snapshot().length, 1);
  store.setFaults({ down: false });
  await advanceUntilSettled(clock, a.whenDrained());
  granted(await advanceUntilSettled(clock, host(2).claim(call('b', '2'))));
});

test('an outcome that could not be stored is served from memory and stored later', async () => {
  const { clock, store, host } = setUp();
  const a = host();
  const claim = granted(await advanceUntilSettled(clock, a.claim(call('a', '1'))));
  store.setFaults({ down: true });
  void a.finish(claim, RESPONSE);
  await clock.advance(60_000);
  assert.equal((await advanceUntilSettled(clock, a.claim(call('a', '2')))).type, 'finished');
  store.setFaults({ down: false });
  await advanceUntilSettled(clock, a.whenDrained());
  assert.equal((await advanceUntilSettled(clock, host(2).claim(call('b', '3')))).type, 'finished');
});

test('a claim that was never dispatched is released', async () => {
  const { clock, store, host } = setUp();
  const a = host();
  const claim = granted(await advanceUntilSettled(clock, a.claim(call('a', '1'))));
  store.setFaults({ lostAnswers: 1 });
  await advanceUntilSettled(clock, a.releaseUndispatched(claim));
  granted(await advanceUntilSettled(clock, host(2).claim(call('b', '2'))));
});

test('a call whose response is too large to store counts as run', async () => {
  const { clock, host } = setUp();
  const a = host();
  const claim = granted(await advanceUntilSettled(clock, a.claim(call('a', '1'))));
  await advanceUntilSettled(
    clock,
    a.finish(claim, { ...RESPONSE, body: Buffer.alloc(MAX_STORED_RESPONSE_BYTES + 1) }),
  );
  const again = await advanceUntilSettled(clock, a.claim(call('a', '2')));
  assert.deepEqual(again, { type: 'finished', answer: undefined });
  assert.equal(claimRefusal(again)?.execution, 'unknown');
});

test('a finished claim expires after its retention, by the next claim or by a sweep', async () => {
  const { clock, store, host } = setUp();
  const a = host();
  const keys = Array.from({ length: 40 }, (_, i) => `key-${i}`);
  const run = async (key: string) => {
    const claim = granted(
      await advanceUntilSettled(clock, a.claim(call('a', `1-${key}`, { key }))),
    );
    await advanceUntilSettled(clock, a.finish(claim, RESPONSE));
  };
  await keys.reduce((before, key) => before.then(() => run(key)), Promise.resolve());
  await clock.advance(DEFAULT_RETENTION_MS + 1000);
  granted(await advanceUntilSettled(clock, a.claim(call('a', '2', { key: 'key-0' }))));
  const random = new RandomSource(4);
  const sweeper = new ClaimSweeper({ store, clock, random, retentionMs: DEFAULT_RETENTION_MS });
  sweeper.start();
  await clock.advance(DEFAULT_RETENTION_MS / 4);
  await advanceUntilSettled(clock, sweeper.stop());
  assert.deepEqual(
    store.snapshot().map((object) => object.kind),
    [CLAIM_KIND],
  );
});

type Event = 'lose' | 'down' | 'up' | 'slow' | 'fast' | 'a' | 'b' | 'c';

type End = 'finish' | 'leave' | 'abandon';

const EVENTS: readonly Event[] = ['lose', 'down', 'up', 'slow', 'fast', 'a', 'b', 'c'];

const ENDS: readonly End[] = ['finish', 'leave', 'abandon'];

/** Three hosts whose store calls time out, and one caller that keeps sending the same call. */
class ResendScenario {
  readonly clock = new VirtualClock();

  readonly store = new MemoryObjectStore(this.clock);

  readonly dispatched: string[] = [];

  private readonly hosts = { a: this.host(1), b: this.host(2), c: this.host(3) };

  private readonly running: Promise<void>[] = [];

  constructor(private readonly end: End) {}

  apply(event: Event, attempt: string): void {
    if (event === 'lose') this.store.setFaults({ lostAnswers: 1 });
    else if (event === 'down' || event === 'up') this.store.setFaults({ down: event === 'down' });
    else if (event === 'slow') this.store.setFaults({ delayMs: 900 });
    else if (event === 'fast') this.store.setFaults({ delayMs: 3 });
    else this.running.push(this.send(event, attempt));
  }

  async settle(): Promise<void> {
    this.store.setFaults({ down: false, lostAnswers: 0, delayMs: 3 });
    await advanceUntilSettled(this.clock, Promise.all(this.running));
    const ends = Object.values(this.hosts).map((host) => host.whenDrained());
    await advanceUntilSettled(this.clock, Promise.all(ends));
  }

  claimAgain(): Promise<ClaimOutcome> {
    return advanceUntilSettled(this.clock, this.hosts.b.claim(call('b', 'last')));
  }

  private host(seed: number): IdempotencyClaims {
    const store = new TimeoutStore(this.store, this.clock, 300);
    return new IdempotencyClaims({ store, clock: this.clock, random: new RandomSource(seed) });
  }

  private async send(id: 'a' | 'b' | 'c', attempt: string): Promise<void> {
    const outcome = await this.hosts[id].claim(call(id, attempt));
    if (outcome.type !== 'claimed') return;
    if (this.end === 'abandon') {
      await this.hosts[id].releaseUndispatched(outcome.claim);
      return;
    }
    this.dispatched.push(attempt);
    if (this.end === 'finish') await this.hosts[id].finish(outcome.claim, RESPONSE);
    else await this.hosts[id].markOutcomeUnknown(outcome.claim);
  }
}

test('despite lost responses, late writes and outages no call is dispatched twice and no unused key is blocked', async () => {
  // A caller repeats the same call at three hosts, while the platform loses responses, applies writes
  // after the host's timeout, and has outages. The failures would be a second certificate, or a call
  // that was refused as not run and can never be sent again.
  const plan = fc.array(fc.record({ event: fc.constantFrom(...EVENTS), gap: fc.nat(700) }), {
    maxLength: 25,
  });
  await fc.assert(
    fc.asyncProperty(plan, fc.constantFrom(...ENDS), async (steps, end) => {
      const run = new ResendScenario(end);
      await steps.reduce(async (before, { event, gap }, i) => {
        await before;
        run.apply(event, String(i));
        await run.clock.advance(gap);
      }, Promise.resolve());
      await run.settle();
      assert.ok(run.dispatched.length <= 1, `dispatched by ${run.dispatched.join()}`);
      const last = await run.claimAgain();
      assert.equal(last.type === 'claimed', run.dispatched.length === 0, last.type);
    }),
    { seed: 3, numRuns: 300 },
  );
});
