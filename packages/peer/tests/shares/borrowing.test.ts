import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateFleet, team } from '../support/RateFleet.ts';

test('a large request is served while the steward of its team is dead', async () => {
  // The steward crashes, and for seconds nobody may move shares. A request larger than what lies at
  // its host would be refused although the team has the tokens.
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const fleet = RateFleet.start(names, [team('t', 1000, 6000)]);
  await fleet.clock.advance(5000);
  const dead = fleet.stewardOf('t');
  fleet.kill(dead);
  const host = names.find((name) => name !== dead) ?? '';
  const charging = fleet.host(host).rates.charge('t', 3000);
  await fleet.clock.advance(200);
  assert.ok((await charging).isOk());
  const more = fleet.host(host).rates.charge('t', 3000);
  await fleet.clock.advance(200);
  assert.equal((await more).isErr(), true);
});
