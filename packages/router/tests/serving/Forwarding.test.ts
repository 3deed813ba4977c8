import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { UpstreamError } from '@camphorvane/upstream';
import { err, errAsync, ok, okAsync, ResultAsync } from 'neverthrow';
import type { CallScript, DecodeScript } from '../support/ForwardFleet.ts';
import {
  endOf,
  failing,
  ForwardFleet,
  pieces,
  textOfAnswer,
  wholeStream,
} from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const CRASHED: UpstreamError = { type: 'broken', dispatched: true, message: 'crashed' };
const FULL: UpstreamError = { type: 'rejected', dispatched: false, message: 'full' };
const CANCELLED: UpstreamError = { type: 'cancelled', dispatched: true, message: 'cancelled' };
const DOWN: UpstreamError = { type: 'unreachable', dispatched: false, message: 'down' };

test('a stream is read by one engine, answered by another, and passed on piece by piece', async () => {
  const fleet = new ForwardFleet({});
  const events = await fleet.send('/llm/x');
  assert.equal(textOfAnswer(events), '0;1;2;3;');
  assert.equal(endOf(events), 'done');
  assert.deepEqual(fleet.prefills, ['p1']);
});

// A decode engine has filled up unseen, and refuses after the prompt was read. To read the prompt
// again would double the load on prefill engines in the very moment in which they are busiest.
test('a prompt that was read is offered to another decode engine', async () => {
  const fleet = new ForwardFleet({ decode: { d1: failing(0, FULL), d2: wholeStream } });
  const twice = await Promise.all([fleet.send('/llm/x'), fleet.send('/llm/y')]);
  twice.forEach((events) => assert.equal(textOfAnswer(events), '0;1;2;3;'));
  assert.equal(fleet.prefills.length, 2);
});

// An engine crashes in the middle of a stream that may not run twice. What was passed on is all that
// there is, and nobody may say that the request has not run.
test('a stream that may not go on elsewhere ends, and says that it may have run', async () => {
  const script = failing(2, CRASHED);
  const fleet = new ForwardFleet({ decode: { d1: script, d2: script } });
  const events = await fleet.send('/llm/x');
  assert.equal(textOfAnswer(events), '0;1;');
  assert.equal(endOf(events), 'upstream_failed unknown');
  assert.equal(fleet.decodes.length, 1);
});

// The same crash, where the operators allow the stream to go on. The caller must get each piece once.
test('a stream that may go on does so at the piece where it stopped', async () => {
  let crashes = 0;
  const once: typeof wholeStream = async function* script(cmd) {
    crashes += 1;
    if (crashes > 1) yield* wholeStream(cmd);
    else yield* failing(2, CRASHED)(cmd, new AbortController().signal);
  };
  const fleet = new ForwardFleet({ decode: { d1: once, d2: once }, route: { resumable: true } });
  const events = await fleet.send('/llm/x');
  assert.equal(textOfAnswer(events), '0;1;2;3;');
  assert.equal(events.filter((event) => event.type === 'head').length, 1);
  assert.equal(endOf(events), 'done');
  assert.equal(new Set(fleet.decodes).size, 2);
});

// An engine refuses prompts that were read, and the other one is full for a moment. Given up, the prompts
// would be read anew, while callers wait and prefill engines have less time for others.
test('a prompt that was read waits for room at another decode engine', async () => {
  const slow: DecodeScript = async function* script(cmd) {
    await new Promise<void>((resolve) => {
      setTimeout(resolve, 80);
    });
    yield* wholeStream(cmd);
  };
  const fleet = new ForwardFleet({ decode: { d1: failing(0, FULL), d2: slow } });
  const paths = Array.from({ length: 6 }, (_, i) => `/llm/${i}`);
  const results = await Promise.all(paths.map((path) => fleet.send(path)));
  results.forEach((events) => assert.equal(endOf(events), 'done'));
  assert.equal(fleet.prefills.length, paths.length, 'a prompt was read twice');
});

// A caller goes on by itself after its connection broke, and names the last piece that it has.
test('a caller that goes on gets what it lacks', async () => {
  const fleet = new ForwardFleet({ route: { resumable: true } });
  const work = { promptTokens: 100, maxTokens: 50, parts: [], lastPosition: 1 };
  assert.equal(textOfAnswer(await fleet.send('/llm/x', { work })), '2;3;');
});

// All decode engines are down. Nothing has run, and the caller may send the request again.
test('a stream that no engine took is refused as not run', async () => {
  const fleet = new ForwardFleet({ decode: { d1: failing(0, DOWN), d2: failing(0, DOWN) } });
  const events = await fleet.send('/llm/x');
  assert.match(endOf(events), / not_run$/);
});

