import type { HostId, Millis, UpstreamId, VersionedConfig, ZoneId } from '@camphorvane/core';
import { contain, runInBackground } from '@camphorvane/core';
import type {
  ContactReport,
  KindCopy,
  Snapshot,
  DeployedConfig,
  ObjectVersion,
  ServerRecord,
} from '@camphorvane/store';
import { KindFollower, minOutageMs, StoreContact } from '@camphorvane/store';
import type { DrainedZones } from '@camphorvane/peer/hints';
import type { Unsubscribe } from '../host/ports.ts';
import { eventLog } from '../observe/EventLog.ts';
import { composeRouting } from './composeRouting.ts';
import { GraceTimer } from './GraceTimer.ts';
import { ListConfirmation } from './ListConfirmation.ts';
import { logCaughtUp } from './logCaughtUp.ts';
import type { ConfigFeed } from './HostCoordination.ts';
import type { DeploymentFeedOptions } from './DeploymentFeedOptions.ts';
import type { ServerEntry } from './ServerEntry.ts';
import { readServerEntry } from './ServerEntry.ts';
import { ServerRoster } from './ServerRoster.ts';
import { ZoneDrains } from './ZoneDrains.ts';

const log = eventLog('deployment');

/**
 * Longest time in milliseconds for which a host serves by a configuration that a peer has seen replaced. Reads
 * from the store or from peers take less than a second, and a withdrawn key must be refused within three.
 */
const MAX_CONFIG_LAG_MS: Millis = 1_800;

/** Milliseconds behind the end of a watch within which the next response of the store is due. */
const LIST_MARGIN_MS: Millis = 2_000;

/** Follows the configuration, the servers and the drained zones in the store. */
export class DeploymentFeed implements ConfigFeed {
  private readonly options: DeploymentFeedOptions;

  private readonly configs: KindFollower;

  private readonly servers: KindFollower;

  private readonly contact: StoreContact;

  private readonly roster: ServerRoster;

  private readonly graceTimer: GraceTimer;

  private readonly confirmation: ListConfirmation;

  /** Which availability zones are drained. */
  readonly drains = new ZoneDrains();

  private readonly drainEntries: KindFollower | undefined;

  private readonly listeners = new Set<(config: VersionedConfig) => void>();

  private deployed: DeployedConfig | undefined;

  private hasServers = false;

  private inForce: VersionedConfig | undefined;

  private composedKey = '';

  private lastReadConfigVersion: ObjectVersion | undefined;

  private serverEntries: ReadonlyMap<string, ServerEntry> = new Map();

  private notifiedVersions = '';

  /** @param options - The store, the format of its objects and the callbacks. */
  constructor(options: DeploymentFeedOptions) {
    this.options = options;
    const { contact, clock, heartbeatMs } = options;
    this.contact = contact ?? new StoreContact(clock.now(), minOutageMs(heartbeatMs));
    this.roster = new ServerRoster(this.contact, heartbeatMs);
    this.graceTimer = new GraceTimer(clock, this.roster, () => this.compose());
    this.configs = this.follow(options.format.configKind, (copy) => this.applyConfig(copy));
    this.servers = this.follow(options.format.serverKind, (copy) => this.applyServers(copy));
    const { store, format } = options;
    const read = { kind: format.serverKind, contact: this.contact, follower: this.servers };
    this.confirmation = new ListConfirmation({ clock, store, ...read });
    this.drainEntries = options.drainsZones
      ? this.follow(options.format.drainedZoneKind, (copy) => this.applyDrainedZones(copy))
      : undefined;
  }

  /** Follows the store until the signal is aborted. */
  start(signal: AbortSignal): void {
    runInBackground('deployment.follow', () => this.configs.run(signal));
    runInBackground('deployment.follow', () => this.servers.run(signal));
    runInBackground('deployment.follow', () => this.drainEntries?.run(signal));
  }

  /** Gets when the process of a listed server was started, by the server's clock. */
  getStartTime(server: UpstreamId): Millis | undefined {
    return this.roster.list(this.options.clock.now()).find(({ id }) => id === server)?.bornAt;
  }

  /** Gets the store versions of the last known changes of the configuration and the servers. */
  getVersions(): { readonly config: ObjectVersion; readonly servers: ObjectVersion } {
    return {
      config: this.configs.getLastChangeVersion(),
      servers: this.servers.getLastChangeVersion(),
    };
  }

