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

class Backend implements OperatorBackend {
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
  backend: new Backend(),
  secrets: ['fleet-secret'],
});

test('without the operators’ credential the port gives nothing and drains nothing', async () => {
  // A caller finds the operators' port and tries the key that works for its requests. It must learn
  // nothing about other teams, and must not be able to take a host out of service.
  const { backend, ...rest } = options();
  const app = operatorApp({ ...rest, backend });
  const wrong = [undefined, 'Bearer', 'Bearer ', 'Bearer cvk_caller', `Basic ${CREDENTIAL}`];
  const answers = wrong.flatMap((authorization) =>
    (['/v1/dump', '/v1/status', '/v1/drain', '/x'] as const).map((path) =>
      app.request(path, {
        method: path === '/v1/drain' ? 'POST' : 'GET',
        headers: authorization === undefined ? {} : { authorization },
      }),
    ),
  );
  const statuses = (await Promise.all(answers)).map((res) => res.status);
  assert.deepEqual([...new Set(statuses)], [401]);
  assert.equal(backend.state, 'serving');
});

test('an empty credential in the settings opens the port to nobody', async () => {
  const app = operatorApp({ ...options(), credential: '' });
  const res = await app.request('/v1/status', { headers: { authorization: 'Bearer ' } });
  assert.equal(res.status, 401);
});

test('a dump shows no key and no credential, wherever a part of the process has put it', () => {
  const shown = redact(
    { a: [{ authorization: 'x' }], 'k cvk_1': 1, b: 'has fleet-secret inside', c: true },
    ['fleet-secret', ''],
  );
  assert.deepEqual(shown, {
    a: [{ authorization: '(not shown)' }],
    '(not shown)': 1,
    b: '(not shown)',
    c: true,
  });
});

test('the commands read a running host, drain it, and tell a refusal from silence', async (t) => {
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
