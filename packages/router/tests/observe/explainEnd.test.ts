import assert from 'node:assert/strict';
import { test } from 'node:test';
import { explainRequest } from '../../src/observe/explainRequest.ts';

const ACCEPTED = 'h1 {"t":1000,"part":"request","event":"accepted","id":"q"}';
const LOST =
  'h1 {"t":1400,"part":"decode","event":"decode_ended","id":"q","engine":"e1","end":"broken","events":9,"from":0}';
const WHOLE = '"part":"request","event":"answer_ended","id":"q","end":"whole","lastPosition":8';

/** The findings on the end of the answer to request `q`. */
function findingsOf(...lines: readonly string[]): readonly string[] {
  return explainRequest('q', lines)
    .filter((line) => line.trimStart().startsWith('='))
    .map((line) => line.trim().slice(2));
}

// Guards against a timeline that hides that another engine's answer was appended to a stream.
test('the end of an answer tells of an engine that answered a stream with a failure', () => {
  const findings = findingsOf(
    `h1 {"t":1420,${WHOLE},"foreignChunks":1}`,
    'h1 {"t":1410,"part":"decode","event":"decode_ended","id":"q","engine":"e2","end":"answer","events":0,"from":9,"status":500}',
    ACCEPTED,
    LOST,
  );
  assert.deepEqual(findings, [
    "engine e2 answered 500 in place of the stream's rest from event 9 on",
    '1 chunks that are no events followed event 8 at host h1, and the answer ended as whole',
  ]);
});

// Guards against a timeline that hides that the rest of a stream was empty.
test('the end of an answer tells of an engine that closed a taken-up stream at once', () => {
  const findings = findingsOf(
    ACCEPTED,
    LOST,
    'h1 {"t":1410,"part":"decode","event":"decode_ended","id":"q","engine":"e2","end":"done","events":0,"from":9,"endsWithConnection":true}',
    `h1 {"t":1420,${WHOLE}}`,
  );
  assert.deepEqual(findings, [
    'engine e2 ended the stream with no event from event 9 on, by the close of its connection',
  ]);
});

// Guards against a timeline that hides that an engine may have been stopped by an order that was given up.
test('the end of an answer tells of an engine that closed its stream after a failed move', () => {
  const findings = findingsOf(
    ACCEPTED,
    'h1 {"t":1300,"part":"relocation","event":"stream_move_failed","id":"q","from":"e1","to":"e2","failure":"no_response"}',
    'h1 {"t":2500,"part":"relocation","event":"run_ended","id":"q","engine":"e1","end":"done","endsWithConnection":true}',
    `h1 {"t":2501,${WHOLE}}`,
  );
  assert.deepEqual(findings, [
    'engine e1 closed its stream 1200 ms after the move off e1 had failed (no_response): an order to stop it may have been carried out late',
  ]);
});

// Guards against a timeline that hides that the host's process ended before the answer did.
test('the end of an answer tells of a host that stopped, or was killed', () => {
  const stop = 'h1 {"t":1500,"part":"process","event":"stop","host":"h1","cutOff":3}';
  const start = 'h1 {"t":1900,"part":"process","event":"start","host":"h1"}';
  assert.deepEqual(findingsOf(ACCEPTED, stop, start), [
    'host h1 stopped before the answer ended, with 3 requests in flight',
  ]);
  assert.deepEqual(findingsOf(ACCEPTED, start), [
    'host h1 was killed, or ended by itself, before the answer ended, and started again 900 ms after it had accepted the request',
  ]);
});

// Guards against a timeline that hides by which of two hosts an answer was broken off.
test('the end of an answer tells of the peer that served it', () => {
  const findings = findingsOf(
    ACCEPTED,
    'h2 {"t":1002,"part":"request","event":"accepted","id":"q","relayedBy":"h1"}',
    'h2 {"t":1400,"part":"request","event":"answer_ended","id":"q","end":"broken","relayedBy":"h1"}',
    'h1 {"t":1401,"part":"request","event":"answer_ended","id":"q","end":"broken"}',
  );
  assert.deepEqual(findings, ['host h2 served it for its peer h1, and its part ended as broken']);
});

// Guards against findings on requests whose answers ended as they should.
test('the end of a whole answer has no finding', () => {
  assert.deepEqual(findingsOf(ACCEPTED, `h1 {"t":1400,${WHOLE},"foreignChunks":0}`), []);
});

// Guards against a timeline that hides what broke an answer off.
test('the end of a broken answer names its cause', () => {
  const ended = '"part":"request","event":"answer_ended","id":"q","end":"broken"';
  assert.deepEqual(findingsOf(ACCEPTED, `h1 {"t":1400,${ended},"cause":"peer","lastPosition":8}`), [
    'the answer broke off at host h1 after event 8, by the loss of the peer that served it',
  ]);
  const illegal =
    'h1 {"t":1400,"part":"request","event":"answer_illegal","id":"q","fault":"no_end"}';
  assert.deepEqual(findingsOf(ACCEPTED, illegal, `h1 {"t":1400,${ended},"cause":"illegal"}`), [
    'host h1 let an event not pass to the caller: no_end',
    'the answer broke off at host h1, by an event that could not follow, or a fault of the host',
  ]);
});

// Guards against a timeline that shows an answer as whole whose end its caller never got.
test('the end of an answer tells that it was cut before its caller had taken it', () => {
  const findings = findingsOf(
    ACCEPTED,
    `h1 {"t":1420,${WHOLE}}`,
    'h1 {"t":3900,"part":"request","event":"answer_undelivered","id":"q","stage":"stopping"}',
  );
  assert.deepEqual(findings, [
    'the connection closed at host h1 before the caller had taken the end of the answer, while the host stopped',
  ]);
});