  /** Receives the versions that a peer has read; newer ones are fetched from the store. */
  receiveVersions(versions: {
    readonly config: ObjectVersion;
    readonly servers: ObjectVersion;
  }): void {
    this.configs.receiveVersion(versions.config);
    this.servers.receiveVersion(versions.servers);
  }

  /**
   * Receives when the store responded to a peer. A server that is missing after an outage may turn out to have been
   * removed while the store served others.
   *
   * @param peer - The peer.
   * @param report - What it reports.
   */
  receiveContact(peer: HostId, report: ContactReport): void {
    const now = this.options.clock.now();
    this.contact.receive(peer, report, now);
    if (this.roster.getGraceEnd(now) !== undefined) this.compose();
  }

  /** Gets what to report to peers of the store's responses; undefined before the first one. */
  getContact(): ContactReport | undefined {
    return this.contact.getReport(this.options.clock.now());
  }

  /** Polls the store now, where this host polls. */
  pollNow(): void {
    this.configs.pollNow();
    this.servers.pollNow();
  }

  /** Tells whether the store answers this host. */
  isStoreAvailable(): boolean {
    return this.configs.isAvailable() && this.servers.isAvailable();
  }

  /** Gets this host's copy of a kind for its peers; undefined where there is none. */
  getCopy(kind: string): Snapshot | undefined {
    const { format } = this.options;
    if (kind === format.configKind) return this.configs.getCopy();
    return kind === format.serverKind ? this.servers.getCopy() : undefined;
  }

  /**
   * Tells whether a newer configuration is known to exist that this host could get neither from the
   * store nor from a peer. It may then hold keys that have been withdrawn.
   */
  isOutdated(): boolean {
    return this.configs.getLagMs() > MAX_CONFIG_LAG_MS;
  }

  /** {@inheritDoc ConfigSource.isListCurrent} */
  isListCurrent(): boolean {
    const { clock, watchMs, isWatchedByPeers } = this.options;
    if (!this.hasServers || this.servers.getLagMs() > 0) return false;
    const answeredMsAgo = clock.now() - this.servers.getLastResponseAt();
    return answeredMsAgo <= watchMs + LIST_MARGIN_MS || isWatchedByPeers?.() === true;
  }

  /** {@inheritDoc ConfigSource.confirmList} */
  confirmList(): Promise<boolean> {
    return this.confirmation.confirm();
  }

  /** Receives the drained zones as read from the store by this host or a peer. */
  receiveDrainedZones(read: DrainedZones): void {
    const wasKnown = this.drains.isKnown();
    const { drained, restored } = this.drains.receive(read);
    if (drained.length + restored.length > 0) {
      log('zones_drained', {
        drained: read.zones.join(' '),
        restored: restored.join(' '),
        revision: read.version,
      });
      this.recordRestored(restored);
      this.options.onStateChange();
    }
    if (drained.length + restored.length > 0 || wasKnown !== this.drains.isKnown()) this.compose();
  }

  /** {@inheritDoc ConfigFeed.current} */
  current(): VersionedConfig | undefined {
    return this.inForce;
  }

  /** {@inheritDoc ConfigFeed.isConfirmed} */
  isConfirmed(): boolean {
    const { strictKeysMs, clock } = this.options;
    if (this.inForce === undefined) return false;
    return (
      strictKeysMs === undefined || clock.now() - this.configs.getLastResponseAt() < strictKeysMs
    );
  }

  /** {@inheritDoc ConfigFeed.confirmNow} */
  async confirmNow(): Promise<boolean> {
    return this.isConfirmed();
  }

