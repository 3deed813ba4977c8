import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { DeclaredWork } from '@camphorvane/caller';
import { sleep, SystemClock } from '@camphorvane/core';
import { isSharedDigest } from '@camphorvane/decisions';
import type { UpstreamError } from '@camphorvane/upstream';
import { errAsync, ok, okAsync, ResultAsync } from 'neverthrow';
import type { CallScript, DecodeScript } from '../support/ForwardFleet.ts';
import {
  answeredCall,
  answerEnding,
  completeStream,
  failingStream,
  ForwardFleet,
} from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const CRASHED: UpstreamError = { type: 'broken', dispatched: true, message: 'other side closed' };

/** Gets the number of crashes that count against the requests of a fleet. */
function countReported(fleet: ForwardFleet): number {
  return fleet.crashGuard.getReports('peers').crashes.length;
}

/** Gets a script that reacts to the first request as one script, and to later ones as the other. */
function inTurn<Args extends readonly unknown[], R>(
  first: (...args: Args) => R,
  later: (...args: Args) => R,
): (...args: Args) => R {
  let count = 0;
  return (...args) => {
    count += 1;
    return count === 1 ? first(...args) : later(...args);
  };
}

// Guards against blocking a request whose answers the host cannot use, while no upstream has crashed.
test('an answer that cannot be used is no crash, and an upstream that is gone is one', async () => {
  const scripted = async (error: UpstreamError): Promise<number> => {
    const script = failingStream(1, error);
    const fleet = new ForwardFleet({ decodeScripts: { d1: script, d2: script } });
    await fleet.send('/llm/x');
    return countReported(fleet);
  };
  assert.equal(await scripted(CRASHED), 1);
  assert.equal(await scripted({ ...CRASHED, answered: true }), 0);
  const silent = { type: 'silent', dispatched: true, message: 'no progress' } as const;
  assert.equal(await scripted({ ...silent, isGone: true }), 1);
  assert.equal(await scripted(silent), 0);
  const call = async (error: UpstreamError): Promise<number> => {
    const script: CallScript = () => errAsync(error);
    const fleet = new ForwardFleet({ callScripts: { s1: script, s2: script } });
    assert.equal(answerEnding(await fleet.send('/once/x')), 'outcome_unknown unknown');
    return countReported(fleet);
  };
  assert.equal(await call(CRASHED), 1);
  assert.equal(await call({ ...CRASHED, answered: true }), 0);
});

// Guards against an error status, which shows nothing about the request, that clears its crashes.
test('only a success clears a request of its crashes', async () => {
  const streamed = async (status: number): Promise<readonly number[]> => {
    const answer: DecodeScript = async function* script({ attempt }) {
      yield ok({ type: 'answer', attempt, head: { status, headers: {} }, body: Buffer.from('') });
    };
    const script = inTurn(failingStream(0, CRASHED), answer);
    const fleet = new ForwardFleet({ decodeScripts: { d1: script, d2: script } });
    await fleet.send('/llm/x');
    const reported = countReported(fleet);
    await fleet.send('/llm/x');
    assert.equal(fleet.decodes.length, 2);
    return [reported, countReported(fleet)];
  };
  assert.deepEqual(await streamed(500), [1, 1]);
  assert.deepEqual(await streamed(200), [1, 0]);
  const called = async (status: number): Promise<readonly number[]> => {
    const answer: CallScript = () => okAsync({ status, headers: {}, body: Buffer.from('') });
    const script = inTurn<Parameters<CallScript>, ReturnType<CallScript>>(
      () => errAsync(CRASHED),
      answer,
    );
    const fleet = new ForwardFleet({ callScripts: { s1: script, s2: script } });
    await fleet.send('/once/x');
    const reported = countReported(fleet);
    await fleet.send('/once/x');
    assert.equal(fleet.calls.length, 2);
    return [reported, countReported(fleet)];
  };
  assert.deepEqual(await called(500), [1, 1]);
  assert.deepEqual(await called(200), [1, 0]);
});

// Guards against crashes that are not counted because the caller left before the host noticed them.
test('a crash counts although the caller has left', async () => {
  const caller = new AbortController();
  const script: DecodeScript = async function* crashing(cmd, signal) {
    caller.abort();
    yield* failingStream(0, CRASHED)(cmd, signal);
  };
  const fleet = new ForwardFleet({ decodeScripts: { d1: script, d2: script } });
  await fleet.send('/llm/x', {}, caller.signal);
  assert.equal(countReported(fleet), 1);
});

/** Has peers report two more crashes of the request whose crash the host has recorded. */
function reportFromPeers(fleet: ForwardFleet): void {
  const [own] = fleet.crashGuard.getReports('relayed').crashes;
  const { digest = '' } = own ?? {};
  const reports = ['x1', 'x2'].map((upstream) => ({ digest, upstream, ageMs: 0 }));
  fleet.crashGuard.receiveCrashes(reports);
}

