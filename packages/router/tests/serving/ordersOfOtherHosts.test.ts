import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { ForwardEvent } from '@camphorvane/caller';
import type { Millis } from '@camphorvane/core';
import { NO_OVERLOAD_POLICY, sleep, SystemClock } from '@camphorvane/core';
import type { RelayContext } from '@camphorvane/peer/relay';
import { ok } from 'neverthrow';
import type { DecodeScript, ForwardFleetOptions } from '../support/ForwardFleet.ts';
import {
  answerEnding,
  answerText,
  completeStream,
  ForwardFleet,
  KEY,
  streamEvents,
} from '../support/ForwardFleet.ts';
import type { EngineWorld } from '../support/WorldEngine.ts';
import { EVENT_COUNT, EVENT_TOKENS, WorldEngine } from '../support/WorldEngine.ts';

after(() => ForwardFleet.stopAll());

const clock = new SystemClock();

/** Events that a stream may have beyond those that it has. */
const SPARE_EVENTS = 5;

/** Sends events up to a position, and ends there. */
function streamTo(end: number, ending: 'marked' | 'closed'): DecodeScript {
  return async function* script(cmd) {
    const { attempt, fromPosition } = cmd;
    yield* streamEvents(cmd, fromPosition, end);
    yield ok({ type: 'done', attempt, reason: 'stop', outputTokens: end, ending });
  };
}

/** Has a host go on with a stream after its event 1, which a peer passes on. */
async function relay(
  fleet: ForwardFleet,
  { executions = 1, maxTokens = 50, lastPosition = 1 },
): Promise<readonly ForwardEvent[]> {
  const context: RelayContext = {
    ...{ from: 'peer', leftMs: 4_000, ageMs: 0, executions, isCharged: false },
    binding: { type: 'free' },
  };
  const work = { promptTokens: 5_000, maxTokens, parts: [] };
  const target = { key: KEY, host: 'h.example', method: 'POST', path: '/llm/x' };
  const call = { ...target, headers: {}, work, lastPosition };
  const request = { id: 'r1', call: { ...call, body: Buffer.from('body') }, context };
  const events: ForwardEvent[] = [];
  for await (const event of fleet.host.serveRelayed(request, new AbortController().signal))
    events.push(event);
  return events;
}

/** Has the attempts of one request run the scripts in order; returns the answer and the number of attempts. */
async function answerOf(
  scripts: readonly DecodeScript[],
  request: Parameters<typeof relay>[1] = {},
  options: ForwardFleetOptions = { relocation: { moves: true, backups: false } },
): Promise<readonly [string, number]> {
  let attempts = 0;
  const inOrder: DecodeScript = (cmd, signal) => {
    attempts += 1;
    return (scripts[attempts - 1] ?? completeStream)(cmd, signal);
  };
  const fleet = new ForwardFleet({
    decodeScripts: { d1: inOrder, d2: inOrder },
    route: { resumable: true, maxAttempts: 3 },
    ...options,
  });
  const events = await relay(fleet, request);
  return [`${answerText(events)} ${answerEnding(events)}`, fleet.decodes.length];
}

// Guards against a stop that another host has ordered, and that passes for the end of the stream here.
test('a stream that ran for another host ends with a close after a second sign only', async () => {
  const stopped = streamTo(3, 'closed');
  assert.deepEqual(await answerOf([stopped, completeStream]), ['2;3; done', 2]);
  assert.deepEqual(await answerOf([stopped, streamTo(3, 'closed')]), ['2; done', 2]);
});

// Guards against attempts that are spent on an end that no order can have caused, or that is certain.
test('other ends of streams that were passed on need no second sign', async () => {
  const closed = streamTo(3, 'closed');
  assert.deepEqual(await answerOf([streamTo(3, 'marked')]), ['2; done', 1]);
  assert.deepEqual(await answerOf([closed], { executions: 0 }), ['2; done', 1]);
  assert.deepEqual(await answerOf([closed], { maxTokens: 3 }), ['2; done', 1]);
  assert.deepEqual(await answerOf([closed], {}, {}), ['2; done', 1]);
});

/** Milliseconds from the order to stop a run until it is carried out. */
const LATE_MS: Millis = 900;

/** Two hosts with the same engines, whose streams end with the connection. */
function createHosts(): { readonly first: ForwardFleet; readonly second: ForwardFleet } {
  const world: EngineWorld = {
    ...{ clock, script: { hasUnmarkedEnd: true, lateMs: LATE_MS }, copies: new Map() },
    ...{ released: [], working: new Set(), mostWorking: 0, isCacheLost: false },
    ...{ isStoppedLate: false, isEndDoubtful: false },
    ...{
      faults: { copy: 'none', stop: 'late' },
      getOther: () => ({ isDead: false, hasRun: false }),
    },
  };
  const engines = {
    source: new WorldEngine('source', world),
    target: new WorldEngine('target', world),
  };
  const [first, second] = [1, 2].map(
    () =>
      new ForwardFleet({
        ...{ engines, decodeIds: ['source', 'target', 'third'] },
        decodeScripts: { third: streamTo(EVENT_COUNT, 'closed') },
        engineConfig: { memoryPieces: 1_000, slots: 12, eventTokens: EVENT_TOKENS },
        overload: { ...NO_OVERLOAD_POLICY, streamMoves: true },
        relocation: { moves: true, backups: false },
        route: { timeoutMs: 4_000, resumable: true, maxAttempts: 4 },
      }),
  );
  assert.ok(first !== undefined && second !== undefined);
  return { first, second };
}

// Guards against an order of a host that is lost, which stops the run of the peer that goes on with the stream.
test('a late stop of a lost host is no end of the stream that a peer goes on with', async () => {
  const { first, second } = createHosts();
  const maxTokens = (EVENT_COUNT + SPARE_EVENTS) * EVENT_TOKENS;
  const lost = new AbortController();
  const work = { promptTokens: 5_000, maxTokens, parts: [] };
  const begun = first.send('/llm/x', { callerTimeoutMs: 4_000, work }, lost.signal);
  await sleep(clock, 400);
  first.signal('source', {
    ...{ leaving: true, requestsPerSecond: undefined, endsLimit: false, restMs: undefined },
  });
  await sleep(clock, 300);
  lost.abort();
  const before = (await begun).flatMap((event) => (event.type === 'data' ? [event] : []));
  const lastPosition = before.length - 1;
  const events = await relay(second, { maxTokens, lastPosition });
  const rest = Array.from({ length: EVENT_COUNT - before.length }, (_, i) => i + before.length);
  const text = answerText(events).replaceAll(';', '');
  assert.equal(`${text} ${answerEnding(events)}`, `${rest.join('')} done`);
});
