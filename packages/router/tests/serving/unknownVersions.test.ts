import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import type { SoftwareVersion } from '@camphorvane/core';
import { answerEnding, ForwardFleet } from '../support/ForwardFleet.ts';
import { linkTo } from '../support/linkTo.ts';
import { ListingHost } from '../support/ListingHost.ts';

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

// Guards against a stream that goes on at the first version which appears, after nothing was listed for a moment.
test('a stream that is taken up while no engine is listed is no stream without a version', async () => {
  const host = new ListingHost();
  host.list([]);
  assert.equal(await host.takeUp('first'), 'unknown');
  const told = new ListingHost({ version: 'v1', isTold: true });
  told.list([]);
  assert.equal(await told.takeUp('first'), 'v1');
  const fleet = fleetOf();
  fleet.removeUpstreams(['p1', 'd1', 'd2']);
  assert.equal(answerEnding(await fleet.send('/llm/x', TAKE_UP)), UNKNOWN);
});
