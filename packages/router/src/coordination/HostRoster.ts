import type { HostId, Millis, RandomSource, ZoneId } from '@camphorvane/core';
import { isServing, gossipTtlMs, gossipTimings, servingHosts } from '@camphorvane/decisions';
import type { FleetMember } from '../host/ports.ts';
import type { HostRecord } from './hostRecord.ts';
import type {
  HintAddresses,
  ReceivedDigest,
  ReceivedHint,
  RelayedHostStates,
  ReportedHostState,
  TrackedRecord,
} from './hostStates.ts';

/** Shortest TTL of a hint, in milliseconds. */
const MIN_HINT_TTL_MS: Millis = 1_200;

/**
 * Heartbeat intervals in the store, outages of the store not counted, after which a host's share of the
 * rates is redistributed. Long, since a host that is only partitioned still uses its share.
 */
const RECORD_TTL_INTERVALS = 3;

const MIN_RECORD_TTL_MS: Millis = 21_000;

/** Most that a record ages between two reads, in milliseconds; a longer gap was an outage of the store. */
const MAX_READ_INTERVAL_MS: Millis = 5_000;

/**
 * Minimum of hosts that relay hints in a large fleet and watch the store for the others. With three,
 * hints still pass when two fail or are partitioned at once.
 */
const MIN_RELAYS = 3;

/**
 * Membership of the fleet, from the records in the store and the hints of the hosts.
 *
 * The records list the hosts that share the rates, and change slowly; hints show within a second which
 * hosts can take callers. A record ages only while the store answers, so that an outage of the store
 * makes no host look dead.
 */
export class HostRoster {
  private readonly self: HostId;

  private readonly zone: ZoneId;

  private readonly isCutOff: (host: HostId, now: Millis) => boolean;

  private records: ReadonlyMap<HostId, TrackedRecord> = new Map();

  /** All records, the strongest host first. */
  private ranked: readonly HostRecord[] = [];

  /** Names of all peers with a record, sorted. */
  private peers: readonly HostId[] = [];

  /** See {@link HostRoster.getExpectedServing}. */
  private expectedServing: readonly HostId[] = [];

  /** Whether the records have changed since `expectedServing` was computed. */
  private hasNewRecords = false;

  private readonly hints = new Map<HostId, ReceivedHint>();

  /** Time until which each host counts as alive by a message other than a hint. */
  private readonly aliveUntil = new Map<HostId, Millis>();

  private digest: ReceivedDigest | undefined;

  private lastReadAt: Millis | undefined;

  /** Index, among the hosts without a recent hint, of the one that was sent a hint last. */
  private probedIndex = -1;

  /**
   * @param self - This host.
   * @param zone - Its availability zone.
   * @param isCutOff - Tells whether a peer has lost its links to upstreams; by default none has.
   */
  constructor(
    self: HostId,
    zone: ZoneId,
    isCutOff: (host: HostId, now: Millis) => boolean = () => false,
  ) {
    this.self = self;
    this.zone = zone;
    this.isCutOff = isCutOff;
  }

  /**
   * Updates the records from the store.
   *
   * @param records - All records with their versions.
   * @param now - Current time.
   */
  update(
    records: readonly { readonly record: HostRecord; readonly version: number }[],
    now: Millis,
  ): void {
    const elapsedMs =
      this.lastReadAt === undefined ? 0 : Math.min(now - this.lastReadAt, MAX_READ_INTERVAL_MS);
    this.lastReadAt = now;
    this.records = new Map(
      records.map(({ record, version }) => {
        const known = this.records.get(record.host);
        const isSame = known !== undefined && known.version === version;
        return [record.host, { record, version, ageMs: isSame ? known.ageMs + elapsedMs : 0 }];
      }),
    );
    this.peers = [...this.records.keys()].filter((host) => host !== this.self).sort();
    this.ranked = [...this.records.values()]
      .map(({ record }) => record)
      .sort((a, b) => b.strength - a.strength || (a.host < b.host ? -1 : 1));
    this.hasNewRecords = true;
  }

  /** Receives the hint of a host. */
  receive({ host, leaving, serving, nextMs }: ReportedHostState, now: Millis): void {
    const expiresAt = now + Math.max(MIN_HINT_TTL_MS, gossipTtlMs(nextMs));
    this.hints.set(host, { leaving, serving, expiresAt });
  }

