import type { Clock, Millis, RandomSource, VersionedConfig, ZoneId } from '@camphorvane/core';
import type {
  FollowedKind,
  WatchableStore,
  DeployedConfig,
  DeploymentFormat,
  ObjectVersion,
  FollowMode,
  ServerRecord,
  StoredObject,
} from '@camphorvane/store';
import { KindFollower } from '@camphorvane/store';
import type { SlowStart } from '@camphorvane/decisions';
import type { DrainedZones } from '@camphorvane/peer/hints';
import type { Unsubscribe } from '../host/ports.ts';
import { stateLog } from '../observe/StateLog.ts';
import { composeRouting } from './composeRouting.ts';
import type { ConfigFeed } from './HostAgreement.ts';
import { ServerRoster } from './ServerRoster.ts';
import { ZoneDrains } from './ZoneDrains.ts';

const log = stateLog('deployment');

/** What a feed is made of. */
export interface DeploymentFeedOptions {
  readonly store: WatchableStore;
  readonly format: DeploymentFormat;
  readonly clock: Clock;
  readonly random: RandomSource;
  /**
   * Milliseconds without an answer of the store after which no key is taken; absent where a host that
   * is cut off from the store goes on with the keys that it knows.
   */
  readonly strictKeysMs: Millis | undefined;
  /**
   * Longest wait of one watch, in milliseconds. A watch can go silent for good, and what changes
   * meanwhile is learned when it ends; each one costs a call.
   */
  readonly watchMs: Millis;
  /** Gets how this host follows now. */
  readonly mode: () => FollowMode;
  /** See {@link KindFollowerOptions.pollMs}. */
  readonly pollMs: () => Millis;
  /** Called when this host has learned of a change in the store. */
  readonly onNews: () => void;
  /** Whether operators may drain availability zones. */
  readonly drainsZones: boolean;
  /** Told of servers that have just started. */
  readonly slowStart: SlowStart;
}

/** An entry of the store, and the server that it names, if any. */
interface ReadServer {
  readonly object: StoredObject;
  readonly server: ServerRecord | undefined;
}

/** Keeps a host on the newest configuration and the newest list of servers. */
export class DeploymentFeed implements ConfigFeed {
  private readonly options: DeploymentFeedOptions;

  private readonly configs: KindFollower;

  private readonly servers: KindFollower;

  private readonly roster = new ServerRoster();

  /** Which availability zones are drained. */
  readonly drains = new ZoneDrains();

  private readonly drainEntries: KindFollower | undefined;

  private readonly listeners = new Set<(config: VersionedConfig) => void>();

  private deployed: DeployedConfig | undefined;

  private hasServers = false;

  private inForce: VersionedConfig | undefined;

  private composedFrom = '';

  private readConfigVersion: ObjectVersion | undefined;

  private readServers: ReadonlyMap<string, ReadServer> = new Map();

  private announced = '';

  /** @param options - The store and how its objects read. */
  constructor(options: DeploymentFeedOptions) {
    this.options = options;
    this.configs = this.follow(options.format.configKind, (round) => this.takeConfig(round));
    this.servers = this.follow(options.format.serverKind, (round) => this.takeServers(round));
    this.drainEntries = options.drainsZones
      ? this.follow(options.format.drainedZoneKind, (round) => this.takeDrains(round))
      : undefined;
  }

  /** Follows until stopped. */
  start(signal: AbortSignal): void {
    void this.configs.run(signal);
    void this.servers.run(signal);
    void this.drainEntries?.run(signal);
  }

  /** Gets the versions of the store at the last changes of configuration and servers known here. */
  getVersions(): { readonly config: ObjectVersion; readonly servers: ObjectVersion } {
    return { config: this.configs.getChangedAt(), servers: this.servers.getChangedAt() };
  }

  /** Takes in the versions that a peer knows. */
  noteNewer(versions: { readonly config: ObjectVersion; readonly servers: ObjectVersion }): void {
    this.configs.noteNewer(versions.config);
    this.servers.noteNewer(versions.servers);
  }

