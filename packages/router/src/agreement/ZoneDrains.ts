import type { ZoneId } from '@camphorvane/core';
import type { DrainedZones } from '@camphorvane/peer/hints';

/** Zones whose servers get work again, or do not any more. */
export interface DrainChange {
  readonly drained: readonly ZoneId[];
  readonly restored: readonly ZoneId[];
}

/**
 * Knows which availability zones are drained.
 *
 * What the store said last counts, whoever read it: a host whose calls the store turns away goes by what
 * its peers have read.
 */
export class ZoneDrains {
  private newest: DrainedZones = { version: 0, zones: [] };

  /** Tells whether the drained zones were learned at least once. */
  isKnown(): boolean {
    return this.newest.version > 0;
  }

  /** Gets the drained zones, and the version of the store at which they were read. */
  get(): DrainedZones {
    return this.newest;
  }

  /**
   * Takes in what the store said at some version; an older answer that comes late changes nothing.
   *
   * @param read - The drained zones.
   * @returns What has changed by it.
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
