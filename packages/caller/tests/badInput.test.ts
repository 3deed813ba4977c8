import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { TEST_KEY } from './support/FakeBackend.ts';
import { rawExchange, withServer } from './support/withServer.ts';

const BODY = JSON.stringify({ model: 'm', prompt: 'p' });

const SEED = 11;

function post(headers: readonly string[], body: string | Buffer, path = '/v1/completions'): Buffer {
  const head = [
    `POST ${path} HTTP/1.1`,
    'Host: 127.0.0.1',
    'Connection: close',
    ...headers,
    '',
    '',
  ].join('\r\n');
  return Buffer.concat([Buffer.from(head), Buffer.from(body)]);
}

const auth = `Authorization: Bearer ${TEST_KEY}`;

const lengthOf = (body: string | Buffer): string => `Content-Length: ${Buffer.byteLength(body)}`;

const statusOf = (res: string): number => Number(/^HTTP\/1\.1 (\d{3})/.exec(res)?.[1] ?? 0);

test('requests that HTTP parsers could interpret differently are refused', async () => {
  // Request smuggling: if a proxy and this host disagree about where a request ends or which host it is
  // for, the rest of one caller's bytes is parsed as another caller's request.
  await withServer(async (port, backend) => {
    const cases = [
      [lengthOf(BODY), 'Transfer-Encoding: chunked', auth],
      [lengthOf(BODY), lengthOf('longer than that'), auth],
      [lengthOf(BODY), 'Host: elsewhere', auth],
      [lengthOf(BODY), auth, 'Authorization: Bearer cvk_other_key'],
      [lengthOf(BODY), auth, 'X-Bad : space before the colon'],
    ];
    const responses = await Promise.all(
      cases.map((headers) => rawExchange(port, post(headers, BODY))),
    );
    assert.deepEqual(responses.map(statusOf), [400, 400, 400, 400, 400]);
    assert.equal(backend.completions.length, 0);
  });
});

test('a request with its key outside the Authorization header is refused and not forwarded', async () => {
  // A key in the query, another header or the body would leak into an upstream's logs, whose readers
  // could act as the team.
  await withServer(async (port, backend) => {
    const bodyWithKey = JSON.stringify({ model: 'm', prompt: `my key is ${TEST_KEY}` });
    const get = (path: string, header: string): string =>
      `GET ${path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n${auth}\r\n${header}\r\n\r\n`;
    const responses = await Promise.all([
      rawExchange(port, post([auth, lengthOf(bodyWithKey)], bodyWithKey)),
      rawExchange(port, get(`/services/s/find?k=${TEST_KEY}`, 'Accept: */*')),
      rawExchange(port, get('/services/s/find', `X-Api-Key: ${TEST_KEY}`)),
    ]);
    assert.deepEqual(responses.map(statusOf), [400, 400, 400]);
    assert.equal(backend.completions.length + backend.calls.length, 0);
  });
});

test('neither the key nor hop-by-hop headers are forwarded to a plain service', async () => {
  await withServer(async (port, backend) => {
    const request = [
      'GET /services/s/find?lot=7 HTTP/1.1',
      'Host: x',
      'Connection: close, X-Private',
      'X-Private: hop by hop',
      'Cookie: a=b',
      'Accept: text/plain',
      auth,
      '',
      '',
    ].join('\r\n');
    assert.equal(statusOf(await rawExchange(port, request)), 200);
    assert.deepEqual(backend.calls[0]?.headers, { accept: 'text/plain' });
    assert.equal(backend.calls[0]?.path, '/find?lot=7');
  });
});

test('paths that servers normalize differently are refused', async () => {
  await withServer(async (port, backend) => {
    const paths = ['/a/../b', '/a//b', '/a/%2e%2e/b', '/a%2fb', '/a\\b', '/a%00', '/./a'];
    const responses = await Promise.all(
      paths.map((path) =>
        rawExchange(
          port,
          `GET /services/s${path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n${auth}\r\n\r\n`,
        ),
      ),
    );
    assert.deepEqual(
      responses.map(statusOf),
      paths.map(() => 400),
    );
    assert.equal(backend.calls.length, 0);
  });
});

test('bodies that are too large, not UTF-8 or invalid are refused as not run', async () => {
  await withServer(async (port, backend) => {
    const bodies: readonly (string | Buffer)[] = [
      'x'.repeat(5 * 1024 * 1024),
      Buffer.from([0x7b, 0xff, 0xfe, 0x7d]),
      '{"model":"m"}',
      '{"model":"m","prompt":"p","max_tokens":-1}',
      '{"model":"m","prompt":"p","max_tokens":1e99}',
      '{"model":"m","prompt":"p","max_tokens":1.5}',
      '[1,2',
      '',
    ];
    const responses = await Promise.all(
      bodies.map((body) => rawExchange(port, post([auth, lengthOf(body)], body))),
    );
    assert.deepEqual(responses.map(statusOf), [413, 400, 400, 400, 400, 400, 400, 400]);
    responses.forEach((response) => assert.match(response, /"execution":"not_run"/));
    assert.equal(backend.completions.length, 0);
  });
});

test('arbitrary JSON never reaches the backend unvalidated and never crashes the process', async () => {
  await withServer(async (port, backend) => {
    await fc.assert(
      fc.asyncProperty(fc.json(), async (body) => {
        const response = await rawExchange(port, post([auth, lengthOf(body)], body));
        assert.equal(statusOf(response), 400);
      }),
      { seed: SEED, numRuns: 40 },
    );
    assert.equal(backend.completions.length, 0);
    const validResponse = await rawExchange(port, post([auth, lengthOf(BODY)], BODY));
    assert.equal(statusOf(validResponse), 200);
  });
});

test('the server still responds after arbitrary bytes on its socket', async () => {
  await withServer(async (port) => {
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 400 }), async (bytes) => {
        await rawExchange(port, Buffer.concat([Buffer.from(bytes), Buffer.from('\r\n\r\n')]));
      }),
      { seed: SEED, numRuns: 40 },
    );
    const validResponse = await rawExchange(port, post([auth, lengthOf(BODY)], BODY));
    assert.equal(statusOf(validResponse), 200);
  });
});
