import type {
  Buffers,
  EngineConfig,
  ModelId,
  OverloadPolicy,
  PoolConfig,
  RoutingConfig,
  ServiceConfig,
  ServiceId,
  ServiceServer,
  UpstreamId,
  ZoneId,
} from '@camphorvane/core';
import { contain, NO_OVERLOAD_POLICY } from '@camphorvane/core';
import type { ModelEngine, PlainServer } from '@camphorvane/upstream';
import { BodyGate } from '../buffers/BodyGate.ts';
import { GatedEngine } from './GatedEngine.ts';
import { GatedServer } from './GatedServer.ts';
import type { EngineFactory, PlainServerFactory, UpstreamWatch } from './ports.ts';
import { RestGate } from './RestGate.ts';

/** A configured engine and its client. */
export interface EngineEntry {
  readonly cfg: EngineConfig;
  readonly engine: ModelEngine;
}

/** A configured server of a plain service and its client. */
export interface ServerEntry {
  readonly cfg: ServiceServer;
  readonly server: PlainServer;
}

/** Registry of the upstreams of the configuration in force, with one client for each. */
export class UpstreamDirectory {
  private readonly createEngine: EngineFactory;

  private readonly createServer: PlainServerFactory;

  private engines: ReadonlyMap<UpstreamId, EngineEntry> = new Map();

  private servers: ReadonlyMap<UpstreamId, ServerEntry> = new Map();

  private pools: ReadonlyMap<ModelId, PoolConfig> = new Map();

  private services: ReadonlyMap<ServiceId, ServiceConfig> = new Map();

  private overload: OverloadPolicy = NO_OVERLOAD_POLICY;

  private watch: UpstreamWatch | undefined;

  private buffers: Buffers | undefined;

  /**
   * @param createEngine - Creates the client of an engine.
   * @param createServer - Creates the client of a server.
   */
  constructor(createEngine: EngineFactory, createServer: PlainServerFactory) {
    this.createEngine = createEngine;
    this.createServer = createServer;
  }

  /**
   * Applies a configuration, and keeps clients whose URL is unchanged. Upstreams in drained zones are
   * excluded, so that placement, capacity and roles are based on the remaining ones.
   *
   * @param config - The configuration.
   */
  reconfigure(config: RoutingConfig): void {
    const { drainedZones = [], overload = NO_OVERLOAD_POLICY } = config;
    this.overload = overload;
    const isActive = ({ zone }: { readonly zone: ZoneId }): boolean => !drainedZones.includes(zone);
    const engineCfgs = config.pools.flatMap((pool) => pool.engines).filter(isActive);
    this.engines = entriesOf(engineCfgs, (cfg) => this.reuseOrCreateEngine(cfg));
    const serverCfgs = config.services.flatMap((service) => service.servers).filter(isActive);
    this.servers = entriesOf(serverCfgs, (cfg) => this.reuseOrCreateServer(cfg));
    const pools = config.pools.map((pool) => ({
      ...pool,
      engines: pool.engines.filter((cfg) => isActive(cfg) && this.engines.has(cfg.id)),
    }));
    const services = config.services.map((service) => ({
      ...service,
      servers: service.servers.filter((cfg) => isActive(cfg) && this.servers.has(cfg.id)),
    }));
    this.pools = new Map(pools.map((pool) => [pool.model, pool]));
    this.services = new Map(services.map((service) => [service.id, service]));
  }

  /** Sets what the clients of all upstreams report to, and ask before each call. */
  setWatch(watch: UpstreamWatch): void {
    this.watch = watch;
  }

  /** Sets the buffers that bound the request bodies sent to each upstream. */
  setBuffers(buffers: Buffers): void {
    this.buffers = buffers;
  }

  /** Gets the controls for overload that are in force. */
  getOverloadPolicy(): OverloadPolicy {
    return this.overload;
  }

  /** Gets the models of all configured pools. */
  getModels(): readonly ModelId[] {
    return [...this.pools.keys()];
  }

  /** Gets the pool of a model, if one is configured. */
  getPool(model: ModelId): PoolConfig | undefined {
    return this.pools.get(model);
  }

  /** Gets a plain service, if it is configured. */
  getService(service: ServiceId): ServiceConfig | undefined {
    return this.services.get(service);
  }

  /** Gets the ids of all configured plain services. */
  getServiceIds(): readonly ServiceId[] {
    return [...this.services.keys()];
  }

  /** Gets an engine, if it is configured. */
  getEngine(id: UpstreamId): EngineEntry | undefined {
    return this.engines.get(id);
  }

  /** Gets the ids of all configured engines. */
  getEngineIds(): readonly UpstreamId[] {
    return [...this.engines.keys()];
  }

  /** Gets a server of a plain service, if it is configured. */
  getServer(id: UpstreamId): ServerEntry | undefined {
    return this.servers.get(id);
  }

  private reuseOrCreateEngine(cfg: EngineConfig): EngineEntry {
    const previous = this.engines.get(cfg.id);
    const isUnchanged = previous !== undefined && previous.cfg.url === cfg.url;
    return { cfg, engine: isUnchanged ? previous.engine : this.gatedEngine(cfg) };
  }

  private reuseOrCreateServer(cfg: ServiceServer): ServerEntry {
    const previous = this.servers.get(cfg.id);
    const isUnchanged = previous !== undefined && previous.cfg.url === cfg.url;
    return { cfg, server: isUnchanged ? previous.server : this.gatedServer(cfg) };
  }

  private gatedEngine(cfg: EngineConfig): ModelEngine {
    const { watch } = this;
    if (watch === undefined) return this.createEngine(cfg, () => undefined);
    const engine = this.createEngine(cfg, (id, signals) => watch.record(id, signals));
    return new GatedEngine(engine, new RestGate(cfg.id, watch), new BodyGate(cfg.id, this.buffers));
  }

  private gatedServer(cfg: ServiceServer): PlainServer {
    const { watch } = this;
    if (watch === undefined) return this.createServer(cfg, () => undefined);
    const server = this.createServer(cfg, (id, signals) => watch.record(id, signals));
    return new GatedServer(server, new RestGate(cfg.id, watch), new BodyGate(cfg.id, this.buffers));
  }
}

/** Creates the entries of upstreams; one for which that throws is left out. */
function entriesOf<Config extends { readonly id: UpstreamId }, Entry>(
  cfgs: readonly Config[],
  create: (cfg: Config) => Entry,
): ReadonlyMap<UpstreamId, Entry> {
  return new Map(
    cfgs.flatMap((cfg): readonly (readonly [UpstreamId, Entry])[] => {
      const entry = contain('upstreams.create', () => create(cfg));
      return entry === undefined ? [] : [[cfg.id, entry]];
    }),
  );
}
