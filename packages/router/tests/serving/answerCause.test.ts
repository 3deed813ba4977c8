import assert from 'node:assert/strict';
import { once } from 'node:events';
import { Readable } from 'node:stream';
import { after, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ForwardEvent } from '@camphorvane/caller';
import type { Millis } from '@camphorvane/core';
import type { UpstreamError } from '@camphorvane/upstream';
import { err, okAsync, ResultAsync } from 'neverthrow';
import { streamStopped } from '../../src/serving/attemptEnds.ts';
import type { CallScript, DecodeScript } from '../support/ForwardFleet.ts';
import {
  answerEnding,
  answerText,
  failingStream,
  ForwardFleet,
  KEY,
  streamEvents,
} from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const CRASHED: UpstreamError = { type: 'broken', dispatched: true, message: 'crashed' };

const CALL = {
  ...{ key: KEY, host: 'h.example', method: 'POST', path: '/llm/x', headers: {} },
  body: Buffer.from('b'),
};

/** How the answers of a host ended, with their causes. */
function endsOf({ host }: ForwardFleet): readonly string[] {
  const { counters } = host.dump() as { readonly counters: Readonly<Record<string, number>> };
  return Object.keys(counters).filter((name) => name.startsWith('answer.ended.'));
}

async function sendTo(
  script: DecodeScript,
  callerTimeoutMs: Millis = 2_000,
): Promise<readonly string[]> {
  const fleet = new ForwardFleet({ decodeScripts: { d1: script, d2: script } });
  await fleet.send('/llm/x', { callerTimeoutMs });
  return endsOf(fleet);
}

/** Sends two events, and nothing more until it is aborted. */
const stall: DecodeScript = async function* script(cmd, signal) {
  yield* streamEvents(cmd, 0, 2);
  await new Promise((resolve) => {
    signal.addEventListener('abort', resolve, { once: true });
  });
  yield err({ type: 'cancelled', dispatched: true, message: 'cancelled' });
};

// Guards against broken answers of which nobody can tell what broke them.
test('the end of an answer has its cause: an upstream, a stop order, the deadline', async () => {
  assert.deepEqual(await sendTo(failingStream(2, CRASHED)), ['answer.ended.broken.upstream']);
  const stopped = await sendTo(failingStream(2, streamStopped()));
  assert.deepEqual(stopped, ['answer.ended.broken.stop_order']);
  assert.deepEqual(await sendTo(stall, 150), ['answer.ended.broken.deadline']);
});

test('the end of an answer whose caller stops reading is the caller or a bound', async () => {
  const readOne = async (left: boolean): Promise<readonly string[]> => {
    const fleet = new ForwardFleet({ decodeScripts: { d1: stall, d2: stall } });
    const caller = new AbortController();
    const work = { promptTokens: 100, maxTokens: 50, parts: [] };
    const answer = fleet.host.forwarding.forward(
      'r',
      { ...CALL, callerTimeoutMs: 2_000, work },
      caller.signal,
    );
    for await (const event of answer) {
      if (left) caller.abort();
      if (event.type === 'data') break;
    }
    return endsOf(fleet);
  };
  assert.deepEqual(await readOne(false), ['answer.ended.unended.bound']);
  assert.match((await readOne(true)).join(), /^answer\.ended\.\w+\.caller$/);
});

test('the end of a whole answer has no cause', async () => {
  const fleet = new ForwardFleet({
    callScripts: { s1: () => okAsync({ status: 200, headers: {}, body: Buffer.alloc(0) }) },
  });
  await fleet.send('/once/x', { work: undefined });
  assert.deepEqual(endsOf(fleet), ['answer.ended.whole.none']);
});

// Guards against a host that stops and leaves its callers to guess: those whose requests wait may send them again.
test('a host that stops breaks off its own answers, and refuses requests that wait as not run', async () => {
  const calls: string[] = [];
  const hang: CallScript = (call, signal) => {
    calls.push(call.attempt);
    return new ResultAsync(
      once(signal, 'abort').then(() =>
        err({ type: 'cancelled' as const, dispatched: true, message: 'cancelled' }),
      ),
    );
  };
  const fleet = new ForwardFleet({
    decodeScripts: { d1: stall, d2: stall },
    callScripts: { s1: hang, s2: hang },
    serverSlots: 1,
  });
  const safe = { work: undefined, method: 'GET', callerTimeoutMs: 20_000 };
  const stream = fleet.send('/llm/x', { callerTimeoutMs: 20_000 });
  const running = [fleet.send('/safe/a', safe), fleet.send('/safe/b', safe)];
  const waiting = fleet.send('/safe/c', safe);
  await sleep(50);
  assert.equal(await fleet.host.cutOff(), 4);
  assert.equal(
    `${answerText(await stream)} ${answerEnding(await stream)}`,
    '0;1; host_draining unknown',
  );
  const ended = await Promise.all(running);
  ended.forEach((events) => assert.equal(answerEnding(events), 'host_draining unknown'));
  assert.equal(answerEnding(await waiting), 'host_draining not_run');
  assert.equal(calls.length, 2);
  assert.deepEqual(endsOf(fleet), [
    'answer.ended.broken.host_stopping',
    'answer.ended.refused.host_stopping',
  ]);
});

// Guards against a refusal in place of the loss of a host, after which a peer goes on elsewhere.
test('a host that stops does not end what it serves for peers', async () => {
  const fleet = new ForwardFleet({ decodeScripts: { d1: stall, d2: stall } });
  const work = { promptTokens: 100, maxTokens: 50, parts: [] };
  const call = { ...CALL, work };
  const context = { from: 'peer', leftMs: 400, ageMs: 0, executions: 0, isCharged: false };
  const request = { id: 'r', call: { ...call, callerTimeoutMs: undefined }, context };
  const relayed = fleet.host.serveRelayed(request, new AbortController().signal);
  const ended = Readable.from(relayed).toArray() as Promise<readonly ForwardEvent[]>;
  await sleep(50);
  assert.equal(await fleet.host.cutOff(), 1);
  assert.equal(answerEnding(await ended), 'timed_out unknown');
});