  /** Takes in which zones are drained, as the store or a peer says. */
  receiveDrained(read: DrainedZones): void {
    const wasKnown = this.drains.isKnown();
    const { drained, restored } = this.drains.receive(read);
    if (drained.length + restored.length > 0) {
      log('zones_drained', {
        drained: read.zones.join(' '),
        restored: restored.join(' '),
        revision: read.version,
      });
      this.noteRestored(restored);
      this.options.onNews();
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
    return strictKeysMs === undefined || clock.now() - this.configs.getAnsweredAt() < strictKeysMs;
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
      answeredMsAgo: Math.round(now - this.configs.getAnsweredAt()),
      servers: this.roster.list(now).length,
      drainedZones: this.drains.get().zones,
    };
  }

  private follow(kind: string, onRound: (round: FollowedKind) => void): KindFollower {
    const { store, clock, random } = this.options;
    return new KindFollower({
      store,
      kind,
      clock,
      random,
      watchMs: this.options.watchMs,
      mode: this.options.mode,
      pollMs: this.options.pollMs,
      onRound,
      onStore: (state, reason) => log(`store_${state}`, { kind, reason }),
    });
  }

  /** Takes a configuration that is newer than the one in force; an older one is a late answer. */
  private takeConfig({ objects }: FollowedKind): void {
    const { format } = this.options;
    this.announce();
    const object = objects.get(format.configName);
    if (object === undefined || object.version === this.readConfigVersion) return;
    this.readConfigVersion = object.version;
    const read = format.readConfig(object);
    if (read.isErr()) {
      log('config_unreadable', { problem: read.error, revision: object.version });
      return;
    }
    if (this.deployed !== undefined && read.value.version <= this.deployed.version) return;
    this.deployed = read.value;
    this.compose();
  }

  private takeServers({ objects, awayMs }: FollowedKind): void {
    const { format, clock } = this.options;
    this.announce();
    const read = [...objects.values()].map((object): ReadServer => {
      const known = this.readServers.get(object.name);
      if (known?.object.version === object.version) return known;
      const server = format.readServer(object);
      this.noteStart(server);
      return { object, server };
    });
    this.readServers = new Map(read.map((one) => [one.object.name, one]));
    this.options.slowStart.retain(new Set(this.readServers.keys()));
    const listed = read.map(({ server }) => server).filter((server) => server !== undefined);
    this.roster.update(listed, awayMs, clock.now());
    this.hasServers = true;
    this.compose();
    const change = this.roster.nextChange(clock.now());
    if (change !== undefined) clock.after(change - clock.now(), () => this.compose());
  }

  /** The store's answer is taken as a whole: a zone whose entry is missing is not drained any more. */
  private takeDrains({ objects }: FollowedKind): void {
    const version = this.drainEntries?.getVersion() ?? 0;
    this.receiveDrained({ version, zones: [...objects.keys()].sort() });
  }

  private noteStart(server: ServerRecord | undefined): void {
    if (server === undefined || server.startingMs === 0) return;
    this.options.slowStart.recordStart(server.id, server.startingMs, this.options.clock.now());
  }

  /** Servers of a drained zone may have started anew unseen, and their entries lag behind. */
  private noteRestored(zones: readonly ZoneId[]): void {
    const now = this.options.clock.now();
    this.roster
      .list(now)
      .filter(({ zone }) => zones.includes(zone))
      .forEach(({ id }) => this.options.slowStart.recordStart(id, undefined, now));
  }

  private announce(): void {
    const { config, servers } = this.getVersions();
    const versions = `${config} ${servers}`;
    if (versions === this.announced) return;
    this.announced = versions;
    this.options.onNews();
  }

  private compose(): void {
    if (this.deployed === undefined || !this.hasServers) return;
    if (this.options.drainsZones && !this.drains.isKnown()) return;
    // What is left of a slow start changes with each heartbeat, and routing does not depend on it.
    const servers = this.roster
      .list(this.options.clock.now())
      .map((server) => ({ ...server, startingMs: undefined }));
    const { zones } = this.drains.get();
    const from = JSON.stringify([this.deployed.version, servers, zones]);
    if (from === this.composedFrom) return;
    this.composedFrom = from;
    const config = composeRouting(this.deployed, servers, zones);
    const inForce = { version: this.deployed.version, config };
    this.inForce = inForce;
    log('servers', {
      version: inForce.version,
      usable: servers.filter((server) => !server.leaving).length,
      leaving: servers.filter((server) => server.leaving).length,
      drained: servers.filter(({ zone }) => zones.includes(zone)).length,
    });
    this.listeners.forEach((listener) => listener(inForce));
  }
}
