import type {
  ModelId,
  OverloadPolicy,
  RoutingConfig,
  ServiceId,
  TeamId,
  WaitRule,
  ZoneId,
} from '@camphorvane/core';
import { NO_OVERLOAD_POLICY } from '@camphorvane/core';
import type { Result } from 'neverthrow';
import type { DeclarationError } from '../declarations/DeclarationError.ts';
import { parseDeclarations } from '../declarations/parseDeclarations.ts';
import { PoolBuilder, type PoolStructure } from './PoolBuilder.ts';
import { ServiceBuilder, type ServiceStructure } from './ServiceBuilder.ts';
import { TeamBuilder, type TeamStructure } from './TeamBuilder.ts';
import { toToml } from './toToml.ts';

/**
 * Builds a configuration in code and prints it as TOML for `camphorvane apply`.
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

  private overload: OverloadPolicy | undefined;

  /**
   * Adds a team.
   *
   * @param structure - The team's settings.
   * @returns The team's builder.
   */
  addTeam(structure: TeamStructure): TeamBuilder {
    const team = new TeamBuilder(structure);
    this.teams = [...this.teams, team];
    return team;
  }

  /**
   * Adds the pool of a model.
   *
   * @param structure - The pool's settings, without engines.
   * @returns The pool's builder.
   */
  addPool(structure: PoolStructure): PoolBuilder {
    const pool = new PoolBuilder(structure);
    this.pools = [...this.pools, pool];
    return pool;
  }

  /**
   * Adds a plain service.
   *
   * @param structure - The service's settings, without servers and routes.
   * @returns The service's builder.
   */
  addService(structure: ServiceStructure): ServiceBuilder {
    const service = new ServiceBuilder(structure);
    this.services = [...this.services, service];
    return service;
  }

  /**
   * Adds a queue wait limit for requests of a class; the first matching rule applies.
   *
   * @param rule - The rule.
   */
  addWaitRule(rule: WaitRule): this {
    this.waitRules = [...this.waitRules, rule];
    return this;
  }

  /**
   * Stops new dispatches to the upstreams of an availability zone; requests in flight complete.
   *
   * @param zone - The zone.
   */
  drainZone(zone: ZoneId): this {
    this.drainedZones = [...new Set([...this.drainedZones, zone])];
    return this;
  }

  /**
   * Switches controls for overload on or off; the others stay as they are.
   *
   * @param changes - The controls to change.
   */
  setOverload(changes: Partial<OverloadPolicy>): this {
    this.overload = { ...(this.overload ?? NO_OVERLOAD_POLICY), ...changes };
    return this;
  }

  /**
   * Gets the builder of a team.
   *
   * @param id - The team's name.
   * @returns The builder, or undefined if there is no such team.
   */
  getTeam(id: TeamId): TeamBuilder | undefined {
    return this.teams.find((team) => team.getId() === id);
  }

  /**
   * Gets the builder of a team, or throws if there is no such team.
   *
   * @param id - The team's name.
   */
  getTeamOrThrow(id: TeamId): TeamBuilder {
    return orThrow(this.getTeam(id), `team ${id}`);
  }

  /**
   * Gets the builder of the pool of a model.
   *
   * @param model - The model.
   * @returns The builder, or undefined if there is no such pool.
   */
  getPool(model: ModelId): PoolBuilder | undefined {
    return this.pools.find((pool) => pool.getModel() === model);
  }

  /**
   * Gets the builder of the pool of a model, or throws if there is no such pool.
   *
   * @param model - The model.
   */
  getPoolOrThrow(model: ModelId): PoolBuilder {
    return orThrow(this.getPool(model), `pool ${model}`);
  }

  /**
   * Gets the builder of a plain service.
   *
   * @param id - The service's name.
   * @returns The builder, or undefined if there is no such service.
   */
  getService(id: ServiceId): ServiceBuilder | undefined {
    return this.services.find((service) => service.getId() === id);
  }

  /**
   * Gets the builder of a plain service, or throws if there is no such service.
   *
   * @param id - The service's name.
   */
  getServiceOrThrow(id: ServiceId): ServiceBuilder {
    return orThrow(this.getService(id), `service ${id}`);
  }

  /**
   * Removes a team with its keys.
   *
   * @param id - The team's name; an unknown name has no effect.
   */
  removeTeam(id: TeamId): this {
    this.teams = this.teams.filter((team) => team.getId() !== id);
    return this;
  }

  /** Gets the configuration without validating it. */
  build(): RoutingConfig {
    return {
      teams: this.teams.map((team) => team.build()),
      pools: this.pools.map((pool) => pool.build()),
      services: this.services.map((service) => service.build()),
      waitRules: this.waitRules,
      drainedZones: this.drainedZones,
      ...(this.overload === undefined ? {} : { overload: this.overload }),
    };
  }

  /** Gets the configuration as TOML; the output is deterministic. */
  toToml(): string {
    return toToml(this.build());
  }

  /**
   * Validates the configuration as `camphorvane check` does.
   *
   * @returns The configuration, or its errors.
   */
  check(): Result<RoutingConfig, readonly DeclarationError[]> {
    return parseDeclarations(this.toToml(), '(builder)');
  }
}

function orThrow<T>(value: T | undefined, what: string): T {
  if (value === undefined) throw new Error(`no ${what} in this configuration`);
  return value;
}
