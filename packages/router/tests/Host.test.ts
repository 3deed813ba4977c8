import assert from 'node:assert/strict';
import { test } from 'node:test';
import { answerToken } from '@camphorvane/stand-ins';
import { MemoryFleet, startCompletion, textOf } from './support/MemoryFleet.ts';

const expectedText = (prompt: string, tokens: number): string =>
  Array.from({ length: tokens }, (_, position) => answerToken(prompt, position)).join('');

const promptOf = (i: number): string => `question ${i} #tokens=20`;

test('every host serves a complete completion', async () => {
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const answers = await Promise.all(
    fleet.hosts.map((host, i) => startCompletion(host, { prompt: promptOf(i) }).waitForEnd(fleet)),
  );
  answers.forEach((events, i) => {
    assert.equal(textOf(events), expectedText(promptOf(i), 20));
    assert.equal(events.at(-1)?.type, 'done');
  });
});

test('engine memory of a summary is released when its caller disconnects', async () => {
  // The caller disconnects in the middle of a long answer. If the engine were not cancelled, its
  // memory would stay reserved until the unread answer ends, and other requests would be refused.
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

test('an answer resumes at the exact token when its decode engine crashes', async () => {
  // The decode engine crashes in the middle of an answer. Another engine must resume it without a
  // duplicate or missing token; the caller sees a pause at most.
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
  assert.equal(textOf(events), expectedText('long comparison #tokens=200', 200));
  assert.ok(events.length > before);
});

test('withdrawing a key aborts the answers in flight under it', async () => {
  // An operator withdraws a key while an answer is streamed to its holder. The stream must end within
  // seconds, with an error that names the cause, not as a complete but short answer.
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

test('a draining host finishes requests in flight, refuses new ones and is not listed', async () => {
  // A host is replaced while it streams an answer. The caller must get the complete answer. The host
  // must no longer be listed, and must refuse new requests as not run.
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
  const advice = fleet.host(1).backend.recommendHosts(fleet.key)._unsafeUnwrap();
  assert.deepEqual(advice.hosts.map((host) => host.host).sort(), ['h2', 'h3']);
  assert.equal(textOf(await call.waitForEnd(fleet)), expectedText('slow #tokens=300', 300));
  await fleet.clock.advance(20_000);
  await drained;
  assert.equal(fleet.host(0).getState(), 'stopped');
});

test('a certificate is issued once when its caller retries at other hosts', async () => {
  // The response to an issue call is lost, and the caller retries at two other hosts. A second
  // certificate would have to be recalled, so both must replay the first response.
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const issue = (host: number): Promise<string> => fleet.issueCertificate(fleet.host(host), 'k1');
  const first = await fleet.advanceUntilSettled(issue(0));
  const again = await fleet.advanceUntilSettled(Promise.all([issue(1), issue(2)]));
  assert.equal(fleet.service.records.length, 1);
  assert.match(first, /^201|^200/);
  assert.deepEqual(again, [`${first} replayed`, `${first} replayed`]);
});

test('a non-repeatable call reports "unknown" once its server may have run it', async () => {
  // The server crashes while it issues a certificate, so whether it was issued can't be known. The
  // caller must get "unknown", also on a retry, and the call must not reach another server.
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

test('lookups are served while the coordinator of their pool is unreachable', async () => {
  // The coordinator of the pool's engine memory is partitioned. Until another host may take over, free
  // memory is unknown; if lookups waited for that, each would miss its target for several seconds.
  const fleet = new MemoryFleet(3);
  await fleet.start();
  const coordinator = fleet.coordinatorOfPool();
  const others = fleet.hosts.filter((host) => host !== coordinator);
  fleet.partition(coordinator);
  const calls = Array.from({ length: 8 }, (_, i) => i);
  const answers = await Promise.all(
    calls.map(async (i) => {
      await fleet.clock.advance(0);
      const host = others[i % others.length] ?? coordinator;
      return startCompletion(host, { prompt: `lookup ${i} #tokens=5` }).waitForEnd(fleet);
    }),
  );
  answers.forEach((events, i) => {
    assert.equal(textOf(events), expectedText(`lookup ${i} #tokens=5`, 5));
  });
});
