import type { HostId, Millis } from '@camphorvane/core';
import { wordPace } from '@camphorvane/decisions';
import type { GroupMate } from '../host/ports.ts';
import type { HostRecord } from './hostRecord.ts';

/** Milliseconds without a hint before which a host is recommended to callers in any fleet. */
const LEAST_SILENT_MS: Millis = 1_200;

/**
 * Periods of its heartbeat in the store, while the store was there, after which a host's part of the
 * rates is dealt out again. Long on purpose: a host that is only cut off still uses its part.
 */
const RECORD_LIVES = 7;

/** Most time that one reading of the records counts for; the rest was an outage of the store. */
const LONGEST_ROUND_MS: Millis = 5_000;

interface SeenRecord {
  readonly record: HostRecord;
  readonly version: number;
  /** Time of the store's answers that passed since the record last changed. */
  readonly ageMs: Millis;
}

/**
 * Knows the hosts of the fleet: by their records in the store, and by what they say of themselves.
 *
 * The records tell who shares the rates, and change slowly; hints tell within a second who can take
 * callers. Time counts against a record only while the store answers, so that an outage of the store
 * makes nobody look dead.
 */
export class HostRoster {
  private readonly self: HostId;

  private records: ReadonlyMap<HostId, SeenRecord> = new Map();

  private readonly heardAt = new Map<HostId, Millis>();

  private readonly saysLeaving = new Map<HostId, boolean>();

  private lastRoundAt: Millis | undefined;

  /** @param self - This host. */
  constructor(self: HostId) {
    this.self = self;
  }

  /**
   * Takes in the records of the store.
   *
   * @param records - All records with their versions.
   * @param now - Present time.
   */
  update(
    records: readonly { readonly record: HostRecord; readonly version: number }[],
    now: Millis,
  ): void {
    const passed =
      this.lastRoundAt === undefined ? 0 : Math.min(now - this.lastRoundAt, LONGEST_ROUND_MS);
    this.lastRoundAt = now;
    this.records = new Map(
      records.map(({ record, version }) => {
        const known = this.records.get(record.host);
        const isSame = known !== undefined && known.version === version;
        return [record.host, { record, version, ageMs: isSame ? known.ageMs + passed : 0 }];
      }),
    );
  }

  /** Takes in that a host said something. */
  hear(host: HostId, leaving: boolean, now: Millis): void {
    this.heardAt.set(host, now);
    this.saysLeaving.set(host, leaving);
  }

  /** Tells whether the store's records were read at least once. */
  isKnown(): boolean {
    return this.lastRoundAt !== undefined;
  }

  /** Gets all other hosts that have a record, in the order of their names. */
  getOthers(): readonly HostId[] {
    return [...this.records.keys()].filter((host) => host !== this.self).sort();
  }

  /** Gets how many hosts share the bounds that hold for all together, this one included. */
  countSharers(): number {
    return this.getOthers().length + 1;
  }

  /** Gets the records of hosts that have been gone for long, with their versions. */
  getExpired(): readonly { readonly host: HostId; readonly version: number }[] {
    return [...this.records.values()]
      .filter(({ record, ageMs }) => record.host !== this.self && ageMs > this.recordLifeMs())
      .map(({ record, version }) => ({ host: record.host, version }));
  }

  /** Gets the addresses of all other hosts, to be told hints. */
  getPeerAddresses(): readonly string[] {
    return [...this.records.values()]
      .filter(({ record }) => record.host !== this.self)
      .map(({ record }) => record.peerAddress);
  }

  /**
   * Gets the hosts that callers may use: those heard of lately.
   *
   * A host that hears nobody can't tell who is alive, since it may itself be the one that is cut off;
   * it names all. Callers leave out addresses that fail them.
   *
   * @param now - Present time.
   * @returns The hosts, this one included unless it has no record.
   */
  getMates(now: Millis): readonly GroupMate[] {
    const all = [...this.records.values()].map(({ record }): GroupMate => {
      const says = record.host === this.self ? undefined : this.saysLeaving.get(record.host);
      return {
        host: record.host,
        zone: record.zone,
        callerAddress: record.callerAddress,
        peerAddress: record.peerAddress,
        leaving: says ?? record.leaving,
      };
    });
    const heard = all.filter((mate) => mate.host === this.self || this.isHeard(mate.host, now));
    return heard.some((mate) => mate.host !== this.self) ? heard : all;
  }

  /** Gets how long a record counts that nobody renews. */
  recordLifeMs(): Millis {
    return wordPace(this.countSharers()).recordMs * RECORD_LIVES;
  }

  /** Gets this host's place among those that were heard of lately, in the order of their names. */
  getRank(now: Millis): number {
    return [...this.records.keys()].filter((host) => host < this.self && this.isHeard(host, now))
      .length;
  }

  private isHeard(host: HostId, now: Millis): boolean {
    const at = this.heardAt.get(host);
    const silentMs = Math.max(LEAST_SILENT_MS, wordPace(this.countSharers()).silentMs);
    return at !== undefined && now - at <= silentMs;
  }
}
