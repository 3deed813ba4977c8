import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ForwardRoute } from '@camphorvane/core';
import { maxAcceptWait } from '../../src/host/maxAcceptWait.ts';

function routesOf(...timeouts: readonly number[]): readonly ForwardRoute[] {
  return timeouts.map((timeoutMs) => ({ timeoutMs }) as ForwardRoute);
}

test('a connection may wait as long as the shortest timeout of all routes', () => {
  assert.equal(maxAcceptWait(routesOf(14_000, 1_200)), 1_200);
  assert.equal(maxAcceptWait([]), Infinity);
});

// Guards against a route with a very short timeout, for which a host would close the connections of all others.
test('a very short timeout does not close connections that have hardly waited', () => {
  assert.equal(maxAcceptWait(routesOf(14_000, 30)), 500);
});
