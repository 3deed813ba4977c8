import type { Clock, UpstreamId } from '@camphorvane/core';
import {
  EngineCore,
  engineSettings,
  ServiceCore,
  serviceSettings,
  type EngineFaults,
  type ExecutionRecord,
  type ServiceSettings,
} from '@camphorvane/stand-ins';
import { engineNames, serverNames } from '../language/names.ts';
import type { Scenario } from '../language/scenarioSchema.ts';

const SECOND_MS = 1000;

type Pool = Scenario['pool'][number];
type Service = Scenario['service'][number];

/** The stand-in engines and servers of a scenario. */
export class Upstreams {
  private readonly engines: ReadonlyMap<UpstreamId, EngineCore>;

  private readonly servers: ReadonlyMap<UpstreamId, ServiceCore>;

  /**
   * @param scenario - Declares them.
   * @param clock - The world's clock.
   * @param servers - Changes how servers behave, to show that checks can fail.
   */
  constructor(scenario: Scenario, clock: Clock, servers: Partial<ServiceSettings> = {}) {
    this.engines = new Map(scenario.pool.flatMap((pool) => this.enginesOf(pool, clock)));
    this.servers = new Map(
      scenario.service.flatMap((service) => serversOf(service, clock, servers)),
    );
  }

  /** Gets an engine. */
  engine(id: UpstreamId): EngineCore {
    return found(this.engines.get(id), id);
  }

  /** Gets a server of a plain service. */
  server(id: UpstreamId): ServiceCore {
    return found(this.servers.get(id), id);
  }

  /** Gets an engine or a server. */
  any(id: UpstreamId): EngineCore | ServiceCore {
    return this.engines.get(id) ?? this.server(id);
  }

  /** Changes what is wrong with all upstreams. */
  setFaults(change: Partial<EngineFaults>): void {
    [...this.engines.values(), ...this.servers.values()].forEach((upstream) =>
      upstream.setFaults(change),
    );
  }

  /** Gets all engines. */
  allEngines(): readonly EngineCore[] {
    return [...this.engines.values()];
  }

  /** Gets everything that ran anywhere, in order of time. */
  records(): readonly ExecutionRecord[] {
    return [...this.engines.values(), ...this.servers.values()]
      .flatMap((upstream) => upstream.records)
      .sort((a, b) => a.at - b.at);
  }

  private enginesOf(pool: Pool, clock: Clock): readonly (readonly [UpstreamId, EngineCore])[] {
    return engineNames(pool).map(({ id, role }) => {
      const settings = engineSettings({
        id,
        role,
        memoryPieces: pool.memory_pieces,
        checksFencing: pool.checks_fencing,
        linkPiecesPerSecond: pool.link_pieces_per_second,
        restartMs: pool.restart_after * SECOND_MS,
      });
      const source = (url: string, handle: string) => Promise.resolve(this.exported(url, handle));
      return [id, new EngineCore(settings, clock, source)] as const;
    });
  }

  private exported(url: string, handle: string): ReturnType<EngineCore['exportKv']> {
    const id = url.slice(url.lastIndexOf('/') + 1);
    return this.engines.get(id)?.exportKv(handle);
  }
}

function serversOf(
  service: Service,
  clock: Clock,
  change: Partial<ServiceSettings>,
): readonly (readonly [UpstreamId, ServiceCore])[] {
  return serverNames(service).map((id) => {
    const settings = serviceSettings({
      id,
      delayMs: service.delay * SECOND_MS,
      restartMs: service.restart_after * SECOND_MS,
      ...change,
    });
    return [id, new ServiceCore(settings, clock)] as const;
  });
}

function found<T>(value: T | undefined, id: UpstreamId): T {
  if (value === undefined) throw new Error(`no upstream ${id} in this scenario`);
  return value;
}
