import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { UpstreamSignals } from '@camphorvane/core';
import type { UpstreamError } from '@camphorvane/upstream';
import { errAsync } from 'neverthrow';
import type { CallScript } from '../support/ForwardFleet.ts';
import {
  answeredCall,
  answerEnding,
  answerText,
  failingStream,
  ForwardFleet,
} from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const REJECTED: UpstreamError = { type: 'rejected', dispatched: false, message: 'full' };
const CRASHED: UpstreamError = { type: 'broken', dispatched: true, message: 'crashed' };

const rest = (restMs: number): UpstreamSignals => ({
  requestsPerSecond: undefined,
  endsLimit: false,
  leaving: false,
  restMs,
});

const limit = (requestsPerSecond: number): UpstreamSignals => ({
  requestsPerSecond,
  endsLimit: false,
  leaving: false,
  restMs: undefined,
});

/** Gets a script of a server that rejects its first call and asks for rest. */
function restingServer(fleet: () => ForwardFleet, id: string): CallScript {
  return () => {
    fleet().signal(id, rest(5_000));
    return errAsync(REJECTED);
  };
}

// Guards against calls to a server that has asked this host for rest, first attempts and retries alike.
['/safe/x', '/once/x'].forEach((path) =>
  test(`no call of ${path} is sent to a server that rests`, async () => {
    const cell: { fleet?: ForwardFleet } = {};
    const getFleet = (): ForwardFleet => cell.fleet as ForwardFleet;
    const fleet = new ForwardFleet({ callScripts: { s1: restingServer(getFleet, 's1') } });
    cell.fleet = fleet;
    const results = [];
    while (results.length < 8) results.push(await fleet.send(path));
    results.forEach((events) => assert.equal(answerEnding(events), 'done'));
    assert.ok(fleet.calls.filter((id) => id === 's1').length <= 1, fleet.calls.join());
  }),
);

// Guards against callers that wait for servers that will not take their calls in time.
test('calls are refused at once while all servers rest, and told when one takes calls', async () => {
  const fleet = new ForwardFleet({});
  fleet.signal('s1', rest(9_000));
  fleet.signal('s2', rest(5_000));
  const startedAt = performance.now();
  const last = (await fleet.send('/safe/x')).at(-1);
  assert.ok(performance.now() - startedAt < 100);
  assert.equal(last?.type, 'refused');
  assert.equal(last.refusal.execution, 'not_run');
  const { retryAfterMs = 0 } = last.refusal;
  assert.ok(retryAfterMs > 4_500 && retryAfterMs <= 5_000, `${retryAfterMs}`);
  assert.deepEqual(fleet.calls, []);
});

// Guards against a decode on an engine that has asked for rest during the prefill, and against a second
// prefill because of it.
test('a prefilled prompt goes to another engine when its own has asked for rest', async () => {
  const cell: { fleet?: ForwardFleet } = {};
  const fleet = new ForwardFleet({ onPrefill: () => cell.fleet?.signal('d1', rest(5_000)) });
  cell.fleet = fleet;
  const results = await Promise.all(['/llm/x', '/llm/y'].map((path) => fleet.send(path)));
  results.forEach((events) => assert.equal(answerText(events), '0;1;2;3;'));
  assert.deepEqual(fleet.decodes, ['d2', 'd2']);
  assert.equal(fleet.prefills.length, 2);
});

// Guards against a resumed stream, a probe or a release of a KV cache that interrupts the rest of an engine.
test('nothing else is sent to an engine that rests', async () => {
  const cell: { fleet?: ForwardFleet } = {};
  const fleet = new ForwardFleet({
    route: { resumable: true },
    probeable: ['d1', 'd2'],
    decodeScripts: {
      d1: async function* script(cmd, signal) {
        cell.fleet?.signal('d1', rest(5_000));
        yield* failingStream(2, CRASHED)(cmd, signal);
      },
    },
  });
  cell.fleet = fleet;
  const results = [];
  while (results.length < 4) results.push(await fleet.send('/llm/x'));
  results.forEach((events) => assert.equal(answerText(events), '0;1;2;3;'));
  assert.ok(fleet.decodes.filter((id) => id === 'd1').length <= 1, fleet.decodes.join());
  assert.ok(!fleet.cancelled.includes('d1') && !fleet.probes.includes('d1'));
});

// Guards against requests that wait until their deadline while no engine takes them.
test('a stream is refused at once while all decode engines rest', async () => {
  const fleet = new ForwardFleet({});
  ['d1', 'd2'].forEach((id) => fleet.signal(id, rest(4_000)));
  const startedAt = performance.now();
  const last = (await fleet.send('/llm/x')).at(-1);
  assert.ok(performance.now() - startedAt < 100);
  assert.equal(last?.type, 'refused');
  assert.ok((last.refusal.retryAfterMs ?? 0) > 3_500);
  assert.deepEqual(fleet.prefills, []);
});

// Guards against a limit that holds for one kind of upstream only.
test('limits hold for engines and for servers of plain services', async () => {
  const fleet = new ForwardFleet({ callScripts: { s1: answeredCall, s2: answeredCall } });
  ['s1', 's2', 'd1', 'd2'].forEach((id) => fleet.signal(id, limit(1)));
  const paths = Array.from({ length: 12 }, (_, i) => (i % 2 === 0 ? '/safe/x' : '/llm/x'));
  const endings = (await Promise.all(paths.map((path) => fleet.send(path)))).map(answerEnding);
  assert.ok(endings.includes('no_capacity not_run'), endings.join());
  assert.ok(fleet.calls.length <= 4, fleet.calls.join());
  assert.ok(fleet.decodes.length <= 4, fleet.decodes.join());
});

// Guards against new work on an upstream that has said in an answer that it is leaving, whatever the store says.
test('an upstream that is leaving gets no new request', async () => {
  const fleet = new ForwardFleet({});
  ['s1', 'd1'].forEach((id) =>
    fleet.signal(id, { ...limit(0), requestsPerSecond: undefined, leaving: true }),
  );
  const paths = ['/safe/x', '/once/x', '/llm/x', '/safe/y', '/llm/y'];
  const endings = (await Promise.all(paths.map((path) => fleet.send(path)))).map(answerEnding);
  endings.forEach((ending) => assert.equal(ending, 'done'));
  assert.deepEqual(new Set(fleet.calls), new Set(['s2']));
  assert.deepEqual(new Set(fleet.decodes), new Set(['d2']));
});
