import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { ForwardEvent, ForwardRequest } from '@camphorvane/caller';
import type { UpstreamError } from '@camphorvane/upstream';
import { ok } from 'neverthrow';
import type { DecodeScript } from '../support/ForwardFleet.ts';
import {
  answerEnding,
  answerText,
  completeStream,
  failingStream,
  ForwardFleet,
  streamEvents,
} from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const CRASHED: UpstreamError = { type: 'broken', dispatched: true, message: 'crashed' };

/** A take-up by the caller, which has the events before position 2. */
const WORK = { promptTokens: 100, maxTokens: 50, parts: [] };

const TAKE_UP = { work: WORK, lastPosition: 1 };

/** Sends the head of a stream, and ends without an event. */
function empty(ending: 'marked' | 'closed'): DecodeScript {
  return async function* script(cmd) {
    const { attempt, fromPosition } = cmd;
    yield* streamEvents(cmd, fromPosition, fromPosition);
    yield ok({ type: 'done', attempt, reason: 'stop', outputTokens: fromPosition, ending });
  };
}

/** Has the attempts of one request run the scripts in order, at whichever engine. */
async function send(
  scripts: readonly DecodeScript[],
  overrides: Partial<ForwardRequest> = {},
  maxAttempts = scripts.length,
): Promise<{ readonly events: readonly ForwardEvent[]; readonly fleet: ForwardFleet }> {
  let attempts = 0;
  const inOrder: DecodeScript = (cmd, signal) => {
    attempts += 1;
    return (scripts[attempts - 1] ?? completeStream)(cmd, signal);
  };
  const decodeIds = ['d1', 'd2', 'd3', 'd4'];
  const fleet = new ForwardFleet({
    decodeIds,
    decodeScripts: Object.fromEntries(decodeIds.map((id) => [id, inOrder])),
    route: { resumable: true, maxAttempts },
  });
  const request = { work: WORK, ...overrides };
  return { events: await fleet.send('/llm/x', request), fleet };
}

/** Describes the answer, and counts the engines that were asked for it. */
async function answerOf(...input: Parameters<typeof send>): Promise<readonly [string, number]> {
  const { events, fleet } = await send(...input);
  return [`${answerText(events)} ${answerEnding(events)}`, fleet.decodes.length];
}

// Guards against the loss of an engine before its first event, which would pass for the end of the stream.
test('a stream goes on elsewhere where the engine that took it up closed before any event', async () => {
  const scripts = [failingStream(2, CRASHED), empty('closed'), completeStream];
  assert.deepEqual(await answerOf(scripts), ['0;1;2;3; done', 3]);
});

// Guards against the same where no engine may be asked any more: the answer must not look complete.
test('a stream breaks off where the last engine that took it up closed before any event', async () => {
  const scripts = [failingStream(2, CRASHED), empty('closed')];
  assert.deepEqual(await answerOf(scripts), ['0;1; upstream_failed unknown', 2]);
});

// Guards against the loss of a whole stream whose engine crashed behind its last event.
test('a stream is complete once two engines that took it up had nothing left', async () => {
  const scripts = [failingStream(2, CRASHED), empty('closed')];
  assert.deepEqual(await answerOf([...scripts, empty('closed')], {}, 4), ['0;1; done', 3]);
  assert.deepEqual(await answerOf([...scripts, empty('marked')], {}, 4), ['0;1; done', 3]);
});

// Guards against attempts that are spent on an end that is certain.
test('a marked end, and one after all output that was asked for, need no second engine', async () => {
  const marked = [failingStream(2, CRASHED), empty('marked')];
  assert.deepEqual(await answerOf(marked, {}, 4), ['0;1; done', 2]);
  const all = { ...TAKE_UP, work: { ...WORK, maxTokens: 2 } };
  assert.deepEqual(await answerOf([empty('closed')], all, 4), [' done', 1]);
});

// Guards against two losses at different positions that are taken for one end.
test('an empty end counts only at the position at which the stream ends', async () => {
  const losses = [failingStream(2, CRASHED), empty('closed')];
  const more = [failingStream(3, CRASHED), empty('closed')];
  const answer = await answerOf([...losses, ...more]);
  assert.deepEqual(answer, ['0;1;2; upstream_failed unknown', 4]);
});

// Guards against the same losses where the caller takes its stream up.
test('a take-up by the caller is complete after a marked end or two empty ones', async () => {
  const closed = empty('closed');
  assert.deepEqual(await answerOf([empty('marked')], TAKE_UP, 4), [' done', 1]);
  assert.deepEqual(await answerOf([closed, closed], TAKE_UP, 4), [' done', 2]);
  assert.deepEqual(await answerOf([closed, completeStream], TAKE_UP, 4), ['2;3; done', 2]);
  assert.deepEqual(await answerOf([closed], TAKE_UP), [' upstream_failed unknown', 1]);
});

/** Sends a comment in place of events; as an event without an id, it is at the position before the first one. */
const onlyComment: DecodeScript = async function* script(cmd) {
  const { attempt, fromPosition } = cmd;
  yield* streamEvents(cmd, fromPosition, fromPosition);
  yield ok({ type: 'piece', attempt, position: fromPosition - 1, bytes: Buffer.from(': up\n\n') });
  yield ok({
    ...{ type: 'done', attempt, reason: 'stop', outputTokens: fromPosition, ending: 'closed' },
  });
};

// Guards against a comment that passes for a part of the stream, so that the close after it passes for its end.
test('a take-up by the caller is not complete after a comment and a close', async () => {
  const [answer, engines] = await answerOf([onlyComment, completeStream], TAKE_UP, 4);
  assert.equal(engines, 2);
  assert.match(answer, /2;3; done$/);
});
