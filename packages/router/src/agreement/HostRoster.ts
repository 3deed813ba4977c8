import type { HostId, Millis, ZoneId } from '@camphorvane/core';
import { isServing, gossipTtlMs, gossipTimings, servingHosts } from '@camphorvane/decisions';
import type { HostHint } from '@camphorvane/peer/hints';
import type { FleetMember } from '../host/ports.ts';
import type { HostRecord } from './hostRecord.ts';

/** Milliseconds for which a hint counts at least. */
const LEAST_LIFE_MS: Millis = 1_200;

/**
 * Periods of its heartbeat in the store, while the store was there, after which a host's part of the
 * rates is dealt out again. Long on purpose: a host that is only cut off still uses its part.
 */
const RECORD_LIVES = 3;

const MIN_RECORD_LIFE_MS: Millis = 21_000;

/** Most time that one reading of the records counts for; the rest was an outage of the store. */
const LONGEST_ROUND_MS: Millis = 5_000;

/**
 * Hosts that relay hints in a large fleet at least, and watch the store for the others. With three, two
 * may die or be cut off at once and hints still pass.
 */
const LEAST_RELAYS = 3;

/** Where a host's hints go in a large fleet. */
export interface HintAddresses {
  /**
   * Hosts that are asked for digests: the relay of the same zone, since bytes between zones cost more,
   * and one host that nobody has heard.
   */
  readonly asked: readonly string[];
  /** Hosts that only get hints. */
  readonly others: readonly string[];
}

/** What a relaying host says of the others. */
export interface HeardHosts {
  readonly host: HostId;
  /** Hosts with a record that it has not heard lately. */
  readonly silent: readonly HostId[];
  readonly leaving: readonly HostId[];
  /** Hosts that take callers. */
  readonly serving: readonly HostId[];
}

/** What a host says of itself. */
export type HintHead = Pick<HostHint, 'host' | 'leaving' | 'serving' | 'nextMs'>;

/** What a host said of itself, and until when that counts. */
interface ReceivedHint {
  readonly leaving: boolean;
  readonly serving: boolean;
  readonly until: Millis;
}

