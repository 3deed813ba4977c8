import { sha256Hex } from '@camphorvane/core';
import type { RoutingConfig, TeamConfig, TeamId } from '@camphorvane/core';
import { engineNames, serverNames, zoneOf } from './names.ts';
import type { Scenario } from './scenarioSchema.ts';

const SECOND_MS = 1000;

/** Gets the key that a team's callers show. */
export function keyOf(team: TeamId): string {
  return `cvk_scenario_${team}_${sha256Hex(team).slice(0, 24)}`;
}

function teamConfig(team: Scenario['team'][number]): TeamConfig {
  return {
    id: team.id,
    rate: { tokensPerSecond: team.rate, burstTokens: team.burst },
    keyDigests: [sha256Hex(keyOf(team.id))],
    models: team.models,
    weight: team.weight,
  };
}

/**
 * Gets the configuration that a scenario declares.
 *
 * @param scenario - The scenario.
 * @returns What is applied before time 0.
 */
export function routingConfigOf(scenario: Scenario): RoutingConfig {
  return {
    teams: scenario.team.map(teamConfig),
    pools: scenario.pool.map((pool) => ({
      model: pool.model,
      engines: engineNames(pool).map(({ id, role }, index) => ({
        id,
        url: `http://engine.invalid/${id}`,
        zone: zoneOf(scenario, index),
        role,
        memoryPieces: pool.memory_pieces,
        checksFencing: pool.checks_fencing,
      })),
      maxTokens: pool.max_tokens,
      ttftTargetMs: pool.first_token_target * SECOND_MS,
      itlTargetMs: pool.between_tokens_target * SECOND_MS,
      linkPiecesPerSecond: pool.link_pieces_per_second,
    })),
    services: scenario.service.map((service) => ({
      id: service.id,
      servers: serverNames(service).map((id, index) => ({
        id,
        url: `http://server.invalid/${id}`,
        zone: zoneOf(scenario, index),
        maxConcurrent: service.max_concurrent,
      })),
      routes: service.route.map(({ method, path, idempotent, class: cls, cost }) => ({
        method,
        path,
        idempotent,
        class: cls,
        costTokens: cost,
      })),
      timeoutMs: service.timeout * SECOND_MS,
    })),
    waitRules: scenario.wait_rule.map((rule) => ({
      team: rule.team,
      model: rule.model,
      class: rule.class,
      maxWaitMs: rule.max_wait * SECOND_MS,
    })),
  };
}