// A caller closes its connection while its answer is made. The engine would hold its memory for a
// summary that nobody reads.
test('the engine stops when the caller has gone', async () => {
  let stopped = false;
  const fleet = new ForwardFleet({
    decode: Object.fromEntries(
      ['d1', 'd2'].map((id) => [
        id,
        async function* script(cmd, signal) {
          yield* pieces(cmd, 0, 1);
          await new Promise<void>((resolve) => {
            signal.addEventListener('abort', () => resolve(), { once: true });
          });
          stopped = true;
        } satisfies DecodeScript,
      ]),
    ),
  });
  const gone = new AbortController();
  const sent = fleet.send('/llm/x', {}, gone.signal);
  setTimeout(() => gone.abort(), 50);
  await sent;
  assert.ok(stopped);
  assert.ok(fleet.cancelled.length > 0);
});

test('an engine’s own failure is passed on as it is, and not repeated', async () => {
  const fleet = new ForwardFleet({
    decode: Object.fromEntries(
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
  assert.deepEqual(events[0], { type: 'head', status: 500, headers: { 'x-own': '1' } });
  assert.equal(textOfAnswer(events), 'failed');
  assert.equal(fleet.decodes.length, 1);
});

// A server runs a certificate's issue, and its answer is lost. Sent to the other server, the
// certificate would be issued twice.
test('a call that must not repeat is sent once, whatever becomes of it', async () => {
  const fleet = new ForwardFleet({
    call: { s1: () => errAsync(CRASHED), s2: () => errAsync(CRASHED) },
  });
  const events = await fleet.send('/once/x', { work: undefined });
  assert.equal(endOf(events), 'outcome_unknown unknown');
  assert.equal(fleet.calls.length, 1);
});

test('a call that must not repeat goes on to another server where the first was not reached', async () => {
  const fleet = new ForwardFleet({ call: { s1: () => errAsync(DOWN) } });
  const results = await Promise.all([
    fleet.send('/once/x', { work: undefined }),
    fleet.send('/once/y', { work: undefined }),
  ]);
  results.forEach((events) => assert.equal(textOfAnswer(events), 'ok'));
});

// A server is down, and nobody takes connections at its address. A try there adds to nobody's load; if
// it were paid for as a repeat, the budget would be spent on it, and calls that the other server could
// run would be refused.
test('a try that reached no server needs no budget', async () => {
  const fleet = new ForwardFleet({ call: { s1: () => errAsync(DOWN) }, repeats: 0 });
  const paths = Array.from({ length: 6 }, (_, i) => `/once/${i}`);
  const results = await Promise.all(paths.map((path) => fleet.send(path, { work: undefined })));
  results.forEach((events) => assert.equal(textOfAnswer(events), 'ok'));
});

test('a try that a server turned away is paid for', async () => {
  const full: CallScript = () => errAsync(FULL);
  const fleet = new ForwardFleet({ call: { s1: full, s2: full }, repeats: 0 });
  const paths = Array.from({ length: 4 }, (_, i) => `/once/${i}`);
  const results = await Promise.all(paths.map((path) => fleet.send(path, { work: undefined })));
  results.forEach((events) => assert.match(endOf(events), / not_run$/));
  assert.equal(fleet.calls.length, paths.length + 1);
});

// The engine that was chosen for an answer is down, after the prompt was read. The prompt goes to the
// other one, also where all repeats are spent.
test('a prompt that was read goes on past an engine that is down without a budget', async () => {
  const fleet = new ForwardFleet({ decode: { d1: failing(0, DOWN) }, repeats: 0 });
  const results = await Promise.all(['/llm/a', '/llm/b', '/llm/c'].map((path) => fleet.send(path)));
  results.forEach((events) => assert.equal(endOf(events), 'done'));
});

test('a lookup goes to another server after a failure, and gets the last failure if all fail', async () => {
  const failed = { status: 500, headers: {}, body: Buffer.from('own failure') };
  const fleet = new ForwardFleet({
    call: { s1: () => okAsync(failed), s2: () => okAsync(failed) },
  });
  const events = await fleet.send('/safe/x', { method: 'GET', work: undefined });
  assert.equal(textOfAnswer(events), 'own failure');
  assert.deepEqual([...fleet.calls].sort(), ['s1', 's2']);
});

// A server takes a call and never answers. The caller is told when its route's time is over, and not
// when it has given up by itself.
test('a call that no server answers ends at the time of its route', async () => {
  const fleet = new ForwardFleet({
    call: Object.fromEntries(
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
  assert.equal(endOf(events), 'timed_out unknown');
  assert.ok(Date.now() - startedAt < 600);
});

test('a key that is not in force, and a path without a route, reach no upstream', async () => {
  const fleet = new ForwardFleet({});
  assert.equal(endOf(await fleet.send('/llm/x', { key: 'other' })), 'unknown_key not_run');
  assert.equal(endOf(await fleet.send('/llm/x', { key: undefined })), 'missing_key not_run');
  assert.equal(endOf(await fleet.send('/nowhere/x')), 'unknown_service not_run');
  assert.equal(endOf(await fleet.send('/llm/x', { host: 'o.example' })), 'unknown_service not_run');
  assert.deepEqual([...fleet.prefills, ...fleet.calls], []);
});

// A host is told to stop while requests still come. Those that come while it leaves are served; once
// it is closed they are refused truthfully, and sent to another host.
test('a leaving host serves until it closes', async () => {
  const fleet = new ForwardFleet({});
  await fleet.host.beginDrain();
  assert.equal(endOf(await fleet.send('/llm/x')), 'done');
  await fleet.host.finishDrain(100);
  assert.equal(endOf(await fleet.send('/llm/x')), 'host_draining not_run');
});

// Guards against a request that reaches a drained zone because its engines were chosen before the drain.
test('a stream whose decode engine is drained while the prompt is read goes to another one', async () => {
  const fleet: ForwardFleet = new ForwardFleet({ onPrefill: () => fleet.remove(['d1']) });
  const streams = await Promise.all([fleet.send('/llm/x'), fleet.send('/llm/y')]);
  streams.forEach((events) => assert.equal(endOf(events), 'done'));
  assert.deepEqual(new Set(fleet.decodes), new Set(['d2']));
});

// Guards against callers who wait for a service of which every zone is drained.
test('requests for upstreams that are all drained are refused at once, as not run', async () => {
  const fleet = new ForwardFleet({});
  fleet.remove(['p1', 'd1', 'd2', 's1', 's2']);
  const ends = await Promise.all(['/llm/x', '/safe/x', '/once/x'].map((path) => fleet.send(path)));
  ends.forEach((events) => {
    assert.equal(endOf(events), 'no_capacity not_run');
    const last = events.at(-1);
    assert.ok(last?.type === 'refused' && (last.refusal.retryAfterMs ?? 0) > 0);
  });
  assert.deepEqual([...fleet.prefills, ...fleet.decodes, ...fleet.calls], []);
});

/** Gives two pieces, falls silent, and goes on after a while, unless it is stopped. */
const pausing = (ms: number): DecodeScript =>
  async function* script(cmd, signal) {
    yield* pieces(cmd, cmd.fromPosition, 2);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms);
      signal.addEventListener('abort', () => {
        clearTimeout(timer);
        resolve();
      });
    });
    if (signal.aborted) yield err(CANCELLED);
    else yield* wholeStream({ ...cmd, fromPosition: 2 });
  };

// Guards against callers who wait until they give up, since a crashed engine has not closed the connection.
test('a stream that may go on leaves an engine that is gone without a word', async () => {
  let runs = 0;
  const first: DecodeScript = (cmd, signal) => {
    runs += 1;
    return runs === 1 ? pausing(60_000)(cmd, signal) : wholeStream(cmd);
  };
  const fleet = new ForwardFleet({
    decode: { d1: first, d2: first },
    route: { resumable: true, timeoutMs: 5_000 },
  });
  const events = await fleet.send('/llm/x', { patienceMs: 5_000 });
  assert.equal(textOfAnswer(events), '0;1;2;3;');
  assert.equal(endOf(events), 'done');
  assert.equal(new Set(fleet.decodes).size, 2);
});

// Guards against callers who are kept waiting for an answer that nobody makes any more.
test('a stream that may not go on ends when its engine is gone, well before its time is over', async () => {
  const silent = pausing(60_000);
  const fleet = new ForwardFleet({
    decode: { d1: silent, d2: silent },
    route: { timeoutMs: 9_000 },
  });
  const startedAt = Date.now();
  const events = await fleet.send('/llm/x', { patienceMs: 9_000 });
  assert.equal(endOf(events), 'upstream_failed unknown');
  assert.ok(Date.now() - startedAt < 4_000);
  assert.equal(fleet.decodes.length, 1);
});

// Guards against a second run of a stream whose engine only pauses.
test('a stream is not taken from an engine that pauses and says that it is there', async () => {
  const fleet = new ForwardFleet({
    decode: { d1: pausing(1_500), d2: pausing(1_500) },
    answering: ['d1', 'd2'],
    route: { resumable: true, timeoutMs: 5_000 },
  });
  const events = await fleet.send('/llm/x', { patienceMs: 5_000 });
  assert.equal(textOfAnswer(events), '0;1;2;3;');
  assert.equal(fleet.decodes.length, 1);
});
