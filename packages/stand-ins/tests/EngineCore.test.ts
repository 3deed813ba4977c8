import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import type { DecodeEvent, UpstreamError } from '@camphorvane/upstream';
import type { Result } from 'neverthrow';
import { answerText, EngineCore, engineSettings } from '../src/index.ts';
import { errorOf, valueOf } from './support/results.ts';

const SIGNAL = new AbortController().signal;
const PROMPT = 'compare the blends of two houses';

interface Pair {
  readonly clock: VirtualClock;
  readonly prefill: EngineCore;
  readonly decode: EngineCore;
}

function pair(): Pair {
  const clock = new VirtualClock();
  const prefill = new EngineCore(engineSettings({ id: 'p1', role: 'prefill' }), clock, () =>
    Promise.resolve(undefined),
  );
  const decode = new EngineCore(engineSettings({ id: 'd1', role: 'decode' }), clock, (_, handle) =>
    Promise.resolve(prefill.exportKv(handle)),
  );
  return { clock, prefill, decode };
}

/** Runs a promise while virtual time moves on. */
async function during<T>(clock: VirtualClock, span: number, work: PromiseLike<T>): Promise<T> {
  await clock.advance(span);
  return work;
}

async function imported({ clock, prefill, decode }: Pair, attempt: string): Promise<string> {
  const cmd = { attempt, model: 'm', prompt: PROMPT, continuation: '', priority: 0 };
  const { kvHandle } = valueOf(await during(clock, 100, prefill.prefill(cmd, SIGNAL)));
  const order = { attempt, kvHandle, sourceUrl: 'p1', pieces: 2 };
  assert.ok((await during(clock, 100, decode.transfer(order, SIGNAL))).isOk());
  return kvHandle;
}

function collect(
  events: AsyncIterable<Result<DecodeEvent, UpstreamError>>,
): readonly Result<DecodeEvent, UpstreamError>[] {
  const seen: Result<DecodeEvent, UpstreamError>[] = [];
  void (async () => {
    for await (const event of events) seen.push(event);
  })();
  return seen;
}

const textOf = (events: readonly Result<DecodeEvent, UpstreamError>[]): string =>
  events
    .map((event) => (event.isOk() && event.value.type === 'token' ? event.value.text : ''))
    .join('');

test('a whole answer is a function of the prompt and frees all memory', async () => {
  const engines = pair();
  const kvHandle = await imported(engines, 'a1');
  const cmd = { attempt: 'a1', kvHandle, maxTokens: 20, fromPosition: 0, priority: 0 };
  const seen = collect(engines.decode.decode(cmd, SIGNAL));
  assert.equal(engines.decode.currentLoad().usedPieces, 2);
  await engines.clock.advance(2000);
  assert.equal(textOf(seen), answerText(PROMPT, 20));
  assert.deepEqual(engines.decode.currentLoad().attempts, []);
  assert.deepEqual(engines.prefill.currentLoad().attempts, []);
});

test('streams of a hot or crowded engine have longer times between tokens', async () => {
  const engines = pair();
  const handles = await imported(engines, 'a1');
  engines.decode.setFaults({ capacity: 0.5 });
  const cmd = { attempt: 'a1', kvHandle: handles, maxTokens: 40, fromPosition: 0, priority: 0 };
  const seen = collect(engines.decode.decode(cmd, SIGNAL));
  await engines.clock.advance(130);
  assert.equal(seen.length, 5);
});

test('a crash breaks streams and frees memory', async () => {
  // An engine process dies with a stream open: its callers would see the text stop in mid-word.
  const engines = pair();
  const kvHandle = await imported(engines, 'a1');
  const cmd = { attempt: 'a1', kvHandle, maxTokens: 40, fromPosition: 0, priority: 0 };
  const seen = collect(engines.decode.decode(cmd, SIGNAL));
  await engines.clock.advance(60);
  engines.decode.crash();
  await engines.clock.advance(10);
  assert.equal(errorOf(seen.at(-1)!).type, 'broken');
  assert.equal(engines.decode.currentLoad().usedPieces, 0);
  assert.equal(errorOf(await engines.decode.load()).type, 'unreachable');
});

