import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { ForwardEvent } from '@camphorvane/caller';
import type { UpstreamError } from '@camphorvane/upstream';
import { err, errAsync, ok, okAsync, ResultAsync } from 'neverthrow';
import type { CallScript, DecodeScript } from '../support/ForwardFleet.ts';
import {
  answerEnding,
  failingStream,
  ForwardFleet,
  KEY,
  streamEvents,
  answerText,
  completeStream,
} from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const CRASHED: UpstreamError = { type: 'broken', dispatched: true, message: 'crashed' };
const FULL: UpstreamError = { type: 'rejected', dispatched: false, message: 'full' };
const CANCELLED: UpstreamError = { type: 'cancelled', dispatched: true, message: 'cancelled' };
const DOWN: UpstreamError = { type: 'unreachable', dispatched: false, message: 'down' };

test('a stream is prefilled by one engine, decoded by another, and forwarded event by event', async () => {
  const fleet = new ForwardFleet({});
  const events = await fleet.send('/llm/x');
  assert.equal(answerText(events), '0;1;2;3;');
  assert.equal(answerEnding(events), 'done');
  assert.deepEqual(fleet.prefills, ['p1']);
});

// Guards against a second prefill, under peak load, when a decode engine that has filled up since its last
// load report rejects a prompt after its prefill.
test('a prefilled prompt is offered to another decode engine when the first one rejects it', async () => {
  const fleet = new ForwardFleet({
    decodeScripts: { d1: failingStream(0, FULL), d2: completeStream },
  });
  const twice = await Promise.all([fleet.send('/llm/x'), fleet.send('/llm/y')]);
  twice.forEach((events) => assert.equal(answerText(events), '0;1;2;3;'));
  assert.equal(fleet.prefills.length, 2);
});

// Guards against a second run of a non-resumable stream, and against a `not_run` refusal, when its engine
// crashes in mid-stream.
test('a non-resumable stream ends when its engine crashes, with execution unknown', async () => {
  const script = failingStream(2, CRASHED);
  const fleet = new ForwardFleet({ decodeScripts: { d1: script, d2: script } });
  const events = await fleet.send('/llm/x');
  assert.equal(answerText(events), '0;1;');
  assert.equal(answerEnding(events), 'upstream_failed unknown');
  assert.equal(fleet.decodes.length, 1);
});

// Guards against lost and duplicate events when a resumable stream loses its engine in mid-stream.
test('a resumable stream resumes at another engine after its last event', async () => {
  let crashes = 0;
  const crashOnce: typeof completeStream = async function* script(cmd) {
    crashes += 1;
    if (crashes > 1) yield* completeStream(cmd);
    else yield* failingStream(2, CRASHED)(cmd, new AbortController().signal);
  };
  const fleet = new ForwardFleet({
    decodeScripts: { d1: crashOnce, d2: crashOnce },
    route: { resumable: true },
  });
  const events = await fleet.send('/llm/x');
  assert.equal(answerText(events), '0;1;2;3;');
  assert.equal(events.filter((event) => event.type === 'head').length, 1);
  assert.equal(answerEnding(events), 'done');
  assert.equal(new Set(fleet.decodes).size, 2);
});

// Guards against second prefills when one decode engine rejects prefilled prompts and the other one is full
// for a moment.
test('a prefilled prompt waits for capacity at another decode engine', async () => {
  const slow: DecodeScript = async function* script(cmd) {
    await new Promise<void>((resolve) => {
      setTimeout(resolve, 80);
    });
    yield* completeStream(cmd);
  };
  const fleet = new ForwardFleet({ decodeScripts: { d1: failingStream(0, FULL), d2: slow } });
  const paths = Array.from({ length: 6 }, (_, i) => `/llm/${i}`);
  const results = await Promise.all(paths.map((path) => fleet.send(path)));
  results.forEach((events) => assert.equal(answerEnding(events), 'done'));
  assert.equal(fleet.prefills.length, paths.length, 'a prompt was prefilled twice');
});

// A caller reconnects after its connection broke, and names the last event that it received.
test('a caller that resumes a stream gets only the events that it lacks', async () => {
  const fleet = new ForwardFleet({ route: { resumable: true } });
  assert.equal(answerText(await fleet.send('/llm/x', { lastPosition: 1 })), '2;3;');
});

