import { GossipFleet } from '../support/GossipFleet.ts';

const SECONDS = 4;
const STEP_MS = 500;
const FLEET_SIZES = [12, 91, 350];

/** Prints what the hosts of a fleet send per second while each serving host places two requests per second. */
async function measure(count: number): Promise<void> {
  const fleet = new GossipFleet(count);
  const load = new Map(
    Array.from({ length: 3 }, (_, i) => [
      `i-${i}`,
      { prefillTokens: 5_000, streams: 2, memoryTokens: 18_000 },
    ]),
  );
  fleet.hosts.forEach((host) => Object.assign(host, { load }));
  await Array.from({ length: (SECONDS * 1_000) / STEP_MS }).reduce<Promise<void>>(
    async (before) => {
      await before;
      fleet.hosts
        .filter((host) => host.roster.isServing(fleet.clock.now()))
        .forEach((host) => host.recordStateChange());
      await fleet.clock.advance(STEP_MS);
    },
    Promise.resolve(),
  );
  fleet.end();
  const mean = (of: 'sent' | 'bytes', hosts: typeof fleet.hosts): number =>
    hosts.reduce((sum, host) => sum + host[of], 0) / hosts.length / SECONDS;
  const relays = fleet.hosts.slice(0, 3);
  const others = fleet.hosts.slice(3);
  process.stdout.write(
    `${count} hosts: a relay sends ${mean('sent', relays).toFixed(0)} datagrams, ` +
      `${(mean('bytes', relays) / 1_000).toFixed(1)} KB a second; another host ` +
      `${mean('sent', others).toFixed(1)}, ${(mean('bytes', others) / 1_000).toFixed(2)} KB\n`,
  );
}

void FLEET_SIZES.reduce<Promise<void>>(async (before, count) => {
  await before;
  await measure(count);
}, Promise.resolve());