  /** {@inheritDoc ConfigFeed.onChange} */
  onChange(listener: (config: VersionedConfig) => void): Unsubscribe {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** {@inheritDoc ConfigFeed.state} */
  state(): {
    readonly version: number;
    readonly answeredMsAgo: Millis;
    readonly servers: number;
    readonly drainedZones: readonly ZoneId[];
  } {
    const now = this.options.clock.now();
    return {
      version: this.inForce?.version ?? 0,
      answeredMsAgo: Math.round(now - this.configs.getLastResponseAt()),
      servers: this.roster.list(now).length,
      drainedZones: this.drains.get().zones,
    };
  }

  private follow(kind: string, onSync: (copy: KindCopy) => void): KindFollower {
    const { store, clock, random } = this.options;
    return new KindFollower({
      store,
      kind,
      clock,
      random,
      contact: this.contact,
      watchMs: this.options.watchMs,
      mode: this.options.mode,
      nextPoll: this.options.nextPoll,
      pollFreshness: this.options.pollFreshness,
      isUnwatched: this.options.isUnwatched,
      readFromPeers: this.options.readFromPeers,
      onSync,
      onCaughtUp: (behindMs, source) => logCaughtUp(kind, behindMs, source),
      onStoreState: (state, reason) => log(`store_${state}`, { kind, reason }),
    });
  }

  /** Applies a configuration newer than the one in force; an older one comes from a delayed response. */
  private applyConfig({ objects }: KindCopy): void {
    const { format } = this.options;
    this.notifyNewVersions();
    const object = objects.get(format.configName);
    if (object === undefined || object.version === this.lastReadConfigVersion) return;
    this.lastReadConfigVersion = object.version;
    const read = contain('deployment.config', () => format.parseConfig(object));
    if (read === undefined) return;
    if (read.isErr()) {
      log('config_unreadable', { problem: read.error, revision: object.version });
      return;
    }
    if (this.deployed !== undefined && read.value.version <= this.deployed.version) return;
    this.deployed = read.value;
    this.compose();
  }

  private applyServers({ objects }: KindCopy): void {
    const { format, clock } = this.options;
    this.notifyNewVersions();
    const entries = [...objects.values()].map((object): ServerEntry => {
      const known = this.serverEntries.get(object.name);
      if (known?.object.version === object.version) return known;
      const entry = readServerEntry(format, object);
      this.recordStart(entry.server, known?.server);
      return entry;
    });
    this.serverEntries = new Map(entries.map((entry) => [entry.object.name, entry]));
    const listedIds = new Set(this.serverEntries.keys());
    const { slowStart, constraints } = this.options.admission;
    slowStart.retain(listedIds);
    constraints.retain(listedIds, clock.now());
    const listed = entries.map(({ server }) => server).filter((server) => server !== undefined);
    this.roster.update(listed, clock.now());
    this.hasServers = true;
    this.compose();
    this.graceTimer.schedule();
  }

  /** Applies the store's full list: a zone without an entry is no longer drained. */
  private applyDrainedZones({ objects }: KindCopy): void {
    const version = this.drainEntries?.getVersion() ?? 0;
    this.receiveDrainedZones({ version, zones: [...objects.keys()].sort() });
  }

  private recordStart(server: ServerRecord | undefined, before: ServerRecord | undefined): void {
    const { slowStart, constraints } = this.options.admission;
    const isRestarted = before?.bornAt !== undefined && before.bornAt !== server?.bornAt;
    // What a server has asked for doesn't bind the next process under its name.
    if (isRestarted && server?.bornAt !== undefined) constraints.forget(server.id);
    if (server === undefined || server.startingMs === 0) return;
    slowStart.recordStart(server.id, server.startingMs, this.options.clock.now());
  }

  /** Starts the slow start of servers in restored zones: they may have restarted, and their entries lag. */
  private recordRestored(zones: readonly ZoneId[]): void {
    const now = this.options.clock.now();
    this.roster
      .list(now)
      .filter(({ zone }) => zones.includes(zone))
      .forEach(({ id }) => this.options.admission.slowStart.recordStart(id, undefined, now));
  }

  private notifyNewVersions(): void {
    const { config, servers } = this.getVersions();
    const current = `${config} ${servers}`;
    if (current === this.notifiedVersions) return;
    this.notifiedVersions = current;
    this.options.onStateChange();
  }

  private compose(): void {
    if (this.deployed === undefined || !this.hasServers) return;
    if (this.options.drainsZones && !this.drains.isKnown()) return;
    // The remaining time of a slow start changes with each heartbeat; routing does not depend on it.
    const servers = this.roster
      .list(this.options.clock.now())
      .map((server) => ({ ...server, startingMs: undefined }));
    const { zones } = this.drains.get();
    const key = JSON.stringify([this.deployed.version, servers, zones]);
    if (key === this.composedKey) return;
    this.composedKey = key;
    const config = composeRouting(this.deployed, servers, zones, this.options.overload);
    const inForce = { version: this.deployed.version, config };
    this.inForce = inForce;
    log('servers', {
      version: inForce.version,
      usable: servers.filter((server) => !server.leaving).length,
      leaving: servers.filter((server) => server.leaving).length,
      drained: servers.filter(({ zone }) => zones.includes(zone)).length,
    });
    this.listeners.forEach((listener) => contain('deployment.listener', () => listener(inForce)));
  }
}
