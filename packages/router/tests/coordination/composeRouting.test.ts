import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SoftwareVersion } from '@camphorvane/core';
import type { DeployedConfig, DeployedEngines, ServerRecord } from '@camphorvane/store';
import { composeRouting } from '../../src/coordination/composeRouting.ts';

const V1: SoftwareVersion = { type: 'known', name: 'v1' };
const V2: SoftwareVersion = { type: 'known', name: 'v2' };

const ENGINES: DeployedEngines = {
  ...{ memoryTokens: 1_000, tokenBytes: 1, linkMbps: 1 },
  ...{ roleSwitchMs: undefined, eventTokens: undefined },
};

function versionsOf(engines: DeployedEngines, servers: readonly Partial<ServerRecord>[]): unknown {
  const services = [{ id: 's', engines, slowStart: undefined }];
  const config = { version: 1, teams: [], routes: [], services } as unknown as DeployedConfig;
  const records = servers.map((server) => ({ service: 's', leaving: false, ...server }));
  return composeRouting(config, records as readonly ServerRecord[], []).pools[0]?.softwareVersions;
}

// Guards against a pool that passes for one of a single version, or of none, while engines of another one leave.
test('a pool knows the versions of all engines that are listed, also of those that are leaving', () => {
  const versioned = { ...ENGINES, haveVersions: true };
  const servers = [{ softwareVersion: V1, leaving: true }, { softwareVersion: V2 }, {}];
  assert.deepEqual(versionsOf(versioned, servers), [V1, V2, { type: 'unknown' }]);
  assert.deepEqual(versionsOf(versioned, []), []);
  assert.equal(versionsOf(ENGINES, servers), undefined);
});
