import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import type { DecodeEvent, UpstreamError } from '@camphorvane/upstream';
import type { Result } from 'neverthrow';
import { answerText, EngineCore, engineSettings } from '../src/index.ts';
import { errorOf, valueOf } from './support/results.ts';

const SIGNAL = new AbortController().signal;
const PROMPT = 'compare the blends of two houses';

interface EnginePair {
  readonly clock: VirtualClock;
  readonly prefill: EngineCore;
  readonly decode: EngineCore;
}

function startEngines(): EnginePair {
  const clock = new VirtualClock();
  const prefill = new EngineCore(engineSettings({ id: 'p1', role: 'prefill' }), clock, () =>
    Promise.resolve(undefined),
  );
  const decode = new EngineCore(engineSettings({ id: 'd1', role: 'decode' }), clock, (_, handle) =>
    Promise.resolve(prefill.exportKv(handle)),
  );
  return { clock, prefill, decode };
}

/** Advances virtual time and then awaits a promise. */
async function advanceDuring<T>(
  clock: VirtualClock,
  span: number,
  work: PromiseLike<T>,
): Promise<T> {
  await clock.advance(span);
  return work;
}

async function importKv({ clock, prefill, decode }: EnginePair, attempt: string): Promise<string> {
  const cmd = { attempt, model: 'm', prompt: PROMPT, continuation: '', priority: 0 };
  const { kvHandle } = valueOf(await advanceDuring(clock, 100, prefill.prefill(cmd, SIGNAL)));
  const transferCmd = { attempt, kvHandle, sourceUrl: 'p1', pieces: 2 };
  assert.ok((await advanceDuring(clock, 100, decode.transfer(transferCmd, SIGNAL))).isOk());
  return kvHandle;
}

function collectEvents(
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

test('a complete answer depends only on the prompt, and frees all memory', async () => {
  const engines = startEngines();
  const kvHandle = await importKv(engines, 'a1');
  const cmd = { attempt: 'a1', kvHandle, maxTokens: 20, fromPosition: 0, priority: 0 };
  const seen = collectEvents(engines.decode.decode(cmd, SIGNAL));
  assert.equal(engines.decode.currentLoad().usedPieces, 2);
  await engines.clock.advance(2000);
  assert.equal(textOf(seen), answerText(PROMPT, 20));
  assert.deepEqual(engines.decode.currentLoad().attempts, []);
  assert.deepEqual(engines.prefill.currentLoad().attempts, []);
});

test('a reduced capacity increases the token interval', async () => {
  const engines = startEngines();
  const handle = await importKv(engines, 'a1');
  engines.decode.setFaults({ capacity: 0.5 });
  const cmd = { attempt: 'a1', kvHandle: handle, maxTokens: 40, fromPosition: 0, priority: 0 };
  const seen = collectEvents(engines.decode.decode(cmd, SIGNAL));
  await engines.clock.advance(130);
  assert.equal(seen.length, 5);
});

test('a crash ends streams with an error and frees memory', async () => {
  // An engine crashes during a decode: without an error, callers would take the truncated text for
  // the complete answer.
  const engines = startEngines();
  const kvHandle = await importKv(engines, 'a1');
  const cmd = { attempt: 'a1', kvHandle, maxTokens: 40, fromPosition: 0, priority: 0 };
  const seen = collectEvents(engines.decode.decode(cmd, SIGNAL));
  await engines.clock.advance(60);
  engines.decode.crash();
  await engines.clock.advance(10);
  assert.equal(errorOf(seen.at(-1)!).type, 'broken');
  assert.equal(engines.decode.currentLoad().usedPieces, 0);
  assert.equal(errorOf(await engines.decode.load()).type, 'unreachable');
});

test('memory of an abandoned attempt stays allocated until it is cancelled', async () => {
  // A host crashes between transfer and decode: without a cancel the KV cache is leaked and the
  // engine runs out of memory.
  const engines = startEngines();
  await importKv(engines, 'a1');
  await engines.clock.advance(60_000);
  assert.deepEqual(engines.decode.currentLoad().attempts, ['a1']);
  await engines.decode.cancel('a1');
  assert.deepEqual(engines.decode.currentLoad().attempts, []);
});

test('a KV cache is evicted after its TTL', async () => {
  // No decode engine has free memory when the prefill ends: its result is evicted and wasted.
  const { clock, prefill, decode } = startEngines();
  const cmd = { attempt: 'a1', model: 'm', prompt: PROMPT, continuation: '', priority: 0 };
  const { kvHandle } = valueOf(await advanceDuring(clock, 100, prefill.prefill(cmd, SIGNAL)));
  await clock.advance(1000);
  const transferCmd = { attempt: 'a1', kvHandle, sourceUrl: 'p1', pieces: 2 };
  const late = await advanceDuring(clock, 10, decode.transfer(transferCmd, SIGNAL));
  assert.equal(errorOf(late).type, 'rejected');
});

test('a stalled transfer holds memory until it is cancelled', async () => {
  // The link to the decode engine stalls during a transfer: the caller waits for its first token.
  const { clock, prefill, decode } = startEngines();
  decode.setFaults({ stalledTransfers: 1 });
  const cmd = { attempt: 'a1', model: 'm', prompt: PROMPT, continuation: '', priority: 0 };
  const { kvHandle } = valueOf(await advanceDuring(clock, 100, prefill.prefill(cmd, SIGNAL)));
  const stalled = decode.transfer({ attempt: 'a1', kvHandle, sourceUrl: 'p1', pieces: 2 }, SIGNAL);
  await clock.advance(60_000);
  assert.equal(decode.currentLoad().usedPieces, 2);
  await decode.cancel('a1');
  assert.equal(errorOf(await advanceDuring(clock, 1, stalled)).type, 'cancelled');
  assert.equal(decode.currentLoad().usedPieces, 0);
});

test('a resume at a wrong position produces a wrong text', async () => {
  // A stream is resumed one token too early: the caller would receive a token twice.
  const { clock, prefill, decode } = startEngines();
  const continuation = answerText(PROMPT, 5);
  const cmd = { attempt: 'a1', model: 'm', prompt: PROMPT, continuation, priority: 0 };
  const { kvHandle } = valueOf(await advanceDuring(clock, 100, prefill.prefill(cmd, SIGNAL)));
  await advanceDuring(
    clock,
    100,
    decode.transfer({ attempt: 'a1', kvHandle, sourceUrl: 'p1', pieces: 2 }, SIGNAL),
  );
  const wrongCmd = { attempt: 'a1', kvHandle, maxTokens: 12, fromPosition: 4, priority: 0 };
  const seen = collectEvents(decode.decode(wrongCmd, SIGNAL));
  await clock.advance(1000);
  assert.notEqual(answerText(PROMPT, 4) + textOf(seen), answerText(PROMPT, 12));
  assert.equal(continuation + textOf(seen), answerText(PROMPT, 12));
});

test('only an engine that checks fencing tokens rejects a stale order', async () => {
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
