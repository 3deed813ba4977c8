import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { SoftwareVersion } from '@camphorvane/core';
import type { OriginLink } from '@camphorvane/peer/origins';
import type { UpstreamError } from '@camphorvane/upstream';
import { ok } from 'neverthrow';
import {
  answerEnding,
  answerText,
  failingStream,
  ForwardFleet,
  streamEvents,
} from '../support/ForwardFleet.ts';
import type { DecodeScript, ForwardFleetOptions } from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const V1: SoftwareVersion = { type: 'known', name: 'v1' };
const V2: SoftwareVersion = { type: 'known', name: 'v2' };
const UNKNOWN: SoftwareVersion = { type: 'unknown' };

const BROKEN: UpstreamError = { type: 'broken', dispatched: true, message: 'crashed' };

const TAKE_UP = {
  lastPosition: 1,
  resumes: 'first',
};

/** A stream that crashes after the event before position 2, the first time that any engine runs it. */
function crashingOnce(): DecodeScript {
  let hasCrashed = false;
  return async function* script(cmd, signal) {
    const isFirst = !hasCrashed;
    hasCrashed = true;
    if (isFirst) yield* failingStream(2, BROKEN)(cmd, signal);
    else {
      yield* streamEvents(cmd, cmd.fromPosition, 4);
      yield ok({
        type: 'done',
        attempt: cmd.attempt,
        reason: 'stop',
        outputTokens: 4,
        ending: 'marked',
      });
    }
  };
}

function fleetOf(options: ForwardFleetOptions): ForwardFleet {
  return new ForwardFleet({ route: { resumable: true }, ...options });
}

/** Peers that give one answer to each question. */
function peersThatAnswer(version: string | undefined): {
  readonly link: OriginLink;
  readonly told: string[];
} {
  const told: string[] = [];
  const link: OriginLink = {
    tell: (origins) => told.push(...origins.map((one) => `${one.id} ${one.version}`)),
    onTold: () => undefined,
    setSource: () => undefined,
    ask: async () => ({ version, isTold: version !== undefined }),
  };
  return { link, told };
}

[
  { versions: [V1, V2] as const, engines: 1, text: '0;1;2;3;' },
  { versions: [V1, UNKNOWN] as const, engines: 1, text: '0;1;2;3;' },
  { versions: [UNKNOWN, UNKNOWN] as const, engines: 1, text: '0;1;' },
  { versions: [V1, V1] as const, engines: 2, text: '0;1;2;3;' },
].forEach(({ versions, engines, text }) => {
  const names = versions.map((one) => (one.type === 'known' ? one.name : 'unknown')).join(' and ');
  // Guards against a stream that goes on, within its answer, at an engine whose events don't fit to those before.
  test(`a stream that crashes goes on within its answer where engines run ${names} as far as that fits`, async () => {
    const script = crashingOnce();
    const scripts = { d1: script, d2: script };
    const fleet = fleetOf({ versions, decodeScripts: scripts, probeable: ['d1', 'd2'] });
    const events = await fleet.send('/llm/x');
    assert.equal(answerText(events), text);
    assert.equal(new Set(fleet.decodes).size, engines, fleet.decodes.join());
    if (text === '0;1;') assert.match(answerEnding(events), / unknown$/);
    else assert.equal(answerEnding(events), 'done');
  });
});

// Guards against a caller's take-up that goes on at any engine, since this host did not begin the stream.
test('a stream that a caller takes up runs at the version that peers name', async () => {
  const { link } = peersThatAnswer('v2');
  const fleet = fleetOf({ versions: [V1, V2], originLink: link });
  const ends = await Promise.all([1, 2, 3, 4].map(() => fleet.send('/llm/x', TAKE_UP)));
  ends.forEach((events) => assert.equal(answerText(events), '2;3;'));
  assert.deepEqual([...new Set(fleet.decodes)], ['d2']);
});

// Guards against a take-up at some version where nobody knows which one began the stream.
test('a stream whose version nobody knows is refused at once, as not run', async () => {
  const { link } = peersThatAnswer(undefined);
  const fleet = fleetOf({ versions: [V1, V2], originLink: link });
  const events = await fleet.send('/llm/x', TAKE_UP);
  assert.equal(answerEnding(events), 'stream_version_unknown not_run');
  assert.deepEqual([...fleet.decodes, ...fleet.prefills], []);
});

test('a stream of a version that no engine runs any more is refused at once, as not run', async () => {
  const { link } = peersThatAnswer('v0');
  const fleet = fleetOf({ versions: [V1, V2], originLink: link });
  const startedAt = performance.now();
  const events = await fleet.send('/llm/x', TAKE_UP);
  assert.equal(answerEnding(events), 'stream_version_gone not_run');
  assert.ok(performance.now() - startedAt < 200);
  assert.deepEqual([...fleet.decodes, ...fleet.prefills], []);
});

test('a host goes on with its own stream at the version that began it, and has told its peers', async () => {
  const { link, told } = peersThatAnswer(undefined);
  const broken = failingStream(2, BROKEN);
  const scripts: Record<string, DecodeScript> = { d1: broken, d2: broken };
  const fleet = fleetOf({
    ...{ versions: [V1, V2], originLink: link, decodeScripts: scripts, probeable: ['d1', 'd2'] },
    route: { resumable: true, maxAttempts: 1 },
  });
  await fleet.send('/llm/x');
  const began = fleet.decodes[0] ?? '';
  const version = began === 'd1' ? 'v1' : 'v2';
  assert.deepEqual(told, [`r1 ${version}`]);
  delete scripts[began];
  const events = await fleet.send('/llm/x', { ...TAKE_UP, resumes: 'r1' });
  assert.equal(answerText(events), '2;3;', answerEnding(events));
  assert.deepEqual(fleet.decodes, [began, began]);
});
