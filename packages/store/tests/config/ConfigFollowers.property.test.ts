import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource, VirtualClock } from '@camphorvane/core';
import { ConfigFollower, configDigest, type ConfigPeers } from '@camphorvane/store';
import { MemoryObjectStore } from '@camphorvane/stand-ins';
import fc from 'fast-check';
import { advanceUntilSettled } from '../support/advanceUntilSettled.ts';
import { configOf, publish, team } from '../support/publish.ts';

type Event = 'change' | 'down' | 'up' | 'slow' | 'fast' | 'restart';

const EVENTS: readonly Event[] = ['change', 'change', 'down', 'up', 'slow', 'fast', 'restart'];

const HOSTS = 4;

const ACTIVE_WITHIN_MS = 6000;

interface Activation {
  readonly version: number;
  readonly before: number;
  readonly digest: string;
}

/** Hosts that relay the configuration to each other during platform outages and host restarts. */
class Fleet {
  readonly clock = new VirtualClock();

  private readonly store = new MemoryObjectStore(this.clock);

  private readonly accepted = new Map<number, string>();

  private readonly activations: Activation[] = [];

  private hosts: readonly ConfigFollower[] = [];

  private starts = 0;

  private newest = 0;

  async start(): Promise<void> {
    await this.change();
    this.hosts = Array.from({ length: HOSTS }, () => this.startHost());
    await this.clock.advance(1000);
  }

  async apply(event: Event, host: number): Promise<void> {
    if (event === 'change') await this.change();
    else if (event === 'restart') await this.restart(host);
    else if (event === 'down' || event === 'up') this.store.setFaults({ down: event === 'down' });
    else this.store.setFaults({ delayMs: event === 'slow' ? 700 : 3 });
  }

  /** Ends all faults, after which every host must have the newest version in time. */
  async heal(): Promise<void> {
    this.store.setFaults({ down: false, delayMs: 3 });
    await this.clock.advance(ACTIVE_WITHIN_MS);
    const states = this.hosts.map((host) => [host.current()?.version, host.isConfirmed()]);
    assert.deepEqual(states, Array(HOSTS).fill([this.newest, true]));
    await advanceUntilSettled(this.clock, Promise.all(this.hosts.map((host) => host.stop())));
    this.activations.forEach(({ version, before, digest }) => {
      assert.ok(version > before, `version ${version} became active after ${before}`);
      assert.equal(digest, this.accepted.get(version));
    });
  }

  private async change(): Promise<void> {
    if (this.store.faults.down) return;
    const config = configOf(team('a', [`d${this.newest}`]), team('b'));
    const root = await publish(this.clock, this.store, config);
    this.accepted.set(root.version, configDigest(config));
    this.newest = root.version;
  }

  private async restart(index: number): Promise<void> {
    await advanceUntilSettled(this.clock, this.hosts[index]!.stop());
    this.hosts = this.hosts.map((host, i) => (i === index ? this.startHost() : host));
  }

  private startHost(): ConfigFollower {
    this.starts += 1;
    const random = new RandomSource(this.starts);
    const host = new ConfigFollower({
      store: this.store,
      clock: this.clock,
      random,
      peers: this.peers(),
    });
    host.onChange(({ version, config }, before) => {
      this.activations.push({
        version,
        before: before?.version ?? 0,
        digest: configDigest(config),
      });
    });
    host.start();
    return host;
  }

  private peers(): ConfigPeers {
    const roots = () => this.hosts.map((host) => host.root()).filter((root) => root !== undefined);
    return {
      newestRoot: () => Promise.resolve(roots().sort((a, b) => b.version - a.version)[0]),
      chunk: (digest) =>
        Promise.resolve(this.hosts.map((host) => host.chunk(digest)).find((text) => text)),
    };
  }
}

test('despite outages, delays and restarts no host rolls back and all catch up within seconds', async () => {
  // Changes are accepted during platform outages and host restarts. The failures would be a withdrawn
  // key that works again, or a change that one host never gets.
  const plan = fc.array(
    fc.record({
      event: fc.constantFrom(...EVENTS),
      host: fc.nat(HOSTS - 1),
      gap: fc.nat(4000),
    }),
    { maxLength: 20 },
  );
  await fc.assert(
    fc.asyncProperty(plan, async (steps) => {
      const fleet = new Fleet();
      await fleet.start();
      await steps.reduce(async (before, { event, host, gap }) => {
        await before;
        await fleet.apply(event, host);
        await fleet.clock.advance(gap);
      }, Promise.resolve());
      await fleet.heal();
    }),
    { seed: 9, numRuns: 60 },
  );
});
