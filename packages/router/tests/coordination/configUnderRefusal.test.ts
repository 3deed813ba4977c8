import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { FollowingFleet, relaysAndOthers } from '../support/FollowingFleet.ts';

/** Milliseconds within which a change must be in force; see docs/RULES-KEPT.md. */
const IN_FORCE_MS: Millis = 3_000;

// Guards against hosts that accept a withdrawn key while the store turns away all hosts that watch it.
[9, 79].forEach((count) => {
  test(`a change reaches ${count} hosts while the store turns the relays away`, async () => {
    const hosts = new FollowingFleet(count);
    const { fleet } = hosts;
    await fleet.clock.advance(8_000);
    assert.equal(hosts.countUpToDate(), count);
    hosts.treat(relaysAndOthers(fleet), 'refuse');
    await fleet.clock.advance(200);
    hosts.write();
    await fleet.clock.advance(IN_FORCE_MS);
    assert.equal(hosts.countUpToDate(), count);
    hosts.write();
    await fleet.clock.advance(IN_FORCE_MS);
    assert.equal(hosts.countUpToDate(), count);
    hosts.treat([], 'serve');
    await fleet.clock.advance(2_500);
    hosts.write();
    await fleet.clock.advance(1_500);
    assert.equal(hosts.countUpToDate(), count, 'the relays watch again');
    fleet.end();
  });
});
