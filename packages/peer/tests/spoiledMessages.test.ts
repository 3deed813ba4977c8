import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeHint, encodeHint } from '../src/hints/HostHint.ts';
import type { HostHint } from '../src/hints/HostHint.ts';
import { decodeDigest } from '../src/hints/HostDigest.ts';
import { decodeOrigins, encodeOrigins } from '../src/origins/originCodec.ts';
import { decodeRequest, encodeFrame, encodeRequest, FrameReader } from '../src/relay/relayCodec.ts';
import type { RelayFrame } from '../src/relay/relayCodec.ts';
import type { RelayedRequest } from '../src/relay/RelayLink.ts';

const RUNS = { seed: 59, numRuns: 4_000 };

const HINT: HostHint = {
  ...{ host: 'h', incarnation: 'i', sequence: 3, leaving: true, serving: true, nextMs: 300 },
  digests: 'often',
  engines: [{ engine: 'e', prefillTokens: 1, streams: 2, memoryTokens: 3 }],
  charged: [['t', 400]],
  demand: [
    {
      ...{ model: 'm', requests: 2, promptTokens: 6_000 },
      ...{ memoryTokens: 7_000, memorySteps: 9, onTimeWaiting: 4 },
    },
  ],
  moves: [{ engine: 'e', role: 'decode', leftMs: 6_000 }],
  ...{ calls: [['orders', 3]], down: ['e2'], versions: { config: 7, servers: 9 } },
  drained: { version: 11, zones: ['a', 'c'] },
  upstreams: [{ type: 'limit', upstream: 's1', requestsPerSecond: 3.1, ageMs: 40 }],
  quotes: [],
};

const REQUEST: RelayedRequest = {
  id: 'r1',
  call: {
    ...{ key: 'k', host: 'h', method: 'POST', path: '/', headers: { a: 'b' }, lastPosition: 3 },
    ...{ resumes: 'r0', body: Buffer.alloc(0) },
    work: { promptTokens: 5, maxTokens: 7, parts: [{ id: 'p', tokens: 5 }] },
  },
  context: {
    ...{ from: 'h1', leftMs: 900, ageMs: 20, executions: 1, isCharged: true, configVersion: 4 },
    binding: { type: 'bound', version: 'v1' },
  },
};

const FRAMES: readonly RelayFrame[] = [
  { type: 'head', status: 200, headers: { a: 'b' }, bodyBytes: 4 },
  { type: 'version', version: { type: 'known', name: 'v1' } },
  { type: 'refused', refusal: { code: 'no_capacity', message: 'x', execution: 'not_run' } },
];

/** Gets the paths to all values of a JSON value. */
function pathsOf(value: unknown, path: readonly string[] = []): readonly (readonly string[])[] {
  if (value === null || typeof value !== 'object') return [path];
  return [path, ...Object.entries(value).flatMap(([key, field]) => pathsOf(field, [...path, key]))];
}

function replaceAt(value: unknown, [key, ...rest]: readonly string[], spoiled: unknown): unknown {
  if (key === undefined) return spoiled;
  const field = replaceAt((value as Record<string, unknown>)[key], rest, spoiled);
  return Array.isArray(value)
    ? value.map((item: unknown, i) => (String(i) === key ? field : item))
    : { ...(value as object), [key]: field };
}

/** Takes the place of a number that JSON can spell and no program can hold. */
const OVERFLOW = '<overflow>';

/** Draws JSON texts that are a sound one but for one value. */
function spoiledTexts(sound: string): fc.Arbitrary<string> {
  const value: unknown = JSON.parse(sound);
  const spoiled = fc.oneof(
    fc.constantFrom<unknown>(
      ...[-1, 0.5, 1e308, OVERFLOW, null, '', [], {}, true, '__proto__', { toString: 1 }],
    ),
    fc.jsonValue(),
  );
  return fc
    .tuple(fc.constantFrom(...pathsOf(value)), spoiled)
    .map(([path, replacement]) =>
      JSON.stringify(replaceAt(value, path, replacement)).replaceAll(`"${OVERFLOW}"`, '1e999'),
    );
}

