import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CrashSuspects } from '@camphorvane/decisions';
import type { CrashAdmission } from '@camphorvane/decisions';
import * as fc from 'fast-check';

const OPTIONS = { minUpstreams: 3, certainCrashes: 3, confirmMs: 1_000 };

/** Records that requests with traits were running on an upstream when it crashed. */
function crash(
  suspects: CrashSuspects,
  upstream: string,
  at: number,
  traits: readonly string[],
): void {
  traits.forEach((digest) => suspects.recordCrash({ digest, upstream, ageMs: 0 }, at));
}

/** Has requests with the same traits crash an upstream each, two seconds apart. */
function crashes(suspects: CrashSuspects, count: number, traits: readonly string[]): number {
  Array.from({ length: count }, (_, n) => crash(suspects, `u${n}`, n * 2_000, traits));
  return count * 2_000;
}

function admit(
  suspects: CrashSuspects,
  id: string,
  traits: readonly string[],
  now: number,
): CrashAdmission['type'] {
  return suspects.admit({ id, traits }, now).type;
}

// Guards against requests that are all different and crash upstreams by a part that they share.
test('a part of six crashed requests blocks others that have it', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 6, ['+bad']);
  assert.equal(admit(suspects, 'r1', ['one', '+bad'], now), 'blocked');
  assert.equal(admit(suspects, 'r2', ['two', '+other'], now), 'clear');
});

// Guards against sound requests that are refused for a part which all requests have, the crashing ones too.
test('a complete answer to a request without the culprit clears the other parts', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 6, ['+common', '+bad']);
  suspects.recordAnswer('+common', 6_500);
  assert.equal(admit(suspects, 'r1', ['+common'], now), 'clear');
  assert.equal(admit(suspects, 'r2', ['+common', '+bad'], now), 'blocked');
});

// Guards against a part that stays blocked since nothing with it runs any more that could clear it.
test('of parts that were never seen apart, requests that lack one are let through, after a crash one at a time', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 6, ['+common', '+bad']);
  assert.equal(admit(suspects, 'r0', ['+common', '+bad'], now), 'blocked');
  assert.equal(admit(suspects, 'r1', ['+common'], now), 'trial');
  assert.equal(admit(suspects, 'r2', ['+common'], now), 'trial');
  suspects.endTrial('r1', { state: 'failed', upstream: 'elsewhere' }, now + 100);
  suspects.endTrial('r2', { state: 'ended' }, now + 100);
  assert.equal(admit(suspects, 'r3', ['+common'], now + 1_500), 'trial');
  assert.equal(admit(suspects, 'r3', ['+common'], now + 1_500), 'trial');
  assert.equal(admit(suspects, 'r4', ['+common'], now + 1_500), 'blocked');
  suspects.recordAnswer('+common', now + 2_000);
  suspects.endTrial('r3', { state: 'ended' }, now + 2_000);
  assert.equal(admit(suspects, 'r5', ['+common'], now + 2_000), 'clear');
  assert.equal(admit(suspects, 'r6', ['+common', '+bad'], now + 2_000), 'blocked');
});

// Guards against parts that many requests have and that are blocked for ten minutes on thin evidence.
test('a part whose crashes a part of others may explain is blocked by two trials that crash upstreams', () => {
  const suspects = new CrashSuspects(OPTIONS);
  [...Array(4).keys()].forEach((n) => crash(suspects, `u${n}`, n * 2_000, ['+bad', '+beside']));
  const now = 8_000;
  [0, 1].forEach((n) => {
    const at = now + n * 2_000;
    assert.equal(admit(suspects, `r${n}`, [`one${n}`, '+bad'], at), 'trial');
    const others = n === 0 ? 'trial' : 'blocked';
    assert.equal(admit(suspects, `other${n}`, ['other', '+bad'], at), others);
    suspects.endTrial(`other${n}`, { state: 'ended' }, at);
    crash(suspects, `t${n}`, at + 50, [`one${n}`, '+bad']);
    suspects.endTrial(`r${n}`, { state: 'failed', upstream: `t${n}` }, at + 50);
  });
  assert.equal(admit(suspects, 'r', ['last', '+bad'], now + 10_000), 'blocked');
});

