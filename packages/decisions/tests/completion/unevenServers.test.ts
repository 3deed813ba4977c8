import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@camphorvane/core';
import { ServiceQueue, UpstreamSpeeds } from '@camphorvane/decisions';

const SERVERS = ['s1', 's2', 's3'];
const HOSTS = 12;
const SLOTS = 6;
const CALL_MS = 21;
const GOSSIP_MS = 200;
const LENGTH_MS = 12_000;

/** When s3 is 2.5 times slower: 600 ms of each 3 s. */
function isSlow(now: number): boolean {
  return now % 3_000 >= 1_000 && now % 3_000 < 1_600;
}

interface Call {
  readonly id: string;
  readonly host: number;
  readonly arrivedAt: number;
  readonly server: string;
  readonly placedAt: number;
}

interface PlayResult {
  readonly late: number;
  readonly total: number;
  /** Calls to s3 in the slow phases, and 0.7 to 1.3 s after their ends. */
  readonly whileSlow: number;
  readonly afterwards: number;
}

/**
 * Plays hosts that each choose servers by themselves, in steps of a millisecond. A server runs as many calls
 * as it has slots, and queues the others.
 */
function play(isSwitchedOn: boolean, perSecond: number): PlayResult {
  const random = new RandomSource(7);
  const speeds = Array.from(
    { length: HOSTS },
    (_, host) => new UpstreamSpeeds(() => isSwitchedOn, new RandomSource(host + 1)),
  );
  const queues = speeds.map((one, host) => {
    const chooser = (...args: Parameters<typeof one.chooseServer>) => one.chooseServer(...args);
    const queue = new ServiceQueue(new RandomSource(host), undefined, chooser);
    queue.reconfigure(SERVERS.map((id) => ({ id, limit: 2 })));
    return queue;
  });
  const waiting = new Map(SERVERS.map((id): [string, Call[]] => [id, []]));
  const running: { readonly call: Call; readonly endsAt: number }[] = [];
  const result = { late: 0, total: 0, whileSlow: 0, afterwards: 0 };
  const arrivals = new Map<string, number>();
  Array.from({ length: LENGTH_MS }, (_, now) => now).forEach((now) => {
    running
      .filter(({ endsAt }) => endsAt <= now)
      .forEach((one) => {
        running.splice(running.indexOf(one), 1);
        const { call } = one;
        queues[call.host]?.callEnded('t', call.server, false, now);
        speeds[call.host]?.recordCall(call.server, now - call.placedAt, now);
        result.total += 1;
        if (now - call.arrivedAt > 2 * CALL_MS + 8) result.late += 1;
      });
    if (random.next() < perSecond / 1_000) {
      const host = Math.floor(random.next() * HOSTS);
      const request = `${now}`;
      arrivals.set(request, now);
      const call = { request, team: 't', class: 'lookup', maxWaitMs: 300, avoid: [] } as const;
      queues[host]?.submit(call, now);
    }
    queues.forEach((queue, host) =>
      queue.step(now).forEach((decision) => {
        if (decision.type !== 'place') return;
        const { request: id, server } = decision;
        const arrivedAt = arrivals.get(id) ?? now;
        waiting.get(server)?.push({ id, host, arrivedAt, server, placedAt: now });
        if (server === 's3' && isSlow(now)) result.whileSlow += 1;
        if (server === 's3' && isSlow(now - 1_300)) result.afterwards += 1;
      }),
    );
    waiting.forEach((calls, server) => {
      const free = SLOTS - running.filter(({ call }) => call.server === server).length;
      const ms = server === 's3' && isSlow(now) ? 2.5 * CALL_MS : CALL_MS;
      calls
        .splice(0, Math.max(0, free))
        .forEach((call) => running.push({ call, endsAt: now + ms }));
    });
    if (now % GOSSIP_MS !== 0) return;
    const reports = speeds.map((one) => one.getReports(now));
    speeds.forEach((one, host) =>
      reports.forEach((rows, peer) => {
        if (peer !== host) one.receive(rows, now);
      }),
    );
  });
  return result;
}

