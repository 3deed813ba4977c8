import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@camphorvane/core';
import { FollowingFleet, relaysAndOthers } from '../support/FollowingFleet.ts';

interface Deployment {
  readonly hosts: number;
  readonly watchMs: Millis;
  /** Milliseconds within which a change must be in force; see docs/RULES-KEPT.md. */
  readonly inForceMs: Millis;
}

const DEPLOYMENTS: readonly Deployment[] = [
  { hosts: 9, watchMs: 1_800, inForceMs: 2_000 },
  { hosts: 79, watchMs: 2_800, inForceMs: 3_000 },
  { hosts: 350, watchMs: 2_800, inForceMs: 3_000 },
];

(['silent', 'slow'] as const).forEach((treatment) => {
  DEPLOYMENTS.forEach(({ hosts: count, watchMs, inForceMs }) => {
    // Guards against a withdrawn key that all hosts accept until the watches of the relays have timed out.
    test(`a change reaches ${count} hosts while the store is ${treatment} to the relays`, async () => {
      const hosts = new FollowingFleet(count, watchMs);
      const { fleet } = hosts;
      await fleet.clock.advance(20_000);
      assert.equal(hosts.countUpToDate(), count);
      hosts.treat(relaysAndOthers(fleet), treatment);
      await fleet.clock.advance(100);
      hosts.write();
      await fleet.clock.advance(inForceMs);
      assert.equal(hosts.countUpToDate(), count, 'at the begin of the silence');
      hosts.write();
      await fleet.clock.advance(inForceMs);
      assert.equal(hosts.countUpToDate(), count, 'during the silence');
      fleet.end();
    });
  });
});
