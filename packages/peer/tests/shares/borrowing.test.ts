import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateFleet, team } from '../support/RateFleet.ts';

test('a large request is charged while the coordinator of its team is down', async () => {
  // After a coordinator crashes, shares can't move for seconds. Without borrowing, a request larger
  // than its host's balance would be refused although the team has the tokens.
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const fleet = RateFleet.start(names, [team('t', 1000, 6000)]);
  await fleet.clock.advance(5000);
  const crashed = fleet.coordinatorOf('t');
  fleet.crash(crashed);
  const host = names.find((name) => name !== crashed) ?? '';
  const charging = fleet.host(host).rates.charge('t', 3000);
  await fleet.clock.advance(200);
  assert.ok((await charging).isOk());
  const second = fleet.host(host).rates.charge('t', 3000);
  await fleet.clock.advance(200);
  assert.equal((await second).isErr(), true);
});
