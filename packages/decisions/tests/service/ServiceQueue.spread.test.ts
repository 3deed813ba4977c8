import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@camphorvane/core';
import { ServiceQueue } from '@camphorvane/decisions';

// Guards against a tie-break by list order: 90 hosts without other calls in flight would all choose the
// first of the equally loaded servers, and its callers would wait beside idle servers.
test('calls of many hosts without other calls in flight are spread over all servers', () => {
  const servers = ['s1', 's2', 's3', 's4'];
  const counts = new Map<string, number>();
  Array.from({ length: 90 }, (_, host) => host).forEach((host) => {
    const gate = new ServiceQueue(new RandomSource(host * 7_919 + 1));
    gate.reconfigure(servers.map((id) => ({ id, limit: 1 })));
    Array.from({ length: 4 }, (_, i) => i * 1_000).forEach((now) => {
      const call = { request: `r${now}`, team: 't', class: 'lookup', maxWaitMs: 100 } as const;
      gate.submit({ ...call, avoid: [] }, now);
      const [decision] = gate.step(now);
      assert.ok(decision?.type === 'place');
      counts.set(decision.server, (counts.get(decision.server) ?? 0) + 1);
      gate.callEnded('t', decision.server, false, now + 50);
    });
  });
  const most = Math.max(...counts.values());
  assert.ok(most < 1.5 * 90, `${[...counts.values()].join()} calls`);
});
