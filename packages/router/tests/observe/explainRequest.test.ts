import assert from 'node:assert/strict';
import { test } from 'node:test';
import { explainRequest } from '../../src/observe/explainRequest.ts';

const LINES = [
  'h1 {"t":1000,"part":"deployment","event":"store_lost","kind":"config","reason":"reset"}',
  'h1 {"t":1500,"part":"request","event":"accepted","id":"r1","version":7}',
  'h1 {"t":1700,"part":"attempt","event":"attempt_failed","id":"r1","engine":"e1","dispatched":true}',
  'h2 {"t":1600,"part":"request","event":"accepted","id":"r2","version":7}',
  'h2 {"t":1650,"part":"deployment","event":"store_lost","kind":"config","reason":"reset"}',
  'h1 {"t":1710,"part":"request","event":"refused","id":"r1","code":"upstream_failed"}',
  'h1 {"t":17',
  'a line of something else',
];

test('the timeline of a request has its own events and the state events of its host', () => {
  const timeline = explainRequest('r1', [...LINES].reverse());
  assert.equal(timeline.length, 4);
  assert.match(timeline[0] ?? '', /-500 ms \* h1 deployment\.store_lost/);
  assert.match(timeline[3] ?? '', /210 ms {3}h1 request\.refused code=upstream_failed/);
});

test('the timeline of an unknown request is empty', () => {
  assert.deepEqual(explainRequest('r9', LINES), []);
});

// Guards against a refused request whose timeline doesn't show that servers have asked for fewer requests.
test('the timeline of a request shows its attempts and what servers ask for', () => {
  const timeline = explainRequest('r1', [
    'h1 {"t":900,"part":"upstreams","event":"limit_named","server":"s1","value":2,"ageMs":0}',
    'h1 {"t":1000,"part":"request","event":"accepted","id":"r1"}',
    'h1 {"t":1001,"part":"service","event":"no_server_open","id":"r1.0","asked":"s1: limit 2/s"}',
    'h1 {"t":1002,"part":"request","event":"refused","id":"r1","retryAfterMs":400}',
  ]);
  assert.match(timeline[0] ?? '', /-100 ms \* h1 upstreams\.limit_named server=s1 value=2/);
  assert.match(timeline[2] ?? '', /1 ms {3}h1 service\.no_server_open asked=s1: limit 2\/s/);
});

// Guards against a quarantined request whose timeline doesn't show which crashes it is refused for.
test('the timeline of a request shows the crashes under other requests with its content', () => {
  const timeline = explainRequest('r9', [
    'h2 {"t":1000,"part":"crashes","event":"crash_recorded","id":"r1","digest":"ab","server":"e1"}',
    'h3 {"t":1200,"part":"crashes","event":"crash_recorded","id":"r2","digest":"cd","server":"e1"}',
    'h1 {"t":9000,"part":"request","event":"accepted","id":"r9"}',
    'h1 {"t":9001,"part":"crashes","event":"request_blocked","id":"r9","digest":"ab","crashes":3}',
    'h1 {"t":9002,"part":"request","event":"refused","id":"r9","code":"suspected_crasher"}',
    'h2 {"t":9500,"part":"crashes","event":"request_blocked","id":"r10","digest":"ab","crashes":3}',
  ]);
  assert.equal(timeline.length, 4);
  assert.match(timeline[0] ?? '', /-8000 ms \* h2 crashes\.crash_recorded digest=ab server=e1/);
});

// Guards against a request that is refused for a part of its prompt, and whose timeline shows no crash.
test('the timeline of a request shows the crashes under requests with the part it is refused for', () => {
  const timeline = explainRequest('r9', [
    'h2 {"t":1000,"part":"crashes","event":"crash_recorded","id":"r1","digest":"+p","server":"e1"}',
    'h3 {"t":1200,"part":"crashes","event":"crash_recorded","id":"r2","digest":"cd","server":"e1"}',
    'h2 {"t":1500,"part":"crashes","event":"trial_started","id":"r3","digest":"ef","traits":"+o,+p"}',
    'h1 {"t":9000,"part":"request","event":"accepted","id":"r9"}',
    'h1 {"t":9001,"part":"crashes","event":"request_blocked","id":"r9","digest":"ab","trait":"+p"}',
  ]);
  assert.equal(timeline.length, 4);
  assert.match(timeline[0] ?? '', /-8000 ms \* h2 crashes\.crash_recorded digest=\+p server=e1/);
  assert.match(timeline[1] ?? '', /h2 crashes\.trial_started/);
});

// Guards against a timeline that hides why a request was served by way of another host, or that it was.
test('the timeline of a request that went over a peer shows both hosts, and which links were lost', () => {
  const lines = [
    'h1 {"t":900,"part":"reach","event":"upstreams_lost","service":"api","route":"relayed"}',
    'h1 {"t":1000,"part":"request","event":"accepted","id":"q"}',
    'h1 {"t":1001,"part":"relay","event":"relayed","id":"q","to":"h2"}',
    'h2 {"t":1003,"part":"request","event":"accepted","id":"q","relayedBy":"h1"}',
    'h2 {"t":1040,"part":"request","event":"whole","id":"q"}',
    'h1 {"t":1042,"part":"request","event":"whole","id":"q"}',
  ];
  assert.deepEqual(
    explainRequest('q', lines).map((line) => line.trim().split(/ +/).slice(2).join(' ')),
    [
      '* h1 reach.upstreams_lost service=api route=relayed',
      'h1 request.accepted',
      'h1 relay.relayed to=h2',
      'h2 request.accepted relayedBy=h1',
      'h2 request.whole',
      'h1 request.whole',
    ],
  );
});

// Guards against a refused take-up whose timeline doesn't show which versions served and what was known of the stream.
test('the timeline of a stream that is taken up shows how its version was known', () => {
  const timeline = explainRequest('r2', [
    'h1 {"t":900,"part":"versions","event":"versions_serving","model":"m","versions":2}',
    'h1 {"t":1000,"part":"versions","event":"stream_taken_up","id":"r2","resumed":"r1","outcome":"unknown"}',
    'h1 {"t":1001,"part":"request","event":"refused","id":"r2","code":"stream_version_unknown"}',
  ]);
  assert.equal(timeline.length, 3);
  assert.match(timeline[0] ?? '', /\* h1 versions\.versions_serving model=m versions=2/);
  assert.match(timeline[1] ?? '', /stream_taken_up resumed=r1 outcome=unknown/);
});