  /** Receives the digest of a relay; hosts that it doesn't list as silent are alive. */
  receiveDigest(digest: RelayedHostStates, now: Millis): void {
    const { host, silent, leaving, serving, unwatched = false } = digest;
    this.recordSignOfLife(host, now);
    this.digest = {
      silent: new Set(silent),
      leaving: new Set(leaving),
      serving: new Set(serving),
      unwatched,
      expiresAt: now + this.peerTimeoutMs(),
    };
  }

  /** Tells whether the records were read at least once. */
  isKnown(): boolean {
    return this.lastReadAt !== undefined;
  }

  /** Gets all peers that have a record, sorted by name. */
  getPeers(): readonly HostId[] {
    return this.peers;
  }

  /** Gets the number of hosts that share the limits of the fleet, this one included. */
  countHosts(): number {
    return this.peers.length + 1;
  }

  /** Gets the hosts whose records have expired, with the versions of the records. */
  getExpired(): readonly { readonly host: HostId; readonly version: number }[] {
    return [...this.records.values()]
      .filter(({ record, ageMs }) => record.host !== this.self && ageMs > this.recordTtlMs())
      .map(({ record, version }) => ({ host: record.host, version }));
  }

  /** Gets the addresses of all peers. */
  getPeerAddresses(): readonly string[] {
    return [...this.records.values()]
      .filter(({ record }) => record.host !== this.self)
      .map(({ record }) => record.peerAddress);
  }

  /** Gets the address of a peer for hints; undefined for one without a record. */
  getPeerAddress(host: HostId): string | undefined {
    return this.records.get(host)?.record.peerAddress;
  }

  /** Gets the addresses of the peers that are up: the relays first, then the others in random order. */
  getLivePeerAddresses(now: Millis, random: RandomSource): readonly string[] {
    const relays = this.getRelays(now).filter(({ host }) => host !== this.self);
    const others = this.ranked
      .filter(
        (one) => one.host !== this.self && !relays.includes(one) && this.isAlive(one.host, now),
      )
      .map((record) => ({ record, sortKey: random.next() }))
      .sort((a, b) => a.sortKey - b.sortKey);
    return [...relays, ...others.map(({ record }) => record)].map(addressOf);
  }

  /** Records that a message other than a hint arrived from a host. */
  recordSignOfLife(host: HostId, now: Millis): void {
    this.aliveUntil.set(host, now + this.peerTimeoutMs());
  }

  /** Tells whether this host has an unexpired digest of a relay. */
  hasFreshDigest(now: Millis): boolean {
    return this.digest !== undefined && this.digest.expiresAt >= now;
  }

  /** Tells whether no host is known to watch the store: the relays don't reach it, but others may. */
  isStoreUnwatched(now: Millis): boolean {
    return this.hasFreshDigest(now) && this.digest?.unwatched === true;
  }

  /** Tells whether this host takes callers; see {@link isServing}. */
  isServing(now: Millis): boolean {
    const zone = this.ranked.filter(
      (record) =>
        record.zone === this.zone &&
        (record.host === this.self ||
          (this.isAlive(record.host, now) &&
            !this.isLeaving(record, now) &&
            !this.isCutOff(record.host, now))),
    );
    return isServing(this.self, zone, this.countHosts());
  }

  /**
   * Gets the hosts that take callers while all hosts are up. It is computed from the records alone, so
   * that hosts without hints of each other agree. Returns the same array until it changes.
   */
  getExpectedServing(): readonly HostId[] {
    if (!this.hasNewRecords) return this.expectedServing;
    this.hasNewRecords = false;
    const hosts = servingHosts(this.ranked);
    if (hosts.join() !== this.expectedServing.join()) this.expectedServing = hosts;
    return this.expectedServing;
  }

  /**
   * Gets where this host sends its hints in a large fleet: to the relays, and to one host without a
   * recent hint, another one at each call and the strongest first. Without the latter, the sides of a
   * partition would keep to relays of their own and never rejoin; it also finds a live relay after all
   * known ones have failed.
   */
  getHintAddresses(now: Millis): HintAddresses {
    const relays = this.getRelays(now).filter((record) => record.host !== this.self);
    const home = this.chooseHomeRelay(this.getRelays(now));
    const relaying = new Set(relays.map((record) => record.host));
    const timedOut = this.ranked.filter(
      ({ host }) => host !== this.self && !relaying.has(host) && !this.isAlive(host, now),
    );
    this.probedIndex = timedOut.length === 0 ? 0 : (this.probedIndex + 1) % timedOut.length;
    const next = timedOut[this.probedIndex];
    const others = relays.filter((relay) => relay !== home);
    const asked = [home, next].filter((record) => record !== undefined);
    return { digestSources: asked.map(addressOf), hintOnly: others.map(addressOf) };
  }