// Guards against one crash that counts as many failed trials, since many requests were let through at once.
test('requests that run on an upstream when it crashes fail one trial together', () => {
  const suspects = new CrashSuspects(OPTIONS);
  [...Array(4).keys()].forEach((n) => crash(suspects, `u${n}`, n * 2_000, ['+popular', '+beside']));
  ['r1', 'r2', 'r3'].forEach((id) =>
    assert.equal(admit(suspects, id, ['+popular'], 8_000), 'trial'),
  );
  ['r1', 'r2', 'r3'].forEach((id) =>
    suspects.endTrial(id, { state: 'failed', upstream: 't' }, 8_100),
  );
  assert.equal(admit(suspects, 'r4', ['+popular'], 9_500), 'trial');
});

/** Has a request on trial crash an upstream. */
function failTrial(
  suspects: CrashSuspects,
  id: string,
  traits: readonly string[],
  at: number,
): void {
  assert.equal(admit(suspects, id, traits, at), 'trial');
  crash(suspects, `by ${id}`, at + 50, traits);
  suspects.endTrial(id, { state: 'failed', upstream: `by ${id}` }, at + 50);
}

// Guards against sound parts that are blocked at once when upstreams crash again, for what an answer had cleared them of.
test('a failed trial counts no more once the parts that were tried have been answered', () => {
  const suspects = new CrashSuspects(OPTIONS);
  failTrial(suspects, 'r1', ['+popular'], crashes(suspects, 4, ['+popular', '+beside']));
  ['+popular', '+beside'].forEach((digest) => suspects.recordAnswer(digest, 9_000));
  [...Array(4).keys()].forEach((n) =>
    crash(suspects, `v${n}`, 10_000 + n * 2_000, ['+popular', '+beside']),
  );
  failTrial(suspects, 'r2', ['+popular'], 18_000);
  assert.equal(admit(suspects, 'r3', ['+popular'], 19_500), 'trial');
});

// Guards against sound parts that are blocked since requests with another part, not yet suspected, were tried.
test('a trial shows nothing where a part that was never answered ran beside those that were tried', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 4, ['+popular', '+beside']);
  [0, 1, 2].forEach(() => suspects.recordArrival(['+popular', '+new', '+beside'], now));
  failTrial(suspects, 'r1', ['+popular', '+new'], now);
  failTrial(suspects, 'r2', ['+popular'], now + 2_000);
  assert.equal(admit(suspects, 'r3', ['+popular'], now + 4_000), 'trial');
});

// Guards against sound parts that are blocked for a minute, since several engines crash one after the other by rare culprits.
test('trials that fail amid other crashes, where another part may be the cause, block for ten seconds only', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 4, ['+popular', '+beside']);
  ['r1', 'r2', 'r3'].forEach((id) => assert.equal(admit(suspects, id, ['+popular'], now), 'trial'));
  ['r1', 'r2', 'r3'].forEach((id) => {
    crash(suspects, `by ${id}`, now + 50, ['+popular', '+rare']);
    suspects.endTrial(id, { state: 'failed', upstream: `by ${id}` }, now + 50);
  });
  assert.equal(admit(suspects, 'r4', ['+popular'], now + 9_500), 'blocked');
  assert.equal(admit(suspects, 'r5', ['+popular'], now + 10_500), 'trial');
});

// Guards against parts of all sound requests that are blocked for ten minutes, since engines crash by several causes at once.
test('a part that callers ask for far more often than for a suspect is blocked for ten seconds by failed trials', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 4, ['+popular', '+beside', '+rare']);
  const arrive = (at: number): void =>
    [...Array(9).keys()].forEach(() => suspects.recordArrival(['+popular', '+beside'], at));
  arrive(now);
  const ids = ['r1', 'r2', 'r3', 'r4'];
  ids.forEach((id) => assert.equal(admit(suspects, id, ['+popular'], now), 'clear'));
  suspects.recordArrival(['+rare'], now);
  [...Array(5).keys()].forEach((n) =>
    crash(suspects, `v${n}`, now + n * 10, ['+popular', '+beside']),
  );
  ids.forEach((id) => assert.equal(admit(suspects, id, ['+popular'], now + 1_100), 'trial'));
  ids.forEach((id) => {
    crash(suspects, `by ${id}`, now + 1_200, ['+popular']);
    suspects.endTrial(id, { state: 'failed', upstream: `by ${id}` }, now + 1_200);
  });
  assert.equal(admit(suspects, 'r5', ['+popular'], now + 9_500), 'blocked');
  arrive(now + 13_000);
  assert.equal(admit(suspects, 'r6', ['+popular'], now + 13_000), 'trial');
});

