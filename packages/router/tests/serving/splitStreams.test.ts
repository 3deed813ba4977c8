import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { ForwardEvent } from '@camphorvane/caller';
import type { SoftwareVersion } from '@camphorvane/core';
import type { RelayContext } from '@camphorvane/peer/relay';
import type { UpstreamError } from '@camphorvane/upstream';
import {
  answerEnding,
  answerText,
  completeStream,
  failingStream,
  ForwardFleet,
  KEY,
} from '../support/ForwardFleet.ts';
import type { DecodeScript } from '../support/ForwardFleet.ts';

after(() => ForwardFleet.stopAll());

const V1: SoftwareVersion = { type: 'known', name: 'v1' };

const BROKEN: UpstreamError = { type: 'broken', dispatched: true, message: 'crashed' };

const SPLIT = [
  { service: 'llm', weight: 1 },
  { service: 'llm2', weight: 1 },
];

/** Crashes before position 2, and completes a stream that goes on. */
const crashing: DecodeScript = (cmd, signal) =>
  cmd.fromPosition === 0 ? failingStream(2, BROKEN)(cmd, signal) : completeStream(cmd);

function fleetOf(): ForwardFleet {
  const ids = ['d1', 'd2', 'e1', 'e2'];
  return new ForwardFleet({
    ...{ hasSecondPool: true, versions: [V1, V1], probeable: ids, retrySlack: 1_000 },
    route: { resumable: true, maxAttempts: 1, targets: SPLIT },
    decodeScripts: Object.fromEntries(ids.map((id) => [id, crashing])),
  });
}

// Guards against text of two models in one stream: versions of two pools may have one name.
test('a stream of a split route is taken up at the pool that began it', async () => {
  const fleet = fleetOf();
  const streams = Array.from({ length: 8 }, (_, i) => i);
  await streams.reduce(async (before, i) => {
    await before;
    await fleet.send('/llm/x');
    const events = await fleet.send('/llm/x', { lastPosition: 1, resumes: `r${2 * i + 1}` });
    assert.equal(answerText(events), '2;3;', answerEnding(events));
    const [began, wentOn] = fleet.decodes.slice(2 * i).map((id) => id.slice(0, 1));
    assert.equal(wentOn, began, `stream ${i}`);
  }, Promise.resolve());
  const pools = new Set(fleet.decodes.map((id) => id.slice(0, 1)));
  assert.equal(pools.size, 2, 'all streams began at one pool');
});

test('a stream of a split route that no host knows is refused at once, as not run', async () => {
  const fleet = fleetOf();
  const events = await fleet.send('/llm/x', { lastPosition: 1, resumes: 'first' });
  assert.equal(answerEnding(events), 'stream_version_unknown not_run');
  assert.deepEqual(fleet.decodes, []);
});

// Guards against the same in one answer, where a host goes on with a stream by way of a peer.
test('a request that a peer passes on is served by the pool that the peer has chosen', async () => {
  const fleet = fleetOf();
  const serve = async (service: string): Promise<string> => {
    const context: RelayContext = {
      ...{ from: 'peer', leftMs: 1_000, ageMs: 0, executions: 0, isCharged: false, service },
      binding: { type: 'bound', version: 'v1' },
    };
    const target = { key: KEY, host: 'h.example', method: 'POST', path: '/llm/x', headers: {} };
    const call = { ...target, body: Buffer.from('b'), work: undefined, lastPosition: 1 };
    const events: ForwardEvent[] = [];
    const answer = fleet.host.serveRelayed(
      { id: 'r1', call, context },
      new AbortController().signal,
    );
    for await (const event of answer) events.push(event);
    return answerEnding(events);
  };
  await Promise.all([1, 2, 3, 4, 5, 6].map(() => serve('llm2')));
  assert.deepEqual([...new Set(fleet.decodes.map((id) => id.slice(0, 1)))], ['e']);
  assert.equal(await serve('llm3'), 'stream_version_unknown not_run');
});
