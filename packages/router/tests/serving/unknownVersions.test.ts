import assert from 'node:assert/strict';
import { after, afterEach, test } from 'node:test';
import type { ForwardRoute, SoftwareVersion } from '@camphorvane/core';
import { ORIGIN_TTL_MS } from '@camphorvane/decisions';
import type { RelayContext } from '@camphorvane/peer/relay';
import { setLogOutput } from '../../src/observe/EventLog.ts';
import { RateLimitedLog } from '../../src/observe/RateLimitedLog.ts';
import { answerEnding, ForwardFleet, KEY } from '../support/ForwardFleet.ts';
import { linkTo } from '../support/linkTo.ts';
import { ListingHost } from '../support/ListingHost.ts';

after(() => ForwardFleet.stopAll());

afterEach(() => setLogOutput(undefined));

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

/** Seconds after which the only version that was listed is named. */
const WINDOW_S = ORIGIN_TTL_MS / 1_000;

test('a version is named as the only one after a whole window in which the list was current', async () => {
  const host = new ListingHost();
  await host.pass(WINDOW_S - 1);
  assert.equal(await host.takeUp(), 'unknown');
  await host.pass(1);
  assert.equal(await host.takeUp(), 'v1');
});

// Guards against an old version that is named as the only one by a host that does not hear of a new one.
test('a host whose list of engines is not current names no version as the only one', async () => {
  const host = new ListingHost();
  await host.pass(WINDOW_S);
  host.isListCurrent = false;
  assert.equal(await host.takeUp(), 'unknown');
  await host.pass(10);
  host.isListCurrent = true;
  await host.pass(WINDOW_S - 1);
  assert.equal(await host.takeUp(), 'unknown', 'what was listed meanwhile is not known');
  await host.pass(2);
  assert.equal(await host.takeUp(), 'v1');
});

test('a short loss of the list does not make a host forget which version is the only one', async () => {
  const host = new ListingHost();
  await host.pass(WINDOW_S);
  host.isListCurrent = false;
  await host.pass(4);
  host.isListCurrent = true;
  await host.pass(1);
  assert.equal(await host.takeUp(), 'v1');
});

// Guards against a time that the clock of a suspended machine does not count, in which versions may have changed.
test('a host whose machine was suspended or whose process was paused names no version as the only one', async () => {
  const suspended = new ListingHost();
  await suspended.pass(WINDOW_S);
  suspended.suspendedMs = 20_000;
  assert.equal(await suspended.takeUp(), 'unknown');
  const paused = new ListingHost();
  await paused.pass(WINDOW_S);
  await paused.clock.advance(20_000);
  assert.equal(await paused.takeUp(), 'unknown');
  await paused.pass(1);
  assert.equal(await paused.takeUp(), 'unknown');
});

// Guards against a host of an earlier program that passes a begun stream on and leaves out its version.
test('a begun stream that a peer passes on without its version is refused', async () => {
  const fleet = fleetOf();
  const answers = [undefined, { type: 'free' }, { type: 'bound', version: 'v2' }] as const;
  const endings = await Promise.all(
    answers.map(async (binding) => {
      const context: RelayContext = {
        ...{ from: 'peer', leftMs: 1_000, ageMs: 0, executions: 0, isCharged: false, binding },
      };
      const target = { key: KEY, host: 'h.example', method: 'POST', path: '/llm/x', headers: {} };
      const call = { ...target, body: Buffer.from('b'), work: undefined, ...TAKE_UP };
      const events = [];
      const { signal } = new AbortController();
      for await (const event of fleet.host.serveRelayed({ id: 'r1', call, context }, signal))
        events.push(event);
      return answerEnding(events);
    }),
  );
  assert.deepEqual(endings, [UNKNOWN, UNKNOWN, 'done']);
});

