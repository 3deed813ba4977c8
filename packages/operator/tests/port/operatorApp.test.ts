import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@camphorvane/core';
import {
  EXIT,
  OperatorServer,
  drainCommand,
  dumpCommand,
  operatorApp,
  redact,
  statusCommand,
  type HostStatus,
  type OperatorBackend,
} from '@camphorvane/operator';

const CREDENTIAL = 'operators-only';

class FakeBackend implements OperatorBackend {
  state: HostStatus['state'] = 'serving';

  dump(): Promise<unknown> {
    const keys = ['cvk_leaked', 'plain'];
    return Promise.resolve({ host: 'h1', peer: { credential: 'x' }, keys, note: 'fleet-secret!' });
  }

  status(): HostStatus {
    return {
      host: 'h1',
      zone: 'a',
      program: '0.1.0',
      state: this.state,
      configVersion: 7,
      configConfirmed: true,
      epoch: 3,
      inFlight: 0,
    };
  }

  drain(): void {
    this.state = 'draining';
  }
}

const options = () => ({
  credential: CREDENTIAL,
  backend: new FakeBackend(),
  secrets: ['fleet-secret'],
});

test('requests without the operator credential are rejected and do not drain the host', async () => {
  // A caller who reaches the operator port with its own key must not learn anything about other teams or
  // be able to drain a host.
  const { backend, ...rest } = options();
  const app = operatorApp({ ...rest, backend });
  const rejectedHeaders = [
    undefined,
    'Bearer',
    'Bearer ',
    'Bearer cvk_caller',
    `Basic ${CREDENTIAL}`,
  ];
  const responses = rejectedHeaders.flatMap((authorization) =>
    (['/v1/dump', '/v1/status', '/v1/drain', '/x'] as const).map((path) =>
      app.request(path, {
        method: path === '/v1/drain' ? 'POST' : 'GET',
        headers: authorization === undefined ? {} : { authorization },
      }),
    ),
  );
  const statuses = (await Promise.all(responses)).map((res) => res.status);
  assert.deepEqual([...new Set(statuses)], [401]);
  assert.equal(backend.state, 'serving');
});

test('an empty credential in the settings rejects every request', async () => {
  const app = operatorApp({ ...options(), credential: '' });
  const res = await app.request('/v1/status', { headers: { authorization: 'Bearer ' } });
  assert.equal(res.status, 401);
});

test('keys and credentials are redacted anywhere in a dump', () => {
  const redacted = redact(
    { a: [{ authorization: 'x' }], 'k cvk_1': 1, b: 'has fleet-secret inside', c: true },
    ['fleet-secret', ''],
  );
  assert.deepEqual(redacted, {
    a: [{ authorization: '(not shown)' }],
    '(not shown)': 1,
    b: '(not shown)',
    c: true,
  });
});

test('the host commands read and drain a host, and distinguish a refusal from an unreachable host', async (t) => {
  const { backend, ...rest } = options();
  const server = new OperatorServer({ ...rest, backend });
  const port = await server.listen({ hostname: '127.0.0.1', port: 0 });
  t.after(() => server.close());
  const clock = new SystemClock();
  const target = { address: `127.0.0.1:${port}`, credential: CREDENTIAL, clock };
  const dump = await dumpCommand(target);
  assert.equal(dump.exitCode, EXIT.ok);
  assert.equal(
    dump.text,
    'host: h1\npeer:\n  credential: (not shown)\nkeys: ["(not shown)","plain"]\nnote: (not shown)',
  );
  assert.equal((await drainCommand(target)).exitCode, EXIT.ok);
  assert.deepEqual((await statusCommand(target)).json, backend.status());
  const refused = await statusCommand({ ...target, credential: 'cvk_caller' });
  assert.equal(refused.exitCode, EXIT.refused);
  await server.close();
  assert.equal((await statusCommand(target)).exitCode, EXIT.unavailable);
});
