import { RandomSource } from '@camphorvane/core';
import type { Millis } from '@camphorvane/core';
import { KindFollower } from '@camphorvane/store';
import type { PlatformError, Snapshot, WatchBatch, WatchableStore } from '@camphorvane/store';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { StorePolling } from '../../src/coordination/StorePolling.ts';
import { GossipFleet } from './GossipFleet.ts';
import type { GossipHost } from './GossipFleet.ts';

const AWAY: PlatformError = { type: 'unavailable', message: 'turned away' };

/** Age of the copy that a cheap read returns, in milliseconds. */
const STALE_MS: Millis = 2_000;

/** Timeouts of the store's client. */
const CALL_TIMEOUT_MS: Millis = 1_200;
const WATCH_TIMEOUT_MARGIN_MS: Millis = 700;

/** Delay of the answers to a host that the store serves slowly, in milliseconds. */
const SLOW_MS: Millis = 1_000;

const WATCH_CHECK_MS: Millis = 20;

/** How the store treats a host. */
export type StoreTreatment = 'serve' | 'refuse' | 'silent' | 'slow';

/** Fleet that follows one kind of a store, which does not serve all of the hosts. */
export class FollowingFleet {
  readonly fleet: GossipFleet;

  readonly followers: ReadonlyMap<GossipHost, KindFollower>;

  /** How the store treats each host; it serves those that are not listed. */
  treatments: ReadonlyMap<GossipHost, StoreTreatment> = new Map();

  private readonly watchMs: Millis;

  /** Versions of the store with the time of their writes. */
  private writes: readonly (readonly [number, Millis])[] = [[1, -STALE_MS]];

  /**
   * @param hosts - Number of hosts.
   * @param watchMs - Longest wait of a watch, in milliseconds.
   */
  constructor(hosts: number, watchMs: Millis = 1_800) {
    this.watchMs = watchMs;
    this.fleet = new GossipFleet(hosts);
    this.followers = new Map(this.fleet.hosts.map((host) => [host, this.follow(host, hosts)]));
  }

  /** Has the store treat hosts in the same way; it serves all others. */
  treat(hosts: readonly GossipHost[], treatment: StoreTreatment): void {
    this.treatments = new Map(hosts.map((host) => [host, treatment]));
  }

  /** Writes a new version to the store; watches see it when they end. */
  write(): void {
    this.writes = [...this.writes, [this.writes.length + 1, this.fleet.clock.now()]];
  }

  countUpToDate(): number {
    const newest = this.writes.length;
    return [...this.followers.values()].filter((one) => one.getCopy()?.version === newest).length;
  }

  private follow(host: GossipHost, hosts: number): KindFollower {
    const { clock } = this.fleet;
    const random = new RandomSource(this.fleet.hosts.indexOf(host));
    const polling = new StorePolling(host.name, clock, random, host.roster);
    const isWatch = (): boolean => hosts <= 9 || host.roster.isRelay(clock.now());
    const follower = new KindFollower({
      ...{ store: this.storeOf(host), kind: 'config', clock, random, watchMs: this.watchMs },
      mode: () => (isWatch() ? 'watch' : 'poll'),
      nextPoll: (isUnavailable) => polling.next(isUnavailable),
      pollFreshness: () => polling.freshness(),
      isUnwatched: () => polling.isUnwatched(),
      readFromPeers: (_kind, wanted, known) => this.readFromPeers(host, random, wanted, known),
      onSync: () => {
        const version = follower.getLastChangeVersion();
        if (version === host.versions.config) return;
        Object.assign(host, { versions: { config: version, servers: 1 } });
        host.recordStateChange();
      },
    });
    Object.assign(host, {
      onVersions: ({ config }: GossipHost['versions']) => {
        follower.receiveVersion(config);
        Object.assign(host, { isWatching: isWatch() && follower.isAvailable() });
        if (polling.hasLostWatchers()) follower.pollNow();
      },
    });
    void follower.run(new AbortController().signal);
    return follower;
  }

  private storeOf(host: GossipHost): WatchableStore {
    const store = {
      snapshot: (_kind: string, freshness: 'newest' | 'any') => this.snapshot(host, freshness),
      watch: (_kind: string, after: number, waitMs: Millis, signal: AbortSignal) =>
        this.watch(host, after, waitMs, signal),
    };
    return store as unknown as WatchableStore;
  }

  private treatmentOf(host: GossipHost): StoreTreatment {
    return this.treatments.get(host) ?? 'serve';
  }

  private snapshot(
    host: GossipHost,
    freshness: 'newest' | 'any',
  ): ResultAsync<Snapshot, PlatformError> {
    const { clock } = this.fleet;
    const read = (): Result<Snapshot, PlatformError> => {
      const until = clock.now() - (freshness === 'any' ? STALE_MS : 0);
      return ok(copyAt(this.writes.filter(([, at]) => at <= until).length));
    };
    const treatment = this.treatmentOf(host);
    switch (treatment) {
      case 'serve':
        return new ResultAsync(Promise.resolve(read()));
      case 'refuse':
        return new ResultAsync(Promise.resolve(err(AWAY)));
      case 'silent':
        return this.after(CALL_TIMEOUT_MS, () => err(AWAY));
      case 'slow':
        return this.after(SLOW_MS, read);
      default:
        return treatment satisfies never;
    }
  }

  private after<T>(ms: Millis, get: () => Result<T, PlatformError>): ResultAsync<T, PlatformError> {
    return new ResultAsync(
      new Promise<Result<T, PlatformError>>((resolve) => {
        this.fleet.clock.after(ms, () => resolve(get()));
      }),
    );
  }

  private watch(
    host: GossipHost,
    after: number,
    waitMs: Millis,
    signal: AbortSignal,
  ): ResultAsync<WatchBatch, PlatformError> {
    const { clock } = this.fleet;
    const timeoutAt = clock.now() + waitMs + WATCH_TIMEOUT_MARGIN_MS;
    return new ResultAsync(
      new Promise<Result<WatchBatch, PlatformError>>((resolve) => {
        const check = (): void => {
          const treatment = this.treatmentOf(host);
          const hasChanged = this.writes.length > after;
          if (treatment === 'refuse' || signal.aborted || clock.now() >= timeoutAt) {
            resolve(err(AWAY));
          } else if (hasChanged && treatment === 'serve') {
            resolve(err({ type: 'invalid', message: '' }));
          } else if (hasChanged && treatment === 'slow') {
            clock.after(SLOW_MS, () => resolve(err({ type: 'invalid', message: '' })));
          } else clock.after(WATCH_CHECK_MS, check);
        };
        clock.after(WATCH_CHECK_MS, check);
      }),
    );
  }

  private async readFromPeers(
    host: GossipHost,
    random: RandomSource,
    wanted: number,
    known: number,
  ): Promise<Snapshot | undefined> {
    const addresses = host.roster.getLivePeerAddresses(this.fleet.clock.now(), random);
    const copies = addresses.slice(0, 6).map((address) => {
      const peer = this.fleet.hosts.find(({ name }) => `${name}:1` === address);
      return peer === undefined ? undefined : this.followers.get(peer)?.getCopy();
    });
    return copies.find((copy) => copy !== undefined && copy.version >= Math.min(wanted, known + 1));
  }
}

function copyAt(version: number): Snapshot {
  return { objects: [{ kind: 'config', name: 'main', version, value: version }], version };
}

/** Gets the hosts that relay and watch, and others up to a third of the fleet. */
export function relaysAndOthers({ hosts }: GossipFleet): readonly GossipHost[] {
  return hosts.slice(0, Math.ceil(hosts.length / 3));
}
