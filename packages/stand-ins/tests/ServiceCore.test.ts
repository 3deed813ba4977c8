import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '@camphorvane/core';
import type { ServiceCall } from '@camphorvane/upstream';
import { ServiceCore, serviceSettings } from '../src/index.ts';
import { errorOf, valueOf } from './support/results.ts';

const CALL: ServiceCall = {
  attempt: 'a1',
  method: 'POST',
  path: '/certificates',
  headers: { 'idempotency-key': 'batch-7' },
  body: Buffer.from('{"batch":7}'),
  class: 'certificate',
  timeoutMs: 1000,
};
const SIGNAL = new AbortController().signal;

test('a crash after the effect leaves one execution and no answer', async () => {
  // The server crashes after storing the certificate: the caller can't tell whether it exists.
  const clock = new VirtualClock();
  const service = new ServiceCore(serviceSettings({ id: 's1', delayMs: 20 }), clock);
  const call = service.call(CALL, SIGNAL);
  await clock.advance(12);
  service.crash();
  await clock.advance(10);
  assert.equal(errorOf(await call).type, 'broken');
  assert.equal(service.executions('batch-7'), 1);
});

test('a crash before the effect leaves no execution', async () => {
  const clock = new VirtualClock();
  const service = new ServiceCore(serviceSettings({ id: 's1', delayMs: 20 }), clock);
  const call = service.call(CALL, SIGNAL);
  await clock.advance(5);
  service.crash();
  await clock.advance(20);
  assert.ok((await call).isErr());
  assert.equal(service.executions('batch-7'), 0);
});

test('a crossed answer carries the ID of another attempt', async () => {
  // Two answers are swapped: a caller would receive the certificate of another caller.
  const clock = new VirtualClock();
  const service = new ServiceCore(serviceSettings({ id: 's1' }), clock);
  service.setFaults({ crossedStreams: 1 });
  const call = service.call(CALL, SIGNAL);
  await clock.advance(50);
  assert.notEqual(valueOf(await call).headers['x-camphorvane-attempt'], 'a1');
});
