import type { Clock, RandomSource } from '@camphorvane/core';
import type { SnapshotExchange } from '@camphorvane/peer/snapshots';
import type { ObjectVersion, Snapshot } from '@camphorvane/store';
import { eventLog } from '../observe/EventLog.ts';
import type { Metrics } from '../observe/Metrics.ts';
import type { HostRoster } from './HostRoster.ts';

const log = eventLog('deployment');

/** Peers that are asked for stored objects; with a third of the hosts turned away, one in 700 finds none. */
const MAX_SOURCES = 6;

/** Options of {@link PeerSnapshots}. */
export interface PeerSnapshotsOptions {
  readonly clock: Clock;
  /** Chooses among the peers that are not relays. */
  readonly random: RandomSource;
  readonly roster: HostRoster;
  /** Absent where peers offer no copies. */
  readonly exchange: SnapshotExchange | undefined;
  readonly metrics: Metrics;
}

/** Reads stored objects from peers while the store turns this host away, and offers this host's copies. */
export class PeerSnapshots {
  private readonly options: PeerSnapshotsOptions;

  /** @param options - The roster, the exchange and the metrics. */
  constructor(options: PeerSnapshotsOptions) {
    this.options = options;
  }

  /**
   * Offers copies to the hosts with a record in the store.
   *
   * @param getCopy - Gets this host's copy of a kind.
   */
  start(getCopy: (kind: string) => Snapshot | undefined): void {
    const { exchange, roster } = this.options;
    const isPeer = (ip: string): boolean =>
      roster.getPeerAddresses().some((address) => address.startsWith(`${ip}:`));
    exchange?.setSource({ get: getCopy, isPeer });
  }

  /**
   * Reads a kind from one peer after the other: from the relays, which watch the store, then from others at
   * random, since the store may turn the relays away too.
   *
   * @param kind - The kind.
   * @param wanted - Version at which the search ends.
   * @param known - Version that this host has.
   * @returns The newest copy found; undefined where no peer has a newer one.
   */
  async read(
    kind: string,
    wanted: ObjectVersion,
    known: ObjectVersion,
  ): Promise<Snapshot | undefined> {
    const { clock, random, roster, exchange, metrics } = this.options;
    const addresses = roster.getLivePeerAddresses(clock.now(), random).slice(0, MAX_SOURCES);
    let newest: Snapshot | undefined;
    let asked = 0;
    while (asked < addresses.length && (newest?.version ?? known) < wanted) {
      const copy = await exchange?.fetch(addresses[asked] ?? '', kind, newest?.version ?? known);
      newest = copy ?? newest;
      asked += 1;
    }
    metrics.count('store.read_from_peer', { kind, found: newest === undefined ? 'no' : 'yes' });
    log('read_from_peer', { kind, wanted, version: newest?.version, asked });
    return newest;
  }
}