// Guards against a refusal with execution unknown, after which the caller may not retry, when all decode
// engines are down.
test('a stream that no engine accepted is refused as not run', async () => {
  const fleet = new ForwardFleet({
    decodeScripts: { d1: failingStream(0, DOWN), d2: failingStream(0, DOWN) },
  });
  const events = await fleet.send('/llm/x');
  assert.match(answerEnding(events), / not_run$/);
});

// Guards against engine memory that stays occupied by an answer whose caller has disconnected.
test('the engine is cancelled when the caller disconnects', async () => {
  let stopped = false;
  const fleet = new ForwardFleet({
    decodeScripts: Object.fromEntries(
      ['d1', 'd2'].map((id) => [
        id,
        async function* script(cmd, signal) {
          yield* streamEvents(cmd, 0, 1);
          await new Promise<void>((resolve) => {
            signal.addEventListener('abort', () => resolve(), { once: true });
          });
          stopped = true;
        } satisfies DecodeScript,
      ]),
    ),
  });
  const caller = new AbortController();
  const sent = fleet.send('/llm/x', {}, caller.signal);
  setTimeout(() => caller.abort(), 50);
  await sent;
  assert.ok(stopped);
  assert.ok(fleet.cancelled.length > 0);
});

test('an error answer of an engine is forwarded unchanged, and not retried', async () => {
  const fleet = new ForwardFleet({
    decodeScripts: Object.fromEntries(
      ['d1', 'd2'].map((id) => [
        id,
        async function* script(cmd) {
          const head = { status: 500, headers: { 'x-own': '1' } };
          yield ok({
            type: 'answer' as const,
            attempt: cmd.attempt,
            head,
            body: Buffer.from('failed'),
          });
        } satisfies DecodeScript,
      ]),
    ),
  });
  const events = await fleet.send('/llm/x');
  const head = { status: 500, headers: { 'x-own': '1' }, bodyBytes: 6 };
  assert.deepEqual(events[0], { type: 'head', ...head });
  assert.equal(answerText(events), 'failed');
  assert.equal(fleet.decodes.length, 1);
});

// Guards against a second execution, such as a certificate issued twice, when the answer of a server is lost.
test('a non-idempotent call is dispatched once, even if its answer is lost', async () => {
  const fleet = new ForwardFleet({
    callScripts: { s1: () => errAsync(CRASHED), s2: () => errAsync(CRASHED) },
  });
  const events = await fleet.send('/once/x', { work: undefined });
  assert.equal(answerEnding(events), 'outcome_unknown unknown');
  assert.equal(fleet.calls.length, 1);
});

test('a non-idempotent call is retried on another server if the first one was not reached', async () => {
  const fleet = new ForwardFleet({ callScripts: { s1: () => errAsync(DOWN) } });
  const results = await Promise.all([
    fleet.send('/once/x', { work: undefined }),
    fleet.send('/once/y', { work: undefined }),
  ]);
  results.forEach((events) => assert.equal(answerText(events), 'ok'));
});

// Guards against a retry budget spent on refused connections of a server that is down: they add to no
// server's load, and calls that the other server could run would be refused.
test('a retry after an attempt that reached no server takes nothing from the retry budget', async () => {
  const fleet = new ForwardFleet({ callScripts: { s1: () => errAsync(DOWN) }, retrySlack: 0 });
  const paths = Array.from({ length: 6 }, (_, i) => `/once/${i}`);
  const results = await Promise.all(paths.map((path) => fleet.send(path, { work: undefined })));
  results.forEach((events) => assert.equal(answerText(events), 'ok'));
});

test('a retry after a server rejected the call is taken from the retry budget', async () => {
  const full: CallScript = () => errAsync(FULL);
  const fleet = new ForwardFleet({ callScripts: { s1: full, s2: full }, retrySlack: 0 });
  const paths = Array.from({ length: 4 }, (_, i) => `/once/${i}`);
  const results = await Promise.all(paths.map((path) => fleet.send(path, { work: undefined })));
  results.forEach((events) => assert.match(answerEnding(events), / not_run$/));
  assert.equal(fleet.calls.length, paths.length + 1);
});

// Guards against refusals for lack of retries when a decode engine goes down during the prefill.
test('a prefilled prompt moves on from an unreachable decode engine with a spent retry budget', async () => {
  const fleet = new ForwardFleet({ decodeScripts: { d1: failingStream(0, DOWN) }, retrySlack: 0 });
  const results = await Promise.all(['/llm/a', '/llm/b', '/llm/c'].map((path) => fleet.send(path)));
  results.forEach((events) => assert.equal(answerEnding(events), 'done'));
});

