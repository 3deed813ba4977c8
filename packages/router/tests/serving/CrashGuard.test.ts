import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import type { PeerLink, PeerRequest } from '@camphorvane/peer';
import { Metrics } from '@camphorvane/router';
import type { GroupGate } from '../../src/host/ports.ts';
import { CrashGuard } from '../../src/serving/CrashGuard.ts';

const MEMBERS = ['h1', 'h2'].map((host) => ({ host, peerAddress: `${host}:1` }));

// Guards against a host that joins a group and runs a request that has crashed upstreams before.
test('a host that joins is told of the requests that crashed upstreams', () => {
  const clock = new VirtualClock();
  const group = { members: () => MEMBERS } as unknown as GroupGate;
  const guardOf = (self: string, link?: PeerLink): CrashGuard =>
    new CrashGuard({ self, clock, group, metrics: new Metrics(), link });
  const joined = guardOf('h2');
  const asked: string[] = [];
  const link = {
    ask: async ({ host }: { readonly host: string }, req: PeerRequest) => {
      asked.push(`${host} ${req.type}`);
      if (asked.length > 2 && req.type === 'crashes') joined.receiveCrashes(req.reports);
    },
  } as unknown as PeerLink;
  const member = guardOf('h1', link);
  const request = { id: 'r1', digest: 'd'.repeat(64) };
  ['e1', 'e2'].forEach((engine) =>
    member.recordFailure(request, engine, {
      ...{ type: 'broken', dispatched: true, message: 'other side closed' },
    }),
  );
  assert.equal(joined.refusalFor(request), undefined);
  member.informPeer({ host: 'h2', address: 'h2:1' });
  assert.deepEqual(asked, ['h2 crashes', 'h2 crashes', 'h2 crashes']);
  assert.equal(joined.refusalFor(request)?.code, 'suspected_crasher');
});

// Guards against a request that counts as present at a crash, and explains it, though it only met what was left there.
test('a request that is sent to a process after its crash was not running there', async () => {
  const clock = new VirtualClock();
  const guard = new CrashGuard({
    ...{ self: 'h1', clock, metrics: new Metrics(), getStartTime: () => 0 },
    group: { members: () => MEMBERS } as unknown as GroupGate,
  });
  const broken = { type: 'broken', dispatched: true, message: 'read ECONNRESET' } as const;
  const crashesAfter = (digest: string, sentAt: number): number => {
    guard.recordFailure({ id: digest, digest, sentAt }, 'e1', broken);
    const found = guard.getReports('peers').crashes.filter((report) => report.digest === digest);
    return found.length;
  };
  assert.equal(crashesAfter('first', 0), 1);
  await clock.advance(1_400);
  assert.equal(crashesAfter('late', 1_390), 0);
  assert.equal(crashesAfter('slow', 0), 1);
  await clock.advance(4_000);
  assert.equal(crashesAfter('next', 5_390), 1);
});

const BROKEN = { type: 'broken', dispatched: true, message: 'read ECONNRESET' } as const;

/** Parts of all streams, and one that crashes engines. */
const SOUND_PARTS = ['+sound1', '+sound2'];
const CULPRIT_PART = '+culprit';

// Guards against sound parts that pass for the only cause after a loss of all hosts, so that all streams are refused.
test('a host that reads back stored crashes tells a culprit from the parts beside it', async () => {
  const clock = new VirtualClock();
  const group = { members: () => MEMBERS } as unknown as GroupGate;
  const guardOf = (): CrashGuard =>
    new CrashGuard({
      ...{ self: 'h1', clock, group, metrics: new Metrics(), suspicion: { minUpstreams: 3 } },
    });
  const request = (id: string, ...own: readonly string[]) => ({
    ...{ id, digest: id, shared: [...SOUND_PARTS, ...own] },
  });
  const before = guardOf();
  await ['e1', 'e2', 'e3', 'e4'].reduce(async (earlier, engine) => {
    await earlier;
    await clock.advance(1_500);
    before.recordFailure(request(`sound at ${engine}`), engine, BROKEN);
    before.recordFailure(request(`culprit at ${engine}`, CULPRIT_PART), engine, BROKEN);
  }, Promise.resolve());
  await clock.advance(1_500);
  before.recordFailure(request('sound at e5'), 'e5', BROKEN);
  const stored = before.getQuarantine();
  const started = guardOf();
  started.receiveStored(stored);
  assert.ok(
    stored.some(({ digest }) => digest === SOUND_PARTS[0]),
    'no sound part was suspected',
  );
  await clock.advance(1_500);
  assert.equal(started.refusalFor(request('again', CULPRIT_PART))?.code, 'suspected_crasher');
  const trial = request('trial');
  assert.equal(started.refusalFor(trial), undefined, 'sound parts are blocked');
  await clock.advance(1_000);
  started.recordSuccess(trial);
  assert.equal(started.refusalFor(request('next')), undefined);
  assert.equal(started.refusalFor(request('once more', CULPRIT_PART))?.code, 'suspected_crasher');
});