// Guards against a peer with an old list, which takes a version for the only one that this host knows not to be.
test('the only version that a peer knows counts where this host has listed no other one', async () => {
  const supposing = { version: 'v2', isTold: false };
  assert.equal(await new ListingHost(supposing).takeUp('first'), 'unknown');
  assert.equal(await new ListingHost({ ...supposing, isTold: true }).takeUp('first'), 'v2');
  assert.equal(await new ListingHost({ version: 'v1', isTold: false }).takeUp('first'), 'v1');
});

// Guards against the only version of a pool that is named for a stream which the route's former pool has begun.
test('a version is not named as the only one while the route has led to another pool within the window', async () => {
  const routeTo = (service: string): ForwardRoute =>
    ({
      ...{ name: 'r', host: 'h', pathPrefix: '/r/', kind: 'stream' },
      targets: [{ service, weight: 1 }],
    }) as unknown as ForwardRoute;
  const host = new ListingHost({ version: 'v1', isTold: false });
  host.routes = [routeTo('n')];
  await host.pass(WINDOW_S);
  host.routes = [routeTo('m')];
  await host.pass(1);
  assert.deepEqual([await host.takeUp(), await host.takeUp('first')], ['unknown', 'unknown']);
  await host.pass(WINDOW_S);
  assert.equal(await host.takeUp(), 'v1');
});

// Guards against a log that can't tell a version that this host did not know from one that it has listed too shortly.
test('a take-up is logged with the versions that the host has listed, and for how long', async () => {
  const lines: object[] = [];
  const host = new ListingHost();
  setLogOutput(new RateLimitedLog(host.clock, { write: (fields) => lines.push(fields) }));
  await host.pass(2);
  await host.takeUp('first');
  const [line] = lines.filter((fields) => 'event' in fields && fields.event === 'stream_taken_up');
  const { outcome, listed, knownMs } = line as Readonly<Record<string, unknown>>;
  assert.deepEqual({ outcome, listed, knownMs }, { outcome: 'unknown', listed: 1, knownMs: 2_000 });
});

// Guards against a host that is cut off from its peers and the store while engines of a new version join, and takes its old
// version for the one that began a stream elsewhere.
test('a host that can not read the list names no version as the only one', async () => {
  const host = new ListingHost();
  await host.pass(WINDOW_S);
  host.readList = () => false;
  assert.equal(await host.takeUp('first'), 'unknown');
  assert.equal(await host.takeUp(), 'unknown');
  host.readList = () => true;
  assert.equal(await host.takeUp('first'), 'v1');
});

// Guards against a host whose cut has just healed, and that has not read of engines of a new version.
test('a version that the list has only at the take-up is no version of before', async () => {
  const host = new ListingHost();
  await host.pass(WINDOW_S);
  host.readList = () => {
    host.list([V1, V2]);
    return true;
  };
  assert.equal(await host.takeUp('first'), 'unknown');
});

// Guards against a peer that is out of step, and names its old version as the only one to a host that knows none.
test('the only version that a peer names is compared with the list as the store has it', async () => {
  const host = new ListingHost({ version: 'v1', isTold: false });
  host.readList = () => {
    host.list([V1, V2]);
    return true;
  };
  assert.equal(await host.takeUp('first'), 'unknown');
  const cutOff = new ListingHost({ version: 'v1', isTold: false });
  cutOff.readList = () => false;
  assert.equal(await cutOff.takeUp('first'), 'unknown');
  const late = new ListingHost({ version: 'v1', isTold: false });
  late.isListCurrent = false;
  late.readList = () => {
    late.list([V1, V2]);
    return true;
  };
  assert.equal(await late.takeUp('first'), 'unknown', 'peers report a newer list');
});

// Guards against take-ups that are refused though a host was told what began the stream, since the store is away.
test('what a host was told holds without a read of the list', async () => {
  const host = new ListingHost({ version: 'v2', isTold: true });
  host.readList = () => false;
  assert.equal(await host.takeUp('first'), 'v2');
  assert.equal(await host.takeUp('first'), 'v2');
});