test('an idempotent call is retried on another server, and gets the last error answer if all fail', async () => {
  const failed = { status: 500, headers: {}, body: Buffer.from('own failure') };
  const fleet = new ForwardFleet({
    callScripts: { s1: () => okAsync(failed), s2: () => okAsync(failed) },
  });
  const events = await fleet.send('/safe/x', { method: 'GET', work: undefined });
  assert.equal(answerText(events), 'own failure');
  assert.deepEqual([...fleet.calls].sort(), ['s1', 's2']);
});

// Guards against callers who wait until their own timeout when a server accepts a call and never answers.
test('a call that no server answers ends at the timeout of its route', async () => {
  const fleet = new ForwardFleet({
    callScripts: Object.fromEntries(
      ['s1', 's2'].map((id) => [
        id,
        (_call, signal) =>
          new ResultAsync(
            new Promise((resolve) => {
              signal.addEventListener('abort', async () => resolve(await errAsync(CRASHED)), {
                once: true,
              });
            }),
          ),
      ]),
    ),
    route: { timeoutMs: 200 },
  });
  const startedAt = Date.now();
  const events = await fleet.send('/safe/x', { method: 'GET', work: undefined });
  assert.equal(answerEnding(events), 'timed_out unknown');
  assert.ok(Date.now() - startedAt < 600);
});

test('requests with an unknown or missing key, or without a matching route, reach no upstream', async () => {
  const fleet = new ForwardFleet({});
  assert.equal(answerEnding(await fleet.send('/llm/x', { key: 'other' })), 'unknown_key not_run');
  assert.equal(answerEnding(await fleet.send('/llm/x', { key: undefined })), 'missing_key not_run');
  assert.equal(answerEnding(await fleet.send('/nowhere/x')), 'unknown_service not_run');
  assert.equal(
    answerEnding(await fleet.send('/llm/x', { host: 'o.example' })),
    'unknown_service not_run',
  );
  assert.deepEqual([...fleet.prefills, ...fleet.calls], []);
});

// Guards against refusals while a draining host can still serve, and against requests lost after that.
test('a draining host serves until it closes, then refuses requests as not run', async () => {
  const fleet = new ForwardFleet({});
  await fleet.host.beginDrain();
  assert.equal(answerEnding(await fleet.send('/llm/x')), 'done');
  await fleet.host.finishDrain(100);
  assert.equal(answerEnding(await fleet.send('/llm/x')), 'host_draining not_run');
});

// Guards against a request that reaches a drained zone because its engines were chosen before the drain.
test('a stream whose decode engine is drained during the prefill goes to another one', async () => {
  const fleet: ForwardFleet = new ForwardFleet({ onPrefill: () => fleet.removeUpstreams(['d1']) });
  const streams = await Promise.all([fleet.send('/llm/x'), fleet.send('/llm/y')]);
  streams.forEach((events) => assert.equal(answerEnding(events), 'done'));
  assert.deepEqual(new Set(fleet.decodes), new Set(['d2']));
});

// Guards against callers who wait for a service whose zones are all drained.
test('requests whose upstreams are all drained are refused at once, as not run', async () => {
  const fleet = new ForwardFleet({});
  fleet.removeUpstreams(['p1', 'd1', 'd2', 's1', 's2']);
  const ends = await Promise.all(['/llm/x', '/safe/x', '/once/x'].map((path) => fleet.send(path)));
  ends.forEach((events) => {
    assert.equal(answerEnding(events), 'no_capacity not_run');
    const last = events.at(-1);
    assert.ok(last?.type === 'refused' && (last.refusal.retryAfterMs ?? 0) > 0);
  });
  assert.deepEqual([...fleet.prefills, ...fleet.decodes, ...fleet.calls], []);
});

/** Sends two events, pauses for `ms` milliseconds, and sends the rest unless it is aborted. */
const pausingStream = (ms: number): DecodeScript =>
  async function* script(cmd, signal) {
    yield* streamEvents(cmd, cmd.fromPosition, 2);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms);
      signal.addEventListener('abort', () => {
        clearTimeout(timer);
        resolve();
      });
    });
    if (signal.aborted) yield err(CANCELLED);
    else yield* completeStream({ ...cmd, fromPosition: 2 });
  };

