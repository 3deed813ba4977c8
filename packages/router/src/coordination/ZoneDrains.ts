import type { ZoneId } from '@camphorvane/core';
import type { DrainedZones } from '@camphorvane/peer/hints';

/** Zones that were newly drained or restored. */
export interface DrainChange {
  readonly drained: readonly ZoneId[];
  readonly restored: readonly ZoneId[];
}

/**
 * Tracks which availability zones are drained.
 *
 * The newest version read from the store applies, whichever host read it, so that a host whose calls
 * the store rejects follows its peers.
 */
export class ZoneDrains {
  private newest: DrainedZones = { version: 0, zones: [] };

  /** Tells whether the drained zones were received at least once. */
  isKnown(): boolean {
    return this.newest.version > 0;
  }

  /** Gets the drained zones and the store version at which they were read. */
  get(): DrainedZones {
    return this.newest;
  }

  /**
   * Receives the drained zones at a store version; an older version that arrives late is ignored.
   *
   * @param read - The drained zones and their version.
   * @returns The zones that have changed.
   */
  receive(read: DrainedZones): DrainChange {
    if (read.version <= this.newest.version) return { drained: [], restored: [] };
    const before = this.newest.zones;
    this.newest = read;
    return {
      drained: read.zones.filter((zone) => !before.includes(zone)),
      restored: before.filter((zone) => !read.zones.includes(zone)),
    };
  }
}
