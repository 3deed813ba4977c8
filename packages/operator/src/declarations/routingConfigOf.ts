import type { OverloadPolicy, RoutingConfig } from '@camphorvane/core';
import type { Declarations } from './declarationSchema.ts';

/**
 * Converts declarations to a routing configuration.
 *
 * @param declarations - Declarations that conform to the schema.
 * @returns The configuration, with entries in the order of the declarations.
 */
export function routingConfigOf(declarations: Declarations): RoutingConfig {
  return {
    teams: declarations.teams.map((team) => ({
      id: team.id,
      rate: { tokensPerSecond: team.tokens_per_second, burstTokens: team.burst_tokens },
      keyDigests: team.key_digests,
      models: team.models,
      weight: team.weight,
    })),
    pools: declarations.pools.map((pool) => ({
      model: pool.model,
      engines: pool.engines.map((engine) => ({
        id: engine.id,
        url: engine.url,
        zone: engine.zone,
        role: engine.role,
        memoryPieces: engine.memory_pieces,
        checksFencing: engine.checks_fencing,
      })),
      maxTokens: pool.max_tokens,
      ttftTargetMs: pool.ttft_target_ms,
      itlTargetMs: pool.itl_target_ms,
      linkPiecesPerSecond: pool.link_pieces_per_second,
    })),
    services: declarations.services.map((service) => ({
      id: service.id,
      servers: service.servers.map((server) => ({
        id: server.id,
        url: server.url,
        zone: server.zone,
        maxConcurrent: server.max_concurrent,
      })),
      routes: service.routes.map((route) => ({
        method: route.method,
        path: route.path,
        idempotent: route.idempotent,
        class: route.class,
        costTokens: route.cost_tokens,
      })),
      timeoutMs: service.timeout_ms,
    })),
    waitRules: declarations.wait_rules.map((rule) => ({
      ...(rule.team === undefined ? {} : { team: rule.team }),
      ...(rule.model === undefined ? {} : { model: rule.model }),
      class: rule.class,
      maxWaitMs: rule.max_wait_ms,
    })),
    drainedZones: declarations.drained_zones,
    ...(declarations.overload === undefined
      ? {}
      : { overload: overloadPolicyOf(declarations.overload) }),
  };
}

/**
 * Converts a routing configuration to declarations; the inverse of {@link routingConfigOf}.
 *
 * @param config - The configuration.
 * @returns Declarations with their keys in the order of docs/CONFIG.md.
 */
export function declarationsOf(config: RoutingConfig): Declarations {
  return {
    teams: config.teams.map((team) => ({
      id: team.id,
      tokens_per_second: team.rate.tokensPerSecond,
      burst_tokens: team.rate.burstTokens,
      key_digests: [...team.keyDigests],
      models: [...team.models],
      weight: team.weight,
    })),
    pools: config.pools.map((pool) => ({
      model: pool.model,
      max_tokens: pool.maxTokens,
      ttft_target_ms: pool.ttftTargetMs,
      itl_target_ms: pool.itlTargetMs,
      link_pieces_per_second: pool.linkPiecesPerSecond,
      engines: pool.engines.map((engine) => ({
        id: engine.id,
        url: engine.url,
        zone: engine.zone,
        role: engine.role,
        memory_pieces: engine.memoryPieces,
        checks_fencing: engine.checksFencing,
      })),
    })),
    services: config.services.map((service) => ({
      id: service.id,
      timeout_ms: service.timeoutMs,
      servers: service.servers.map((server) => ({
        id: server.id,
        url: server.url,
        zone: server.zone,
        max_concurrent: server.maxConcurrent,
      })),
      routes: service.routes.map((route) => ({
        method: route.method,
        path: route.path,
        idempotent: route.idempotent,
        class: route.class,
        cost_tokens: route.costTokens,
      })),
    })),
    wait_rules: config.waitRules.map((rule) => ({
      ...(rule.team === undefined ? {} : { team: rule.team }),
      ...(rule.model === undefined ? {} : { model: rule.model }),
      class: rule.class,
      max_wait_ms: rule.maxWaitMs,
    })),
    drained_zones: [...(config.drainedZones ?? [])],
    ...(config.overload === undefined ? {} : { overload: overloadTableOf(config.overload) }),
  };
}

function overloadPolicyOf(table: NonNullable<Declarations['overload']>): OverloadPolicy {
  return {
    admission: table.admission,
    returnTurns: table.return_turns,
    fairShares: table.fair_shares,
    boundedBuffers: table.bounded_buffers,
    completionTimes: table.completion_times,
    streamMoves: table.stream_moves,
    streamBackups: table.stream_backups,
  };
}

function overloadTableOf(policy: OverloadPolicy): NonNullable<Declarations['overload']> {
  return {
    admission: policy.admission,
    return_turns: policy.returnTurns,
    fair_shares: policy.fairShares,
    bounded_buffers: policy.boundedBuffers,
    completion_times: policy.completionTimes,
    stream_moves: policy.streamMoves,
    stream_backups: policy.streamBackups,
  };
}