/** What a relaying host said last of the others, and until when that counts. */
interface ReceivedDigest {
  readonly silent: ReadonlySet<HostId>;
  readonly leaving: ReadonlySet<HostId>;
  readonly serving: ReadonlySet<HostId>;
  readonly until: Millis;
}

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

  private readonly zone: ZoneId;

  private records: ReadonlyMap<HostId, SeenRecord> = new Map();

  /** All records, the strongest first. */
  private ranked: readonly HostRecord[] = [];

  /** Names of all other hosts with a record, in order. */
  private others: readonly HostId[] = [];

  /** See {@link HostRoster.getExpectedServing}. */
  private expectedServing: readonly HostId[] = [];

  /** Whether the records were read since the hosts that are expected to serve were found. */
  private hasNewRecords = false;

  private readonly hints = new Map<HostId, ReceivedHint>();

  /** Until when other signs of life count. */
  private readonly seenUntil = new Map<HostId, Millis>();

  private digest: ReceivedDigest | undefined;

  private lastRoundAt: Millis | undefined;

  /** Place, among the hosts that were not heard of, of the one that got a hint last. */
  private explored = -1;

  /**
   * @param self - This host.
   * @param zone - Its availability zone.
   */
  constructor(self: HostId, zone: ZoneId) {
    this.self = self;
    this.zone = zone;
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
    this.others = [...this.records.keys()].filter((host) => host !== this.self).sort();
    this.ranked = [...this.records.values()]
      .map(({ record }) => record)
      .sort((a, b) => b.strength - a.strength || (a.host < b.host ? -1 : 1));
    this.hasNewRecords = true;
  }

  /** Takes in what a host says of itself. */
  receive({ host, leaving, serving, nextMs }: HintHead, now: Millis): void {
    const until = now + Math.max(LEAST_LIFE_MS, gossipTtlMs(nextMs));
    this.hints.set(host, { leaving, serving, until });
  }

  /** Takes in which hosts a relaying host has heard; those that it doesn't name are well. */
  receiveDigest({ host, silent, leaving, serving }: HeardHosts, now: Millis): void {
    this.sawAlive(host, now);
    this.digest = {
      silent: new Set(silent),
      leaving: new Set(leaving),
      serving: new Set(serving),
      until: now + this.silentMs(),
    };
  }

  /** Tells whether the store's records were read at least once. */
  isKnown(): boolean {
    return this.lastRoundAt !== undefined;
  }

  /** Gets all other hosts that have a record, in the order of their names. */
  getOthers(): readonly HostId[] {
    return this.others;
  }

  /** Gets how many hosts share the bounds that hold for all together, this one included. */
  countSharers(): number {
    return this.others.length + 1;
  }

  /** Gets the records of hosts that have been gone for long, with their versions. */
  getExpired(): readonly { readonly host: HostId; readonly version: number }[] {
    return [...this.records.values()]
      .filter(({ record, ageMs }) => record.host !== this.self && ageMs > this.recordLifeMs())
      .map(({ record, version }) => ({ host: record.host, version }));
  }

  /** Gets the addresses of all other hosts. */
  getPeerAddresses(): readonly string[] {
    return [...this.records.values()]
      .filter(({ record }) => record.host !== this.self)
      .map(({ record }) => record.peerAddress);
  }

  /** Gets the address of another host for hints; undefined for one without a record. */
  getPeerAddress(host: HostId): string | undefined {
    return this.records.get(host)?.record.peerAddress;
  }

  /** Notes a sign of life that says nothing else. */
  sawAlive(host: HostId, now: Millis): void {
    this.seenUntil.set(host, now + this.silentMs());
  }

  /** Tells whether a relaying host tells this one what others say. */
  isToldByRelay(now: Millis): boolean {
    return this.digest !== undefined && this.digest.until >= now;
  }

  /** Tells whether this host takes callers; see {@link isServing}. */
  isServing(now: Millis): boolean {
    const zone = this.ranked.filter(
      (record) =>
        record.zone === this.zone &&
        (record.host === this.self ||
          (this.isHeard(record.host, now) && !this.isLeaving(record, now))),
    );
    return isServing(this.self, zone, this.countSharers());
  }

  /**
   * Gets the hosts that take callers while all hosts are up. It follows from the records alone, so
   * that hosts which get no hints of each other agree. The same list is returned until it changes.
   */
  getExpectedServing(): readonly HostId[] {
    if (!this.hasNewRecords) return this.expectedServing;
    this.hasNewRecords = false;
    const hosts = servingHosts(this.ranked);
    if (hosts.join() !== this.expectedServing.join()) this.expectedServing = hosts;
    return this.expectedServing;
  }

  /**
   * Gets where this host's hints go in a large fleet: to the hosts that relay them, and to one host
   * that nobody has heard, another one each time.
   *
   * Hosts that lost each other for a while choose relays among those they still hear, and two halves
   * would stay apart for good. A hint to the strongest of the unheard, then to the next, joins them
   * again; it also finds a living relay after all known ones have died at once.
   */
  getHintAddresses(now: Millis): HintAddresses {
    const relays = this.getRelays(now).filter((record) => record.host !== this.self);
    const home = this.homeAmong(this.getRelays(now));
    const relaying = new Set(relays.map((record) => record.host));
    const unheard = this.ranked.filter(
      ({ host }) => host !== this.self && !relaying.has(host) && !this.isHeard(host, now),
    );
    this.explored = unheard.length === 0 ? 0 : (this.explored + 1) % unheard.length;
    const next = unheard[this.explored];
    const others = relays.filter((relay) => relay !== home);
    const asked = [home, next].filter((record) => record !== undefined);
    return { asked: asked.map(addressOf), others: others.map(addressOf) };
  }

  /** Gets the relaying host that this host asks for digests; undefined for one that relays itself. */
  getHomeRelay(now: Millis): HostId | undefined {
    return this.homeAmong(this.getRelays(now))?.host;
  }

  /** Tells whether this host is one that relays hints, as far as it knows. */
  isRelay(now: Millis): boolean {
    return this.getRelays(now).some((record) => record.host === this.self);
  }

  /**
   * Gets the hosts that relay hints: the strongest that was heard of lately in each zone, and the next
   * strongest where zones are few. Where none was heard, all count as heard.
   */
  private getRelays(now: Millis): readonly HostRecord[] {
    const heard = this.ranked.filter(({ host }) => host === this.self || this.isHeard(host, now));
    const isAlone = heard.every((record) => record.host === this.self);
    const usable = isAlone ? this.ranked : heard;
    const byZone = new Map([...usable].reverse().map((record) => [record.zone, record]));
    const firsts = usable.filter((record) => byZone.get(record.zone) === record);
    const rest = usable.filter((record) => byZone.get(record.zone) !== record);
    return [...firsts, ...rest].slice(0, Math.max(LEAST_RELAYS, firsts.length));
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
  getMembers(now: Millis): readonly FleetMember[] {
    const all = [...this.records.values()].map(({ record }): FleetMember => ({
      host: record.host,
      zone: record.zone,
      callerAddress: record.callerAddress,
      peerAddress: record.peerAddress,
      leaving: this.isLeaving(record, now),
      serving: record.host === this.self ? this.isServing(now) : this.saysServing(record.host, now),
    }));
    const heard = all.filter(
      (member) => member.host === this.self || this.isHeard(member.host, now),
    );
    return heard.some((member) => member.host !== this.self) ? heard : all;
  }

  /** Gets how long a record counts that nobody renews. */
  recordLifeMs(): Millis {
    return Math.max(MIN_RECORD_LIFE_MS, gossipTimings(this.countSharers()).recordMs * RECORD_LIVES);
  }

  /** A relay makes its own digests. */
  private homeAmong(relays: readonly HostRecord[]): HostRecord | undefined {
    if (relays.some((record) => record.host === this.self)) return undefined;
    return relays.find((record) => record.zone === this.zone) ?? relays[0];
  }

  private isHeard(host: HostId, now: Millis): boolean {
    const isSeen = (this.seenUntil.get(host) ?? 0) >= now;
    return isSeen || this.hintOf(host, now) !== undefined || this.isWellByRelay(host, now);
  }

  private isWellByRelay(host: HostId, now: Millis): boolean {
    if (!this.isToldByRelay(now) || !this.records.has(host)) return false;
    return this.digest?.silent.has(host) === false;
  }

  private isLeaving({ host, leaving }: HostRecord, now: Millis): boolean {
    if (host === this.self) return leaving;
    const hint = this.hintOf(host, now);
    if (hint !== undefined) return hint.leaving;
    return this.isWellByRelay(host, now) ? this.digest?.leaving.has(host) === true : leaving;
  }

  private saysServing(host: HostId, now: Millis): boolean {
    const hint = this.hintOf(host, now);
    if (hint !== undefined) return hint.serving;
    return !this.isWellByRelay(host, now) || this.digest?.serving.has(host) === true;
  }

  /** Gets what a host said of itself, while that counts. */
  private hintOf(host: HostId, now: Millis): ReceivedHint | undefined {
    const hint = this.hints.get(host);
    return hint === undefined || hint.until < now ? undefined : hint;
  }

  private silentMs(): Millis {
    return Math.max(LEAST_LIFE_MS, gossipTimings(this.countSharers()).silentMs);
  }
}

function addressOf(record: HostRecord): string {
  return record.peerAddress;
}