// Guards against callers who wait until their timeout because a crashed engine did not close the connection.
test('a resumable stream leaves an engine that disappeared without closing the connection', async () => {
  let runs = 0;
  const first: DecodeScript = (cmd, signal) => {
    runs += 1;
    return runs === 1 ? pausingStream(60_000)(cmd, signal) : completeStream(cmd);
  };
  const fleet = new ForwardFleet({
    decodeScripts: { d1: first, d2: first },
    route: { resumable: true, timeoutMs: 5_000 },
  });
  const events = await fleet.send('/llm/x', { callerTimeoutMs: 5_000 });
  assert.equal(answerText(events), '0;1;2;3;');
  assert.equal(answerEnding(events), 'done');
  assert.equal(new Set(fleet.decodes).size, 2);
});

// Guards against callers who wait for an answer that no engine generates any more.
test('a non-resumable stream ends well before its timeout when its engine has disappeared', async () => {
  const silent = pausingStream(60_000);
  const fleet = new ForwardFleet({
    decodeScripts: { d1: silent, d2: silent },
    route: { timeoutMs: 9_000 },
  });
  const startedAt = Date.now();
  const events = await fleet.send('/llm/x', { callerTimeoutMs: 9_000 });
  assert.equal(answerEnding(events), 'upstream_failed unknown');
  assert.ok(Date.now() - startedAt < 4_000);
  assert.equal(fleet.decodes.length, 1);
});

// Guards against a second run of a stream whose engine only pauses.
test('a stream stays at an engine that pauses but answers probes', async () => {
  const fleet = new ForwardFleet({
    decodeScripts: { d1: pausingStream(1_500), d2: pausingStream(1_500) },
    probeable: ['d1', 'd2'],
    route: { resumable: true, timeoutMs: 5_000 },
  });
  const events = await fleet.send('/llm/x', { callerTimeoutMs: 5_000 });
  assert.equal(answerText(events), '0;1;2;3;');
  assert.equal(fleet.decodes.length, 1);
});

// Guards against a host that goes back to an older configuration by passing requests on to a peer that lags.
test('a request that a peer accepted by a newer configuration is refused as not run', async () => {
  const fleet = new ForwardFleet({});
  const call = {
    ...{ key: KEY, host: 'h.example', method: 'POST', path: '/once/x', headers: {} },
    ...{ body: Buffer.from(''), work: undefined },
  };
  const context = { from: 'p', leftMs: 1_000, ageMs: 0, executions: 0, isCharged: false };
  const serve = async (configVersion: number): Promise<string> => {
    const events: ForwardEvent[] = [];
    const request = { id: `v${configVersion}`, call, context: { ...context, configVersion } };
    const answer = fleet.host.serveRelayed(request, new AbortController().signal);
    for await (const event of answer) events.push(event);
    return answerEnding(events);
  };
  assert.equal(await serve(1), 'done');
  assert.equal(await serve(2), 'key_state_unconfirmed not_run');
  assert.equal(fleet.calls.length, 1);
});

// Guards against a clock that starts when the host gets to a request, so that it is passed on after its time.
test('what a request has waited since it arrived counts, at the host that received it and at a peer', async () => {
  const fleet = new ForwardFleet({ route: { timeoutMs: 900 } });
  const call = {
    ...{ key: KEY, host: 'h.example', method: 'POST', path: '/once/x', headers: {} },
    ...{ body: Buffer.from(''), callerTimeoutMs: 5_000, work: undefined },
  };
  const context = { from: 'p', leftMs: 900, ageMs: 0, executions: 0, isCharged: false };
  const { signal } = new AbortController();
  const end = async (answer: AsyncIterable<ForwardEvent>): Promise<string> => {
    const events: ForwardEvent[] = [];
    for await (const event of answer) events.push(event);
    return answerEnding(events);
  };
  const serve = (waitedMs: number): Promise<string> =>
    end(fleet.host.forwarding.forward(`w${waitedMs}`, call, signal, waitedMs));
  const serveForPeer = (waitedMs: number): Promise<string> =>
    end(fleet.host.serveRelayed({ id: `p${waitedMs}`, call, context }, signal, waitedMs));
  assert.equal(await serve(5_000), 'timed_out not_run');
  assert.equal(await serveForPeer(900), 'timed_out not_run');
  assert.equal(fleet.calls.length, 0);
  assert.equal(await serve(100), 'done');
  assert.equal(await serveForPeer(100), 'done');
});
