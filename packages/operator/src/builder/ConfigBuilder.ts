import type {
  ModelId,
  RoutingConfig,
  ServiceId,
  TeamId,
  WaitRule,
  ZoneId,
} from '@camphorvane/core';
import type { Result } from 'neverthrow';
import type { DeclarationError } from '../declarations/DeclarationError.ts';
import { parseDeclarations } from '../declarations/parseDeclarations.ts';
import { PoolBuilder, type PoolStructure } from './PoolBuilder.ts';
import { ServiceBuilder, type ServiceStructure } from './ServiceBuilder.ts';
import { TeamBuilder, type TeamStructure } from './TeamBuilder.ts';
import { toToml } from './toToml.ts';

/**
 * Builds a configuration in code and prints it as the TOML that `camphorvane apply` takes.
 *
 * @example
 * const fleet = new ConfigBuilder();
 * fleet.addTeam({ id: 'harbour', tokensPerSecond: 4000, burstTokens: 20000 });
 * process.stdout.write(fleet.toToml());
 */
export class ConfigBuilder {
  private teams: readonly TeamBuilder[] = [];

  private pools: readonly PoolBuilder[] = [];

  private services: readonly ServiceBuilder[] = [];

  private waitRules: readonly WaitRule[] = [];

  private drainedZones: readonly ZoneId[] = [];

  /**
   * Adds a team.
   *
   * @param structure - The team.
   * @returns Its builder.
   */
  addTeam(structure: TeamStructure): TeamBuilder {
    const team = new TeamBuilder(structure);
    this.teams = [...this.teams, team];
    return team;
  }

  /**
   * Adds the pool of a model.
   *
   * @param structure - The pool without its engines.
   * @returns Its builder.
   */
  addPool(structure: PoolStructure): PoolBuilder {
    const pool = new PoolBuilder(structure);
    this.pools = [...this.pools, pool];
    return pool;
  }

  /**
   * Adds a plain service.
   *
   * @param structure - The service without its servers and routes.
   * @returns Its builder.
   */
  addService(structure: ServiceStructure): ServiceBuilder {
    const service = new ServiceBuilder(structure);
    this.services = [...this.services, service];
    return service;
  }

  /**
   * Adds a rule for how long requests of a class may wait; the first rule that matches counts.
   *
   * @param rule - The rule.
   */
  addWaitRule(rule: WaitRule): this {
    this.waitRules = [...this.waitRules, rule];
    return this;
  }

  /**
   * Takes the upstreams of an availability zone out of use; what runs there ends in its time.
   *
   * @param zone - The zone.
   */
  drainZone(zone: ZoneId): this {
    this.drainedZones = [...new Set([...this.drainedZones, zone])];
    return this;
  }

  /**
   * Gets a team.
   *
   * @param id - Its name.
   * @returns Its builder, or undefined where there is none.
   */
  getTeam(id: TeamId): TeamBuilder | undefined {
    return this.teams.find((team) => team.getId() === id);
  }

  /**
   * Gets a team, or throws where there is none of that name.
   *
   * @param id - Its name.
   */
  getTeamOrThrow(id: TeamId): TeamBuilder {
    return found(this.getTeam(id), `team ${id}`);
  }

  /**
   * Gets the pool of a model.
   *
   * @param model - The model.
   * @returns Its builder, or undefined where there is none.
   */
  getPool(model: ModelId): PoolBuilder | undefined {
    return this.pools.find((pool) => pool.getModel() === model);
  }

  /**
   * Gets the pool of a model, or throws where there is none.
   *
   * @param model - The model.
   */
  getPoolOrThrow(model: ModelId): PoolBuilder {
    return found(this.getPool(model), `pool ${model}`);
  }

  /**
   * Gets a plain service.
   *
   * @param id - Its name.
   * @returns Its builder, or undefined where there is none.
   */
  getService(id: ServiceId): ServiceBuilder | undefined {
    return this.services.find((service) => service.getId() === id);
  }

  /**
   * Gets a plain service, or throws where there is none of that name.
   *
   * @param id - Its name.
   */
  getServiceOrThrow(id: ServiceId): ServiceBuilder {
    return found(this.getService(id), `service ${id}`);
  }

  /**
   * Takes a team away, with its keys.
   *
   * @param id - Its name; one that is not there changes nothing.
   */
  removeTeam(id: TeamId): this {
    this.teams = this.teams.filter((team) => team.getId() !== id);
    return this;
  }

  /** Gets the configuration as it stands, unchecked. */
  build(): RoutingConfig {
    return {
      teams: this.teams.map((team) => team.build()),
      pools: this.pools.map((pool) => pool.build()),
      services: this.services.map((service) => service.build()),
      waitRules: this.waitRules,
      drainedZones: this.drainedZones,
    };
  }

  /** Gets the configuration as TOML, the same bytes for the same input. */
  toToml(): string {
    return toToml(this.build());
  }

  /**
   * Checks the configuration as `camphorvane check` does.
   *
   * @returns The configuration, or what is wrong with it.
   */
  check(): Result<RoutingConfig, readonly DeclarationError[]> {
    return parseDeclarations(this.toToml(), '(builder)');
  }
}

function found<T>(value: T | undefined, what: string): T {
  if (value === undefined) throw new Error(`no ${what} in this configuration`);
  return value;
}