// Guards against a decode of a request that became known to crash engines during its prefill.
test('a request that is quarantined during its prefill gets no decode', async () => {
  const cell: { fleet?: ForwardFleet } = {};
  const crash = failingStream(0, CRASHED);
  const fleet = new ForwardFleet({
    decodeScripts: { d1: crash, d2: crash },
    onPrefill: () => {
      if (cell.fleet !== undefined && cell.fleet.decodes.length > 0) reportFromPeers(cell.fleet);
    },
  });
  cell.fleet = fleet;
  await fleet.send('/llm/x');
  assert.equal(answerEnding(await fleet.send('/llm/x')), 'suspected_crasher not_run');
  assert.equal(fleet.decodes.length, 1);
  assert.equal(answerEnding(await fleet.send('/llm/x')), 'suspected_crasher not_run');
  assert.equal(fleet.prefills.length, 2);
});

// Guards against a request that waited for an engine or a server while it became known to crash them.
test('a request that is quarantined while it waits is not sent', async () => {
  const cell: { fleet?: ForwardFleet } = {};
  const crashed: CallScript = () => errAsync(CRASHED);
  const slow: CallScript = () =>
    new ResultAsync(
      sleep(new SystemClock(), 100).then(() => {
        if (cell.fleet !== undefined) reportFromPeers(cell.fleet);
        return ok({ status: 200, headers: {}, body: Buffer.from('ok') });
      }),
    );
  const script: CallScript = (call, signal) =>
    (call.path === '/once/bad' ? crashed : slow)(call, signal);
  const fleet = new ForwardFleet({
    serverSlots: 1,
    callScripts: { s1: script, s2: script },
    route: { targetMs: 1_000 },
  });
  cell.fleet = fleet;
  await fleet.send('/once/bad');
  const others = [fleet.send('/once/a'), fleet.send('/once/b')];
  const waiting = fleet.send('/once/bad');
  await Promise.all(others);
  assert.equal(answerEnding(await waiting), 'suspected_crasher not_run');
  assert.equal(fleet.calls.length, 3);
});

// Guards against the retries of a call, each of which may crash one more server.
test('a call that is suspected by its own crash is not retried', async () => {
  const script: CallScript = () => errAsync(CRASHED);
  const fleet = new ForwardFleet({ callScripts: { s1: script, s2: script } });
  fleet.crashGuard.onCrash(() => reportFromPeers(fleet));
  assert.equal(answerEnding(await fleet.send('/safe/x')), 'upstream_failed unknown');
  assert.equal(fleet.calls.length, 1);
});

/** Gets the work of a request whose prompt has parts, the last one its own. */
function workOf(...ids: readonly string[]): DeclaredWork {
  const parts = ids.map((id) => ({ id, tokens: 10 }));
  return { promptTokens: 100, maxTokens: 50, parts };
}

/** Sends a request that is like no other but for the parts of its prompt. */
async function sendWithParts(
  fleet: ForwardFleet,
  n: number,
  ...ids: readonly string[]
): Promise<string> {
  const work = workOf(...ids, `own${n}`);
  return answerEnding(await fleet.send(`/llm/${n}`, { body: Buffer.from(`body ${n}`), work }));
}

// Guards against requests that are told from each other by their content alone, while a part of their prompts crashes
// one engine after the other; a first event of such a stream shows nothing.
test('requests with a part that crashed engines get no engine, and others do', async () => {
  const crash = failingStream(1, CRASHED);
  const script: DecodeScript = (cmd, signal) => {
    const isBad = cmd.prompt?.parts.some(({ id }) => id === 'bad') === true;
    return isBad ? crash(cmd, signal) : completeStream(cmd);
  };
  const fleet = new ForwardFleet({ decodeScripts: { d1: script, d2: script } });
  await sendWithParts(fleet, 1, 'bad');
  const { crashes } = fleet.crashGuard.getReports('relayed');
  const { digest = '' } = crashes.find((report) => isSharedDigest(report.digest)) ?? {};
  const reports = [15_000, 12_000, 9_000, 6_000, 3_000].map((ageMs) => ({
    digest,
    upstream: `x${ageMs}`,
    ageMs,
  }));
  fleet.crashGuard.receiveCrashes(reports);
  const sent = fleet.prefills.length;
  assert.equal(await sendWithParts(fleet, 2, 'common', 'bad'), 'suspected_crasher not_run');
  assert.equal(fleet.prefills.length, sent);
  assert.equal(await sendWithParts(fleet, 3, 'common', 'good'), 'done');
  assert.equal(await sendWithParts(fleet, 4, 'common'), 'done');
});

// Guards against traits of plain calls that nobody counts.
test('a plain call with a part that crashed servers is not sent', async () => {
  const script: CallScript = (call) =>
    call.path === '/safe/bad' ? errAsync(CRASHED) : answeredCall();
  const fleet = new ForwardFleet({ callScripts: { s1: script, s2: script } });
  await fleet.send('/safe/bad', { work: workOf('bad', 'own') });
  const { crashes } = fleet.crashGuard.getReports('relayed');
  const { digest = '' } = crashes.find((report) => isSharedDigest(report.digest)) ?? {};
  const reports = [15_000, 12_000, 9_000, 6_000, 3_000].map((ageMs) => ({
    digest,
    upstream: `x${ageMs}`,
    ageMs,
  }));
  fleet.crashGuard.receiveCrashes(reports);
  const send = async (path: string, part: string): Promise<string> =>
    answerEnding(await fleet.send(path, { work: workOf(part, 'own') }));
  assert.equal(await send('/safe/x', 'bad'), 'suspected_crasher not_run');
  assert.equal(await send('/safe/x', 'good'), 'done');
});
