import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '@camphorvane/core';
import { RateFleet, team } from '../support/RateFleet.ts';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];

interface Load {
  readonly team: string;
  readonly hosts: readonly string[];
  readonly tokens: number;
  readonly everyMs: number;
}

interface ChargeResults {
  readonly charged: number[];
  readonly codes: string[];
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((a, b) => a + b, 0);
}

async function ask(
  fleet: RateFleet,
  load: Load,
  host: string,
  results: ChargeResults,
): Promise<void> {
  const res = await fleet.host(host).rates.charge(load.team, load.tokens);
  if (res.isErr()) results.codes.push(res.error.code);
  else results.charged.push(load.tokens);
}

/** Charges at a fixed interval, rotating over the hosts of each load, and collects the results. */
async function run(
  fleet: RateFleet,
  loads: readonly Load[],
  forMs: number,
): Promise<ChargeResults[]> {
  const until = fleet.clock.now() + forMs;
  const tasks = loads.map((load) => {
    const results: ChargeResults = { charged: [], codes: [] };
    const task = async (): Promise<void> => {
      let i = 0;
      while (fleet.clock.now() < until) {
        void ask(fleet, load, load.hosts[i % load.hosts.length] as string, results);
        i += 1;
        await sleep(fleet.clock, load.everyMs);
      }
    };
    void task();
    return results;
  });
  await fleet.clock.advance(forMs + 200);
  return tasks;
}

/** Charges once and describes the result. */
async function chargeOnce(fleet: RateFleet, host: string, tokens: number): Promise<string> {
  const charging = fleet.host(host).rates.charge('t', tokens);
  await fleet.clock.advance(200);
  return (await charging).match(
    () => 'charged',
    (refusal) => `${refusal.code} ${refusal.execution}`,
  );
}

test('callers of one team at one host get the whole rate', async () => {
  // All callers of a team use the same host. With a fixed fraction of the rate per host, five of six
  // requests would be refused.
  const fleet = RateFleet.start(NAMES, [team('t', 1000, 2000)]);
  await fleet.clock.advance(3000);
  const load = { team: 't', hosts: ['c'], tokens: 80, everyMs: 100 };
  const [results] = await run(fleet, [load], 10_000);
  assert.deepEqual(results?.codes, []);
  assert.equal(await chargeOnce(fleet, 'd', 1000), 'charged');
});

test('a team at five times its rate gets its rate and burst and no more', async () => {
  // One team overloads all hosts at once while another stays within its rate.
  const fleet = RateFleet.start(NAMES, [team('t', 1000, 2000), team('u', 1000, 2000)]);
  await fleet.clock.advance(3000);
  const messagesBefore = fleet.messages;
  const loads = [
    { team: 't', hosts: NAMES, tokens: 50, everyMs: 10 },
    { team: 'u', hosts: NAMES, tokens: 50, everyMs: 100 },
  ];
  const [results, other] = await run(fleet, loads, 10_000);
  const received = sum(results?.charged ?? []);
  assert.ok(received <= 1000 * 10.2 + 2000);
  assert.ok(received >= 0.95 * (1000 * 10 + 2000), `received ${received}`);
  assert.deepEqual([...new Set(results?.codes)], ['over_rate']);
  assert.deepEqual(other?.codes, []);
  assert.ok(fleet.messages - messagesBefore < 20_000);
});

test('a group works without the coordinator of a team and later reassigns its share', async () => {
  // The coordinator crashes. Until another host may act as coordinator, each host uses its current
  // grant; the share of the crashed host goes to the others once its grant has certainly expired.
  const fleet = RateFleet.start(NAMES, [team('t', 1000, 2000)]);
  await fleet.clock.advance(3000);
  const load = { team: 't', hosts: NAMES, tokens: 50, everyMs: 100 };
  await run(fleet, [load], 3000);
  const crashed = fleet.coordinatorOf('t');
  const survivors = NAMES.filter((name) => name !== crashed);
  fleet.crash(crashed);
  const [during] = await run(fleet, [{ ...load, hosts: survivors }], 5800);
  fleet.startEpoch(survivors, 200);
  const [after] = await run(fleet, [{ ...load, hosts: survivors }], 12_000);
  const shares = survivors.map((name) => fleet.host(name).rates.dump().t?.share ?? 0);
  assert.deepEqual(during?.codes, []);
  assert.deepEqual(after?.codes, []);
  assert.ok(sum(shares) > 900_000, `${sum(shares)} units`);
});

test('a host that was removed from its group admits nothing', async () => {
  // A partitioned host is removed from the group; the refusal must say that the request did not run.
  const fleet = RateFleet.start(NAMES, [team('t', 1000, 2000)]);
  await fleet.clock.advance(3000);
  fleet.startEpoch(['a', 'b', 'c'], 0);
  assert.equal(await chargeOnce(fleet, 'e', 10), 'share_unavailable not_run');
});

test('a changed rate takes effect at once and keeps the shares', async () => {
  // An operator halves a rate while traffic runs.
  const fleet = RateFleet.start(NAMES, [team('t', 1000, 2000)]);
  await fleet.clock.advance(3000);
  const load = { team: 't', hosts: NAMES, tokens: 50, everyMs: 20 };
  await run(fleet, [load], 6000);
  fleet.setTeams([team('t', 500, 1000)]);
  const [results] = await run(fleet, [load], 10_000);
  const received = sum(results?.charged ?? []);
  assert.ok(received <= 500 * 10.2 + 1000);
  assert.ok(received >= 0.9 * 500 * 10, `received ${received}`);
});

test('the number of messages does not grow with idle teams', async () => {
  // Thousands of teams may be configured of which few are active at any time.
  const idle = Array.from({ length: 500 }, (_, i) => team(`idle${i}`, 1000, 2000));
  const counts = await [[team('t', 1000, 2000)], [team('t', 1000, 2000), ...idle]].reduce(
    async (before, teams) => {
      const seen = await before;
      const fleet = RateFleet.start(NAMES, teams);
      await fleet.clock.advance(10_000);
      const start = fleet.messages;
      await fleet.clock.advance(20_000);
      return [...seen, fleet.messages - start];
    },
    Promise.resolve([] as number[]),
  );
  assert.equal(counts[1], counts[0]);
});