// Guards against a datagram of a peer over which each host that reads it throws, or that is read as what it is not.
test('a hint with a spoiled value is dropped, or read as one that a host may have sent', () => {
  const check = (text: string): void => {
    const hint = decodeHint(Buffer.from(text));
    if (hint !== undefined) assert.notEqual(decodeHint(encodeHint(hint)), undefined);
    decodeDigest(Buffer.from(text));
  };
  fc.assert(fc.property(spoiledTexts(encodeHint(HINT).toString()), check), RUNS);
});

// Guards against the same in the versions that peers tell of streams.
test('origins with a spoiled value are dropped, or are texts', () => {
  const prefix = encodeOrigins([]).toString().replace('[]', '');
  const sound = encodeOrigins([{ id: 'r1', version: 'v1', pool: 'm' }])
    .toString()
    .slice(prefix.length);
  const check = (text: string): void => {
    const origins = decodeOrigins(Buffer.from(`${prefix}${text}`)) ?? [];
    origins.forEach((origin) =>
      Object.values(origin).forEach((value) => assert.equal(typeof value, 'string')),
    );
  };
  fc.assert(fc.property(spoiledTexts(sound), check), RUNS);
});

/** Encodes the JSON text of the fields of a request. */
function encodeFields(text: string): Buffer {
  const json = Buffer.from(text);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(json.length);
  return Buffer.concat([length, json]);
}

// Guards against a request of a peer over which a host throws, or whose position, work or deadline is no number.
test('a relayed request with a spoiled value is refused, or read as a request', () => {
  const [, fields] = encodeRequest(REQUEST);
  const check = (text: string): void => {
    const read = decodeRequest(encodeFields(text));
    if (read === undefined) return;
    const { call, context } = read;
    const { lastPosition = 0, work, resumes = '', key = '' } = call;
    const texts = [read.id, call.host, call.method, call.path, resumes, key, context.from];
    texts.forEach((one) => assert.equal(typeof one, 'string'));
    Object.values(call.headers).forEach((one) => assert.equal(typeof one, 'string'));
    assert.ok(Number.isInteger(lastPosition) && lastPosition >= -1, `position ${lastPosition}`);
    const { promptTokens = 0, maxTokens = 0, parts = [] } = work ?? {};
    const counts = [
      promptTokens,
      maxTokens,
      context.executions,
      ...parts.map(({ tokens }) => tokens),
    ];
    counts.forEach((one) => assert.ok(Number.isFinite(one) && one >= 0, `count ${one}`));
    assert.ok(Number.isFinite(context.leftMs) && Number.isFinite(context.ageMs));
  };
  fc.assert(fc.property(spoiledTexts(Buffer.from(fields ?? []).toString()), check), RUNS);
});

// Guards against an answer of a peer whose head can't be passed on, or whose refusal has no status.
FRAMES.forEach((frame) =>
  test(`a frame with a spoiled value is malformed, or read as one: ${frame.type}`, () => {
    const [head, fields] = encodeFrame(frame);
    const check = (text: string): void => {
      const json = Buffer.from(text);
      const length = Buffer.from(head ?? []);
      length.writeUInt32BE(json.length, 1);
      const [read] = new FrameReader().push(Buffer.concat([length, json])) ?? [];
      if (read === undefined) return;
      assert.equal(read.type, frame.type);
      if (read.type === 'head') {
        assert.ok(Number.isInteger(read.status) && read.status >= 100 && read.status < 1_000);
        Object.values(read.headers).forEach((one) => assert.equal(typeof one, 'string'));
      }
      if (read.type === 'refused') assert.equal(typeof read.refusal.message, 'string');
      if (read.type === 'version') assert.ok(['known', 'unknown'].includes(read.version.type));
    };
    fc.assert(fc.property(spoiledTexts(Buffer.from(fields ?? []).toString()), check), RUNS);
  }),
);
