import type {
  EngineConfig,
  OverloadPolicy,
  PoolConfig,
  RoutingConfig,
  ServiceConfig,
  ServiceServer,
  SlowStartBounds,
  SoftwareVersion,
  ZoneId,
} from '@camphorvane/core';
import { TOKENS_PER_PIECE } from '@camphorvane/core';
import type {
  DeployedConfig,
  DeployedEngines,
  DeployedService,
  ServerRecord,
} from '@camphorvane/store';

/** Time to first token target of a pool whose targets are set per route, in milliseconds. */
const POOL_TTFT_TARGET_MS = 1_000;

/** Token interval target of a pool whose targets are set per route, in milliseconds. */
const POOL_ITL_TARGET_MS = 100;

/** Timeout of one attempt at a plain server, in milliseconds; each route has its own, shorter one. */
const SERVICE_TIMEOUT_MS = 60_000;

const UNKNOWN_VERSION: SoftwareVersion = { type: 'unknown' };

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;

/**
 * Combines a configuration and the listed servers into a routing configuration.
 *
 * @param config - The configuration.
 * @param servers - All listed servers.
 * @param drainedZones - Availability zones whose servers get no work.
 * @param overload - The controls for overload that the host's settings switch on.
 * @returns The routing configuration.
 */
export function composeRouting(
  config: DeployedConfig,
  servers: readonly ServerRecord[],
  drainedZones: readonly ZoneId[],
  overload?: OverloadPolicy,
): RoutingConfig {
  const listedOf = (service: DeployedService): readonly ServerRecord[] =>
    servers.filter((server) => server.service === service.id);
  const serversOf = (service: DeployedService): readonly ServerRecord[] =>
    listedOf(service).filter((server) => !server.leaving);
  return {
    teams: config.teams,
    routes: config.routes,
    limits: config.limits,
    waitRules: [],
    drainedZones,
    overload,
    pools: config.services.flatMap((service) =>
      service.engines === undefined ? [] : [poolOf(service, service.engines, listedOf(service))],
    ),
    services: config.services
      .filter((service) => service.engines === undefined)
      .map((service) => serviceOf(service, serversOf(service))),
  };
}

function poolOf(
  service: DeployedService,
  engines: DeployedEngines,
  listed: readonly ServerRecord[],
): PoolConfig {
  const servers = listed.filter((server) => !server.leaving);
  const bitsPerPiece = engines.tokenBytes * TOKENS_PER_PIECE * BITS_PER_BYTE;
  return {
    model: service.id,
    engines: servers.map((server) => engineOf(server, engines, service.slowStart)),
    maxTokens: engines.memoryTokens,
    ttftTargetMs: POOL_TTFT_TARGET_MS,
    itlTargetMs: POOL_ITL_TARGET_MS,
    linkPiecesPerSecond: (engines.linkMbps * BITS_PER_MEGABIT) / bitsPerPiece,
    relocation: engines.relocation,
    softwareVersions:
      engines.haveVersions === true
        ? listed.map(({ softwareVersion = UNKNOWN_VERSION }) => softwareVersion)
        : undefined,
  };
}

function engineOf(
  server: ServerRecord,
  engines: DeployedEngines,
  slowStart: SlowStartBounds | undefined,
): EngineConfig {
  return {
    id: server.id,
    url: `http://${server.address}`,
    zone: server.zone,
    role: server.role ?? 'decode',
    memoryPieces: Math.floor(engines.memoryTokens / TOKENS_PER_PIECE),
    slots: server.slots,
    checksFencing: false,
    roleSwitchMs: engines.roleSwitchMs,
    eventTokens: engines.eventTokens,
    slowStart,
    softwareVersion: server.softwareVersion,
  };
}

function serviceOf(service: DeployedService, servers: readonly ServerRecord[]): ServiceConfig {
  return {
    id: service.id,
    routes: [],
    timeoutMs: SERVICE_TIMEOUT_MS,
    servers: servers.map((server): ServiceServer => ({
      id: server.id,
      url: `http://${server.address}`,
      zone: server.zone,
      maxConcurrent: server.slots,
      slowStart: service.slowStart,
    })),
  };
}
