import type {
  EngineConfig,
  ModelId,
  PoolConfig,
  RoutingConfig,
  ServiceConfig,
  ServiceId,
  ServiceServer,
  UpstreamId,
  ZoneId,
} from '@camphorvane/core';
import type { ModelEngine, PlainServer } from '@camphorvane/upstream';
import type { EngineFactory, PlainServerFactory } from './ports.ts';

/** An engine of the configuration with its client. */
export interface DirectoryEngine {
  readonly cfg: EngineConfig;
  readonly engine: ModelEngine;
}

/** A server of a plain service with its client. */
export interface DirectoryServer {
  readonly cfg: ServiceServer;
  readonly server: PlainServer;
}

/** The upstreams of the configuration in force, with one client each. */
export class UpstreamDirectory {
  private readonly makeEngine: EngineFactory;

  private readonly makeServer: PlainServerFactory;

  private engines: ReadonlyMap<UpstreamId, DirectoryEngine> = new Map();

  private servers: ReadonlyMap<UpstreamId, DirectoryServer> = new Map();

  private pools: ReadonlyMap<ModelId, PoolConfig> = new Map();

  private services: ReadonlyMap<ServiceId, ServiceConfig> = new Map();

  /**
   * @param makeEngine - Makes the client of an engine.
   * @param makeServer - Makes the client of a server.
   */
  constructor(makeEngine: EngineFactory, makeServer: PlainServerFactory) {
    this.makeEngine = makeEngine;
    this.makeServer = makeServer;
  }

  /**
   * Takes a configuration into force; clients whose address is unchanged are kept. Upstreams of drained
   * zones are left out, so that placing, capacity and roles go by what remains.
   *
   * @param config - The configuration.
   */
  reshape(config: RoutingConfig): void {
    const { drainedZones = [] } = config;
    const isUsed = ({ zone }: { readonly zone: ZoneId }): boolean => !drainedZones.includes(zone);
    const pools = config.pools.map((pool) => ({ ...pool, engines: pool.engines.filter(isUsed) }));
    const services = config.services.map((service) => ({
      ...service,
      servers: service.servers.filter(isUsed),
    }));
    this.pools = new Map(pools.map((pool) => [pool.model, pool]));
    this.services = new Map(services.map((service) => [service.id, service]));
    const engineCfgs = pools.flatMap((pool) => pool.engines);
    this.engines = new Map(engineCfgs.map((cfg) => [cfg.id, this.keepEngine(cfg)]));
    const serverCfgs = services.flatMap((service) => service.servers);
    this.servers = new Map(serverCfgs.map((cfg) => [cfg.id, this.keepServer(cfg)]));
  }

  /** Gets the models of all pools. */
  getModels(): readonly ModelId[] {
    return [...this.pools.keys()];
  }

  /** Gets the pool of a model, if there is one. */
  getPool(model: ModelId): PoolConfig | undefined {
    return this.pools.get(model);
  }

  /** Gets a plain service, if there is one. */
  getService(service: ServiceId): ServiceConfig | undefined {
    return this.services.get(service);
  }

  /** Gets an engine, if the configuration has it. */
  getEngine(id: UpstreamId): DirectoryEngine | undefined {
    return this.engines.get(id);
  }

  /** Gets the names of all engines of the configuration. */
  getEngineIds(): readonly UpstreamId[] {
    return [...this.engines.keys()];
  }

  /** Gets a server of a plain service, if the configuration has it. */
  getServer(id: UpstreamId): DirectoryServer | undefined {
    return this.servers.get(id);
  }

  private keepEngine(cfg: EngineConfig): DirectoryEngine {
    const old = this.engines.get(cfg.id);
    const same = old !== undefined && old.cfg.url === cfg.url;
    return { cfg, engine: same ? old.engine : this.makeEngine(cfg) };
  }

  private keepServer(cfg: ServiceServer): DirectoryServer {
    const old = this.servers.get(cfg.id);
    const same = old !== undefined && old.cfg.url === cfg.url;
    return { cfg, server: same ? old.server : this.makeServer(cfg) };
  }
}
