import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { SoftwareVersion } from '@camphorvane/core';
import { answerEnding, answerText, ForwardFleet } from '../support/ForwardFleet.ts';
import { linkTo } from '../support/linkTo.ts';

after(() => ForwardFleet.stopAll());

const V1: SoftwareVersion = { type: 'known', name: 'v1' };
const V2: SoftwareVersion = { type: 'known', name: 'v2' };

const TAKE_UP = { lastPosition: 1, resumes: 'first' };

const UNKNOWN = 'stream_version_unknown not_run';

function fleetOf(told?: string): ForwardFleet {
  return new ForwardFleet({
    route: { resumable: true },
    versions: [V1, V2],
    originLink: linkTo({ version: told, isTold: told !== undefined }),
  });
}

// Guards against a take-up that passes the versions by, since its caller declares no token counts.
test('a stream that is taken up without token counts goes on at its version only', async () => {
  const without = { ...TAKE_UP, work: undefined };
  assert.equal(answerEnding(await fleetOf().send('/llm/x', without)), UNKNOWN);
  const fleet = fleetOf('v2');
  const ends = await Promise.all([1, 2, 3, 4].map(() => fleet.send('/llm/x', without)));
  assert.deepEqual(ends.map(answerText), Array(4).fill('2;3;'));
  assert.deepEqual([...new Set(fleet.decodes)], ['d2']);
});

// Guards against events that come twice, or from two versions, since the caller's position is passed on unread.
test('a stream that is taken up after a position which can not be read is refused', async () => {
  const fleet = fleetOf('v1');
  const events = await fleet.send('/llm/x', { resumes: 'first', isPositionUnreadable: true });
  assert.equal(answerEnding(events), 'bad_request not_run');
  assert.deepEqual([...fleet.prefills, ...fleet.decodes], []);
});

// Guards against a stream of a resumable route that goes on at any version by way of another route.
test('a stream that is taken up on a route without take-ups goes on at its version only', async () => {
  const options = { route: { resumable: false }, versions: [V1, V2] } as const;
  const fleet = new ForwardFleet({ ...options, originLink: linkTo(undefined) });
  assert.equal(answerEnding(await fleet.send('/llm/x', TAKE_UP)), UNKNOWN);
});