test('memory that nobody cancels stays held, and a cancel frees it', async () => {
  // A host dies between transfer and decode: nobody notices but that the engine fills up.
  const engines = pair();
  await imported(engines, 'a1');
  await engines.clock.advance(60_000);
  assert.deepEqual(engines.decode.currentLoad().attempts, ['a1']);
  await engines.decode.cancel('a1');
  assert.deepEqual(engines.decode.currentLoad().attempts, []);
});

test('a KV cache that waits too long is gone', async () => {
  // Decode memory was not there when the prefill ended, so its result is evicted and wasted.
  const { clock, prefill, decode } = pair();
  const cmd = { attempt: 'a1', model: 'm', prompt: PROMPT, continuation: '', priority: 0 };
  const { kvHandle } = valueOf(await during(clock, 100, prefill.prefill(cmd, SIGNAL)));
  await clock.advance(1000);
  const order = { attempt: 'a1', kvHandle, sourceUrl: 'p1', pieces: 2 };
  const late = await during(clock, 10, decode.transfer(order, SIGNAL));
  assert.equal(errorOf(late).type, 'rejected');
});

test('a stalled transfer holds memory until it is cancelled', async () => {
  // The link to the decode engine stops in the middle: the caller waits for a first token.
  const { clock, prefill, decode } = pair();
  decode.setFaults({ stalledTransfers: 1 });
  const cmd = { attempt: 'a1', model: 'm', prompt: PROMPT, continuation: '', priority: 0 };
  const { kvHandle } = valueOf(await during(clock, 100, prefill.prefill(cmd, SIGNAL)));
  const stalled = decode.transfer({ attempt: 'a1', kvHandle, sourceUrl: 'p1', pieces: 2 }, SIGNAL);
  await clock.advance(60_000);
  assert.equal(decode.currentLoad().usedPieces, 2);
  await decode.cancel('a1');
  assert.equal(errorOf(await during(clock, 1, stalled)).type, 'cancelled');
  assert.equal(decode.currentLoad().usedPieces, 0);
});

test('a resume at a wrong position shows in the text', async () => {
  // A stream is resumed one token too early: the caller would read a word twice.
  const { clock, prefill, decode } = pair();
  const continuation = answerText(PROMPT, 5);
  const cmd = { attempt: 'a1', model: 'm', prompt: PROMPT, continuation, priority: 0 };
  const { kvHandle } = valueOf(await during(clock, 100, prefill.prefill(cmd, SIGNAL)));
  await during(
    clock,
    100,
    decode.transfer({ attempt: 'a1', kvHandle, sourceUrl: 'p1', pieces: 2 }, SIGNAL),
  );
  const wrong = { attempt: 'a1', kvHandle, maxTokens: 12, fromPosition: 4, priority: 0 };
  const seen = collect(decode.decode(wrong, SIGNAL));
  await clock.advance(1000);
  assert.notEqual(answerText(PROMPT, 4) + textOf(seen), answerText(PROMPT, 12));
  assert.equal(continuation + textOf(seen), answerText(PROMPT, 12));
});

test('only an engine that checks fencing refuses an old order', async () => {
  const clock = new VirtualClock();
  const none = () => Promise.resolve(undefined);
  const engine = (checksFencing: boolean): EngineCore =>
    new EngineCore(engineSettings({ id: 'e', role: 'decode', checksFencing }), clock, none);
  const [strict, lax] = [engine(true), engine(false)];
  await strict.order({ type: 'role', role: 'prefill', fence: 5 });
  await lax.order({ type: 'role', role: 'prefill', fence: 5 });
  assert.ok((await strict.order({ type: 'role', role: 'decode', fence: 4 })).isErr());
  assert.ok((await lax.order({ type: 'role', role: 'decode', fence: 4 })).isOk());
});
