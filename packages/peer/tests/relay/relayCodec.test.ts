import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decodeRequest,
  encodeFrame,
  encodeRequest,
  FrameReader,
} from '../../src/relay/relayCodec.ts';

// Guards against a stream that is cut at the host that serves it, since its first event has no id.
test('an event before the first position is sent without one', () => {
  const bytes = Buffer.from(': hello\n\n');
  const parts = encodeFrame({ type: 'data', bytes, position: -1 });
  const frames = new FrameReader().push(Buffer.concat(parts));
  assert.deepEqual(frames, [{ type: 'data', bytes }]);
});

/** Encodes the fields of a request as they are. */
function encodeFields(fields: object): Buffer {
  const json = Buffer.from(JSON.stringify(fields));
  const length = Buffer.alloc(4);
  length.writeUInt32BE(json.length);
  return Buffer.concat([length, json]);
}

// Guards against a stream that begins anew at a host of an earlier program, or for one.
test('the position of a take-up passes to and from hosts that have it beside the declared work', () => {
  const target = { key: 'k', host: 'h', method: 'POST', path: '/', headers: {} };
  const context = { from: 'h1', leftMs: 900, ageMs: 20, executions: 1, isCharged: true };
  const work = { promptTokens: 5, maxTokens: 7, parts: [] };
  const earlier = { ...target, work: { ...work, lastPosition: 3 } };
  const decoded = decodeRequest(encodeFields({ id: 'r1', call: earlier, context }));
  assert.deepEqual(decoded?.call, { ...target, work, lastPosition: 3, body: Buffer.alloc(0) });
  const call = { ...target, work, lastPosition: 3, body: Buffer.alloc(0) };
  const sent = Buffer.concat(encodeRequest({ id: 'r1', call, context }));
  const fields = JSON.parse(sent.subarray(4).toString('utf8')) as { readonly call: typeof earlier };
  assert.equal(fields.call.work.lastPosition, 3);
});

const CHUNK_BYTES = 4_096;

const MAX_READ_MS = 2_000;

// Guards against a host that copies a large frame again with each chunk, and answers nobody meanwhile.
test('a large frame in small chunks is read at once', () => {
  const bytes = Buffer.alloc(16 * 1024 * 1024, 'x');
  const sent = Buffer.concat([
    ...encodeFrame({ type: 'data', bytes }),
    ...encodeFrame({ type: 'done' }),
  ]);
  const reader = new FrameReader();
  const startedAt = performance.now();
  const frames = Array.from({ length: Math.ceil(sent.length / CHUNK_BYTES) }, (_, n) =>
    reader.push(sent.subarray(n * CHUNK_BYTES, (n + 1) * CHUNK_BYTES)),
  ).flatMap((read) => read ?? []);
  const tookMs = performance.now() - startedAt;
  assert.deepEqual(
    frames.map(({ type }) => type),
    ['data', 'done'],
  );
  assert.ok(frames[0]?.type === 'data' && bytes.equals(frames[0].bytes));
  assert.ok(tookMs <= MAX_READ_MS, `took ${tookMs.toFixed()} ms`);
});