  /** Gets the relay that this host asks for digests; undefined for a relay. */
  getHomeRelay(now: Millis): HostId | undefined {
    return this.chooseHomeRelay(this.getRelays(now))?.host;
  }

  /** Tells whether this host is a relay, by its own view of the fleet. */
  isRelay(now: Millis): boolean {
    return this.getRelays(now).some((record) => record.host === this.self);
  }

  /**
   * Gets the relays: the strongest live host of each zone, and the next strongest ones where there are
   * too few zones. Where no peer is known to be alive, all hosts count as alive.
   */
  private getRelays(now: Millis): readonly HostRecord[] {
    const alive = this.ranked.filter(({ host }) => host === this.self || this.isAlive(host, now));
    const isIsolated = alive.every((record) => record.host === this.self);
    const usable = isIsolated ? this.ranked : alive;
    const strongestByZone = new Map([...usable].reverse().map((record) => [record.zone, record]));
    const zoneRelays = usable.filter((record) => strongestByZone.get(record.zone) === record);
    const rest = usable.filter((record) => strongestByZone.get(record.zone) !== record);
    return [...zoneRelays, ...rest].slice(0, Math.max(MIN_RELAYS, zoneRelays.length));
  }

  /**
   * Gets the hosts that callers may use: those known to be alive.
   *
   * A host without a live peer can't know which hosts are alive, since it may be partitioned itself; it
   * returns all. Callers skip addresses that fail.
   *
   * @param now - Current time.
   * @returns The hosts, this one included unless it has no record.
   */
  getMembers(now: Millis): readonly FleetMember[] {
    const all = [...this.records.values()].map(({ record }): FleetMember => ({
      host: record.host,
      zone: record.zone,
      callerAddress: record.callerAddress,
      peerAddress: record.peerAddress,
      leaving: this.isLeaving(record, now),
      serving:
        record.host === this.self ? this.isServing(now) : this.isPeerServing(record.host, now),
      cutOff: record.host !== this.self && this.isCutOff(record.host, now),
    }));
    const alive = all.filter(
      (member) => member.host === this.self || this.isAlive(member.host, now),
    );
    return alive.some((member) => member.host !== this.self) ? alive : all;
  }

  /** Gets the TTL of a record, in milliseconds. */
  recordTtlMs(): Millis {
    return Math.max(
      MIN_RECORD_TTL_MS,
      gossipTimings(this.countHosts()).recordMs * RECORD_TTL_INTERVALS,
    );
  }

  /** Chooses the relay to get digests from; none for a relay, which builds its own. */
  private chooseHomeRelay(relays: readonly HostRecord[]): HostRecord | undefined {
    if (relays.some((record) => record.host === this.self)) return undefined;
    return relays.find((record) => record.zone === this.zone) ?? relays[0];
  }

  private isAlive(host: HostId, now: Millis): boolean {
    const wasSeen = (this.aliveUntil.get(host) ?? 0) >= now;
    return wasSeen || this.freshHint(host, now) !== undefined || this.isAliveByDigest(host, now);
  }

  private isAliveByDigest(host: HostId, now: Millis): boolean {
    if (!this.hasFreshDigest(now) || !this.records.has(host)) return false;
    return this.digest?.silent.has(host) === false;
  }

  private isLeaving({ host, leaving }: HostRecord, now: Millis): boolean {
    if (host === this.self) return leaving;
    const hint = this.freshHint(host, now);
    if (hint !== undefined) return hint.leaving;
    return this.isAliveByDigest(host, now) ? this.digest?.leaving.has(host) === true : leaving;
  }

  private isPeerServing(host: HostId, now: Millis): boolean {
    const hint = this.freshHint(host, now);
    if (hint !== undefined) return hint.serving;
    return !this.isAliveByDigest(host, now) || this.digest?.serving.has(host) === true;
  }

  /** Gets the last hint of a host unless it has expired. */
  private freshHint(host: HostId, now: Millis): ReceivedHint | undefined {
    const hint = this.hints.get(host);
    return hint === undefined || hint.expiresAt < now ? undefined : hint;
  }

  private peerTimeoutMs(): Millis {
    return Math.max(MIN_HINT_TTL_MS, gossipTimings(this.countHosts()).gossipTimeoutMs);
  }
}

function addressOf(record: HostRecord): string {
  return record.peerAddress;
}
