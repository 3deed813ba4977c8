import type { Snapshot } from '@camphorvane/store';

/** What a host offers its peers. */
export interface SnapshotSource {
  /** Gets this host's copy of a kind; undefined before there is one. */
  readonly get: (kind: string) => Snapshot | undefined;
  /** Tells whether an IP address belongs to a host of the fleet; others get nothing. */
  readonly isPeer: (ip: string) => boolean;
}

/** Lets hosts that the store turns away read the stored objects from their peers. */
export interface SnapshotExchange {
  /** Sets what this host offers its peers. */
  setSource(source: SnapshotSource): void;

  /**
   * Reads a peer's copy of a kind.
   *
   * @param address - Address (`ip:port`) of the peer.
   * @param kind - The kind.
   * @param newerThan - Version that this host has; an older or equal copy is not sent.
   * @returns The copy; undefined where the peer does not answer in time or has no newer one.
   */
  fetch(address: string, kind: string, newerThan: number): Promise<Snapshot | undefined>;
}