// Load: 450 calls a second for three servers that run 857, of which one is 2.5 times slower for 600 ms at a
// time. Guards against calls that are late on the slow server while others have free slots.
test('few calls are late while one of three servers is 2.5 times slower for 600 ms', () => {
  const off = play(false, 450);
  const on = play(true, 450);
  assert.ok(on.late < 0.5 * off.late, `${on.late} of ${on.total}, without: ${off.late}`);
  assert.ok(on.whileSlow < 0.5 * off.whileSlow, `${on.whileSlow}, without: ${off.whileSlow}`);
  assert.ok(on.afterwards > 0.7 * off.afterwards, `${on.afterwards}, without: ${off.afterwards}`);
});

// Load: 650 and 750 calls a second for servers that run 857, and 685 while one is slow. Guards against hosts that
// all avoid the slow server and overload the others.
test('a slow server is used where the others are busy', () => {
  [650, 750].forEach((perSecond) => {
    const off = play(false, perSecond);
    const on = play(true, perSecond);
    assert.ok(on.total >= 0.99 * off.total, `${on.total}, without: ${off.total}`);
    assert.ok(on.late <= 1.1 * off.late, `${on.late}, without: ${off.late}`);
  });
});

test('observations older than three seconds do not count, and the queue chooses as before', () => {
  const speeds = new UpstreamSpeeds(() => true);
  const options = SERVERS.map((id) => ({ id, inFlight: 0, limit: 2 }));
  speeds.recordCall('s1', 20, 0);
  assert.notEqual(speeds.chooseServer(options, 2_999), undefined);
  assert.equal(speeds.chooseServer(options, 3_000), undefined);
  assert.deepEqual(speeds.getReports(3_000), []);
});

// Guards against a server that gets no calls for good after one slow call.
test('a slow server gets one call after half a second without an observation', () => {
  const speeds = new UpstreamSpeeds(() => true);
  const at = (inFlight: number) => SERVERS.map((id) => ({ id, inFlight, limit: 2 }));
  SERVERS.forEach((id) => speeds.recordCall(id, id === 's3' ? 52 : 21, 0));
  Array.from({ length: 50 }, () => assert.notEqual(speeds.chooseServer(at(0), 400), 's3'));
  assert.equal(speeds.chooseServer(at(0), 500), 's3');
  Array.from({ length: 50 }, () => assert.notEqual(speeds.chooseServer(at(1), 500), 's3'));
  speeds.recordCall('s3', 21, 521);
  const chosen = Array.from({ length: 300 }, () => speeds.chooseServer(at(0), 600));
  assert.ok(chosen.filter((id) => id === 's3').length > 60);
});

// Guards against an old report of a peer that replaces a newer observation, and against reports that go round.
test('a report of a peer counts only where it is newer, and is not passed on', () => {
  const speeds = new UpstreamSpeeds(() => true);
  speeds.recordCall('s1', 21, 1_000);
  speeds.receive([{ upstream: 's1', ms: 90, ageMs: 300 }], 1_200);
  speeds.receive([{ upstream: 's2', ms: 52, ageMs: 100 }], 1_200);
  assert.equal(speeds.describe('s1', 1_200).observedMs, 21);
  assert.deepEqual(speeds.describe('s2', 1_200), { observedMs: 52, observedAgeMs: 100 });
  assert.deepEqual(
    speeds.getReports(1_200).map(({ upstream }) => upstream),
    ['s1'],
  );
});

test('nothing is learned, reported or chosen while the switch is off', () => {
  const speeds = new UpstreamSpeeds();
  speeds.recordCall('s1', 21, 0);
  speeds.receive([{ upstream: 's2', ms: 52, ageMs: 0 }], 0);
  assert.deepEqual(speeds.getReports(0), []);
  assert.equal(
    speeds.chooseServer(
      SERVERS.map((id) => ({ id, inFlight: 0, limit: 1 })),
      0,
    ),
    undefined,
  );
});
