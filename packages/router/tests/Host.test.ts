import assert from 'node:assert/strict';
import { test } from 'node:test';
import { answerToken } from '@camphorvane/stand-ins';
import { MemoryFleet, startCompletion, textOf } from './support/MemoryFleet.ts';

const expected = (prompt: string, tokens: number): string =>
  Array.from({ length: tokens }, (_, position) => answerToken(prompt, position)).join('');

const question = (i: number): string => `question ${i} #tokens=20`;

test('a completion is served whole, whichever host it reaches', async () => {
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const answers = await Promise.all(
    fleet.hosts.map((host, i) => startCompletion(host, { prompt: question(i) }).waitForEnd(fleet)),
  );
  answers.forEach((events, i) => {
    assert.equal(textOf(events), expected(question(i), 20));
    assert.equal(events.at(-1)?.type, 'done');
  });
});

test('memory of a summary whose caller has gone is freed', async () => {
  // The caller closes its connection in the middle of a long answer. Were the engine not told, the
  // memory would stay held to the end of an answer that nobody reads, and others would be refused.
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const call = startCompletion(fleet.host(0), {
    prompt: 'summary #tokens=2000',
    maxTokens: 2_000,
    class: 'summary',
  });
  await fleet.clock.advance(2_000);
  assert.ok(call.events.length > 0);
  assert.equal(fleet.heldAttempts().length, 1);
  call.disconnect();
  await fleet.clock.advance(1_000);
  assert.deepEqual(fleet.heldAttempts(), []);
});

test('an answer goes on at the exact token when its decode engine crashes', async () => {
  // The engine that streams an answer dies half-way. The caller must get the rest from another
  // engine, with no token twice and none left out; it notices at most a pause.
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const call = startCompletion(fleet.host(1), {
    prompt: 'long comparison #tokens=200',
    maxTokens: 200,
  });
  await fleet.clock.advance(1_000);
  const before = call.events.length;
  assert.ok(before > 10);
  fleet.decodeEngineOf(call).crash();
  const events = await call.waitForEnd(fleet);
  assert.equal(textOf(events), expected('long comparison #tokens=200', 200));
  assert.ok(events.length > before);
});

test('a withdrawn key ends the answers that it started', async () => {
  // An operator withdraws a key while an answer is being streamed to whoever holds it. The stream
  // must end within seconds, with an error that says so and not as a short but whole answer.
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const call = startCompletion(fleet.host(2), {
    prompt: 'lookup #tokens=2000',
    maxTokens: 2_000,
  });
  await fleet.clock.advance(1_000);
  await fleet.withdrawKeys();
  await fleet.clock.advance(3_000);
  const last = call.events.at(-1);
  assert.equal(last?.type === 'refused' ? last.refusal.code : last?.type, 'key_withdrawn');
  assert.equal(last?.type === 'refused' ? last.refusal.execution : '', 'unknown');
  assert.deepEqual(fleet.heldAttempts(), []);
});

test('a draining host cuts nothing, takes nothing new and is named to nobody', async () => {
  // A host is replaced while it streams an answer. Its caller must get the whole answer; other
  // callers must not be sent to it any more, and are told that nothing ran when they come anyway.
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const call = startCompletion(fleet.host(0), { prompt: 'slow #tokens=300', maxTokens: 300 });
  await fleet.clock.advance(500);
  const drained = fleet.host(0).drain();
  await fleet.clock.advance(3_000);
  const late = await startCompletion(fleet.host(0), {}).waitForEnd(fleet);
  assert.deepEqual(
    late.map((event) => (event.type === 'refused' ? event.refusal.code : event.type)),
    ['host_draining'],
  );
  const advice = fleet.host(1).backend.advise(fleet.key)._unsafeUnwrap();
  assert.deepEqual(advice.hosts.map((host) => host.host).sort(), ['h2', 'h3']);
  assert.equal(textOf(await call.waitForEnd(fleet)), expected('slow #tokens=300', 300));
  await fleet.clock.advance(20_000);
  await drained;
  assert.equal(fleet.host(0).getState(), 'stopped');
});

test('a certificate is issued once, whichever hosts its caller tries', async () => {
  // The answer to a certificate's issue is lost on its way, and the caller sends it again to two
  // other hosts. A second certificate would mean a recall; the first answer must come back instead.
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const issue = (host: number): Promise<string> => fleet.issueCertificate(fleet.host(host), 'k1');
  const first = await fleet.advanceUntilSettled(issue(0));
  const again = await fleet.advanceUntilSettled(Promise.all([issue(1), issue(2)]));
  assert.equal(fleet.service.records.length, 1);
  assert.match(first, /^201|^200/);
  assert.deepEqual(again, [`${first} replayed`, `${first} replayed`]);
});

test('a call that must not repeat says "unknown" once its server may have run it', async () => {
  // The server goes down while it issues a certificate. Nobody can tell whether it was issued, so
  // the caller must hear "unknown", also when it asks again, and no other server may get the call.
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const issued = fleet.issueCertificate(fleet.host(0), 'k2');
  await fleet.clock.advance(15);
  fleet.service.crash();
  assert.equal(await fleet.advanceUntilSettled(issued), 'outcome_unknown unknown');
  fleet.service.setFaults({ down: false });
  const again = await fleet.advanceUntilSettled(fleet.issueCertificate(fleet.host(1), 'k2'));
  assert.equal(again, 'outcome_unknown unknown');
  assert.ok(fleet.service.records.length <= 1);
});

test('lookups are served while the host that coordinates their pool is silent', async () => {
  // The host that gives out engine memory is frozen. Until another host may take over, nobody knows
  // what is free; were lookups to wait for that, each would miss its target for some seconds.
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const steward = fleet.coordinatorOfPool();
  const others = fleet.hosts.filter((host) => host !== steward);
  fleet.partition(steward);
  const calls = Array.from({ length: 8 }, (_, i) => i);
  const answers = await Promise.all(
    calls.map(async (i) => {
      await fleet.clock.advance(0);
      const host = others[i % others.length] ?? steward;
      return startCompletion(host, { prompt: `lookup ${i} #tokens=5` }).waitForEnd(fleet);
    }),
  );
  answers.forEach((events, i) => {
    assert.equal(textOf(events), expected(`lookup ${i} #tokens=5`, 5));
  });
});