// Guards against a block that begins again each time that a host reports the failed trial which began it.
test('a failed trial that is reported late is the one that is known', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 4, ['+popular', '+beside']);
  failTrial(suspects, 'r1', ['+popular'], now);
  const reports = suspects.getTrialReports(now + 100);
  reports.forEach((report) => suspects.receiveTrial(report, now + 4_000));
  assert.equal(suspects.getTrialReports(now + 4_000).length, 1);
});

// Guards against trials of the culprit that go on without an end.
test('a trial that crashes its upstream shows which part is the culprit', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 4, ['+common', '+bad']);
  const tried = [0, 1, 2, 3].filter((n) => {
    const at = now + n * 3_000;
    if (admit(suspects, `r${n}`, ['+bad'], at) !== 'trial') return false;
    crash(suspects, `t${n}`, at + 50, ['+bad']);
    suspects.endTrial(`r${n}`, { state: 'failed', upstream: `t${n}` }, at + 50);
    return true;
  });
  assert.ok(tried.length <= 2, `${tried.length} trials`);
  assert.equal(admit(suspects, 's', ['+common'], now + 20_000), 'clear');
});

// Guards against a second culprit that hides behind a part which has the crashes of both.
test('each of two culprits beside the same sound part is blocked, and requests without them are tried', () => {
  const suspects = new CrashSuspects(OPTIONS);
  [...Array(12).keys()].forEach((n) =>
    crash(suspects, `u${n}`, n * 1_000, ['+common', n % 2 === 0 ? '+bad' : '+worse']),
  );
  assert.equal(admit(suspects, 'r1', ['+common', '+bad'], 14_000), 'blocked');
  assert.equal(admit(suspects, 'r2', ['+common', '+worse'], 14_000), 'blocked');
  assert.equal(admit(suspects, 'r3', ['+common'], 14_000), 'trial');
});

// Guards against all requests with a popular part being refused for ten minutes after upstreams have crashed together.
test('crashes of many upstreams at once block no part', () => {
  const suspects = new CrashSuspects(OPTIONS);
  [...Array(10).keys()].forEach((n) => crash(suspects, `u${n}`, n * 20, ['+new']));
  assert.equal(admit(suspects, 'r1', ['+new'], 5_000), 'trial');
  suspects.recordAnswer('+popular', 0);
  [...Array(10).keys()].forEach((n) => crash(suspects, `u${n}`, 1_000 + n * 20, ['+popular']));
  assert.equal(admit(suspects, 'r2', ['+popular'], 5_000), 'clear');
});

// Guards against sound requests that are refused for their parts beside one request that crashes upstreams again and again.
test('a request that is repeated explains the crashes of the parts that ran beside it', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 4, ['repeated', '+common', '+other']);
  [...Array(6).keys()].forEach(() => suspects.recordArrival(['one', '+common', '+other'], now));
  assert.equal(admit(suspects, 'r1', ['one', '+common', '+other'], now), 'clear');
  assert.equal(admit(suspects, 'r2', ['repeated'], now), 'blocked');
});

// Guards against sound parts, not yet answered, that are blocked beside requests which come again and crash three engines each.
test('a request that comes again and again explains crashes from its third one on', () => {
  const suspects = new CrashSuspects(OPTIONS);
  crashes(suspects, 3, ['repeated', '+common']);
  [3, 4].forEach((n) => crash(suspects, `v${n}`, n * 2_000, ['+common']));
  assert.equal(admit(suspects, 'r1', ['one', '+common'], 10_000), 'blocked');
  [0, 1, 2].forEach(() => suspects.recordArrival(['repeated'], 10_000));
  assert.equal(admit(suspects, 'r1', ['one', '+common'], 10_000), 'trial');
});

// Guards against two requests that come again and again, each of which excuses the other.
test('a request that comes again explains no more crashes of another one than it has itself', () => {
  const suspects = new CrashSuspects(OPTIONS);
  crashes(suspects, 2, ['one', 'other']);
  crash(suspects, 'v', 5_000, ['other']);
  crash(suspects, 'w', 6_000, ['one']);
  crash(suspects, 'x', 7_000, ['other']);
  [...Array(6).keys()].forEach(() => suspects.recordArrival(['one'], 8_000));
  [...Array(6).keys()].forEach(() => suspects.recordArrival(['other'], 8_000));
  assert.equal(admit(suspects, 'r1', ['other'], 8_500), 'blocked');
});

