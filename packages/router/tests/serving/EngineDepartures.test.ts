import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RoutingConfig } from '@camphorvane/core';
import { VirtualClock } from '@camphorvane/core';
import { UpstreamDirectory } from '../../src/host/UpstreamDirectory.ts';
import { EngineDepartures } from '../../src/serving/EngineDepartures.ts';

const DRAIN_MS = 2_000;

function createDepartures() {
  const clock = new VirtualClock();
  const directory = new UpstreamDirectory(
    () => ({}) as never,
    () => ({}) as never,
  );
  const list = (ids: readonly string[]): void => {
    const engines = ids.map((id) => ({ id, url: `http://${id}`, zone: 'a', role: 'decode' }));
    const pools = [{ model: 'm', engines }];
    directory.reconfigure({ pools, services: [] } as unknown as RoutingConfig);
  };
  return { clock, list, departures: new EngineDepartures({ clock, directory, drainMs: DRAIN_MS }) };
}

// Guards against streams that go on at an engine later than it takes requests.
test('streams go on at an engine that has left for half of the time in which it takes requests', async () => {
  const { clock, list, departures } = createDepartures();
  list(['a', 'b']);
  departures.observe(['a', 'b']);
  await clock.advance(DRAIN_MS);
  list(['b']);
  departures.observe(['a', 'b']);
  assert.equal(departures.mayGoOnAt('a'), true);
  await clock.advance(DRAIN_MS / 2);
  departures.observe(['a', 'b']);
  assert.equal(departures.mayGoOnAt('a'), true);
  await clock.advance(1);
  assert.equal(departures.mayGoOnAt('a'), false);
  assert.equal(departures.mayGoOnAt('b'), true);
});

test('an engine that is listed again takes streams, and its time begins anew when it leaves', async () => {
  const { clock, list, departures } = createDepartures();
  list([]);
  departures.observe(['a']);
  await clock.advance(DRAIN_MS);
  assert.equal(departures.mayGoOnAt('a'), false);
  list(['a']);
  departures.observe(['a']);
  assert.equal(departures.mayGoOnAt('a'), true);
  list([]);
  departures.observe(['a']);
  assert.equal(departures.mayGoOnAt('a'), true);
});
