import type { RoutingConfig, WaitRule } from '@camphorvane/core';
import { splitConfig, stableJson, type ConfigPart } from '@camphorvane/store';

/** What operators change and conflict on: a team, pool or service, the wait rules, or a drained zone. */
export type ItemName =
  | `team ${string}`
  | `pool ${string}`
  | `service ${string}`
  | 'wait rules'
  | `drained zone ${string}`;

/** One field of an item that differs. */
export interface FieldChange {
  readonly field: string;
  /** JSON of the value, or undefined where the field is not there. */
  readonly before?: string;
  readonly after?: string;
}

/** How one item differs between two configurations. */
export interface ConfigChange {
  readonly item: ItemName;
  readonly kind: 'added' | 'removed' | 'changed';
  /** The fields that differ; empty unless the kind is `changed`. */
  readonly fields: readonly FieldChange[];
}

/** Stands for the configuration before the first one. */
export const EMPTY_CONFIG: RoutingConfig = { teams: [], pools: [], services: [], waitRules: [] };

type Value = object | readonly WaitRule[];

/** What is said of a drained zone: it is drained, and that is all. */
const DRAINED: Value = {};

type Items = ReadonlyMap<ItemName, Value>;

/**
 * Gets how two configurations differ.
 *
 * @param before - The older one.
 * @param after - The newer one.
 * @returns The items that differ, by name; empty where both say the same.
 */
export function diffConfigs(before: RoutingConfig, after: RoutingConfig): readonly ConfigChange[] {
  const old = itemsOf(before);
  const fresh = itemsOf(after);
  const names = [...new Set([...old.keys(), ...fresh.keys()])].sort();
  return names.flatMap((item) => changeOf(item, old.get(item), fresh.get(item)));
}

/**
 * Gets the items that two sides changed differently.
 *
 * @param base - What both started from.
 * @param theirs - What one side made of it.
 * @param mine - What the other side made of it.
 * @returns The items that both changed, and not to the same value.
 */
export function conflictingItems(
  base: RoutingConfig,
  theirs: RoutingConfig,
  mine: RoutingConfig,
): readonly ItemName[] {
  const changed = new Set(diffConfigs(base, theirs).map((change) => change.item));
  const differing = new Set(diffConfigs(theirs, mine).map((change) => change.item));
  return diffConfigs(base, mine)
    .map((change) => change.item)
    .filter((item) => changed.has(item) && differing.has(item));
}

/**
 * Puts one side's changes on top of the other's.
 *
 * @param base - What both started from.
 * @param theirs - The configuration that is kept where it was not changed by the other side.
 * @param mine - The side whose changes are taken.
 * @returns The configuration with the changes of both.
 */
export function mergeConfigs(
  base: RoutingConfig,
  theirs: RoutingConfig,
  mine: RoutingConfig,
): RoutingConfig {
  const changed = new Set<string>(diffConfigs(base, mine).map((change) => change.item));
  const pick = <T>(
    prefix: string,
    name: (value: T) => string,
    a: readonly T[],
    b: readonly T[],
  ) => [
    ...a.filter((value) => !changed.has(`${prefix} ${name(value)}`)),
    ...b.filter((value) => changed.has(`${prefix} ${name(value)}`)),
  ];
  return {
    teams: pick('team', (team) => team.id, theirs.teams, mine.teams),
    pools: pick('pool', (pool) => pool.model, theirs.pools, mine.pools),
    services: pick('service', (service) => service.id, theirs.services, mine.services),
    waitRules: changed.has('wait rules') ? mine.waitRules : theirs.waitRules,
    drainedZones: pick(
      'drained zone',
      (zone) => zone,
      theirs.drainedZones ?? [],
      mine.drainedZones ?? [],
    ),
  };
}

/** Uses the split of the stored form, so that order that does not matter makes no difference. */
function itemsOf(config: RoutingConfig): Items {
  return new Map(splitConfig(config, 1).flatMap(({ part }) => itemsOfPart(part)));
}

function itemsOfPart(part: ConfigPart): readonly (readonly [ItemName, Value])[] {
  switch (part.type) {
    case 'teams':
      return part.teams.map((team) => [`team ${team.id}`, team] as const);
    case 'pool':
      return [[`pool ${part.pool.model}`, part.pool]];
    case 'service':
      return [[`service ${part.service.id}`, part.service]];
    case 'wait_rules':
      return [['wait rules', part.rules]];
    case 'drained_zones':
      return part.zones.map((zone) => [`drained zone ${zone}`, DRAINED] as const);
    default:
      return part satisfies never;
  }
}

function changeOf(item: ItemName, before?: Value, after?: Value): readonly ConfigChange[] {
  if (before === undefined) return [{ item, kind: 'added', fields: [] }];
  if (after === undefined) return [{ item, kind: 'removed', fields: [] }];
  const fields = fieldChanges(before, after);
  return fields.length === 0 ? [] : [{ item, kind: 'changed', fields }];
}

function fieldChanges(before: Value, after: Value): readonly FieldChange[] {
  const old = new Map(Object.entries(before));
  const fresh = new Map(Object.entries(after));
  return [...new Set([...old.keys(), ...fresh.keys()])]
    .sort()
    .map((field) => ({ field, before: json(old.get(field)), after: json(fresh.get(field)) }))
    .filter((change) => change.before !== change.after);
}

function json(value: unknown): string | undefined {
  return value === undefined ? undefined : stableJson(value);
}