// Guards against sound parts, not yet answered, that are blocked by a zone that loses power and one crash more.
test('a part is blocked without a trial by three series of crashes only', () => {
  const suspects = new CrashSuspects(OPTIONS);
  [0, 10, 20, 2_000].forEach((at, n) => crash(suspects, `u${n}`, at, ['+common']));
  assert.equal(admit(suspects, 'r1', ['one', '+common'], 3_500), 'trial');
  crash(suspects, 'u4', 4_000, ['+common']);
  assert.equal(admit(suspects, 'r2', ['two', '+common'], 5_500), 'blocked');
});

// Guards against parts of rare sound requests that are refused beside a request which comes more often than they do.
test('a request that is repeated more often than others ask for a part explains its crashes', () => {
  const suspects = new CrashSuspects(OPTIONS);
  const now = crashes(suspects, 4, ['repeated', '+common']);
  crash(suspects, 'v', 1_000, ['repeated']);
  [...Array(9).keys()].forEach(() => suspects.recordArrival(['repeated'], now));
  assert.equal(admit(suspects, 'r1', ['one', '+common'], now), 'clear');
});

// Guards against a part that hides behind requests with it which are sent several times each.
test('a part is blocked although each request with it was repeated', () => {
  const suspects = new CrashSuspects(OPTIONS);
  [...Array(9).keys()].forEach((n) =>
    crash(suspects, `u${n}`, n * 1_000, [`request${Math.floor(n / 3)}`, '+bad']),
  );
  assert.notEqual(admit(suspects, 'r1', ['other', '+bad'], 11_000), 'clear');
});

// Guards against ten minutes after which each host lets requests with the culprit through.
test('after its block one request with a part is let through, over all hosts that hear of it', () => {
  const [one, other] = [new CrashSuspects(OPTIONS), new CrashSuspects(OPTIONS)];
  const now = crashes(one, 6, ['+bad']) + 600_000;
  crashes(other, 6, ['+bad']);
  assert.equal(admit(one, 'r1', ['+bad'], now), 'trial');
  const { trials = [] } = one.getReports(now, 'peers');
  trials.forEach((report) => other.receiveTrial(report, now + 100));
  assert.equal(admit(other, 'r2', ['+bad'], now + 100), 'blocked');
  crash(one, 't', now + 200, ['+bad']);
  one.endTrial('r1', { state: 'failed', upstream: 't' }, now + 200);
  assert.equal(admit(one, 'r3', ['+bad'], now + 10_000), 'blocked');
});

// Guards against an answer that only one host has seen.
test('a host tells what it has answered once a peer reports a crash with it', () => {
  const [one, other] = [new CrashSuspects(OPTIONS), new CrashSuspects(OPTIONS)];
  one.recordAnswer('+rare', 0);
  crashes(other, 4, ['+rare', '+bad']);
  const { crashes: reports } = other.getReports(8_000, 'peers');
  reports.forEach((report) => one.recordCrash(report, 8_000, 'peer'));
  const { answers } = one.getReports(8_000, 'peers');
  assert.deepEqual(answers, [{ digest: '+rare', ageMs: 8_000 }]);
  answers.forEach(({ digest, ageMs }) => other.recordAnswer(digest, 8_000, ageMs));
  assert.equal(admit(other, 'r', ['+rare'], 8_000), 'clear');
});

// Guards against a culprit that escapes, or sound parts that are held back, by what happens to run beside it.
test('among random bystanders whose parts are answered, the culprit alone is blocked', () => {
  const part = fc.nat(12).map((n) => `+p${n}`);
  const engines = fc.array(fc.array(part, { maxLength: 20 }), { minLength: 6, maxLength: 12 });
  fc.assert(
    fc.property(engines, (beside) => {
      const suspects = new CrashSuspects(OPTIONS);
      beside.forEach((parts, n) => {
        crash(suspects, `u${n}`, n * 1_500, [...new Set(parts), '+bad']);
        new Set(parts).forEach((digest) => suspects.recordAnswer(digest, n * 1_500 + 700));
      });
      const now = beside.length * 1_500;
      assert.equal(admit(suspects, 'bad', ['+p0', '+bad'], now), 'blocked');
      const held = [...Array(13).keys()].filter(
        (n) => admit(suspects, `s${n}`, [`+p${n}`], now) === 'blocked',
      );
      assert.deepEqual(held, []);
    }),
  );
});
