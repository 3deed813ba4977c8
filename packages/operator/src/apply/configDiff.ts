import type { RoutingConfig, WaitRule } from '@camphorvane/core';
import { splitConfig, stableJson, type ConfigPart } from '@camphorvane/store';

/** The unit of diffs and conflicts: a team, pool or service, the wait rules, the overload policy, or a drained zone. */
export type ItemName =
  | `team ${string}`
  | `pool ${string}`
  | `service ${string}`
  | 'wait rules'
  | 'overload'
  | `drained zone ${string}`;

/** A field of an item that differs. */
export interface FieldChange {
  readonly field: string;
  /** JSON of the old value, or undefined if the field was absent. */
  readonly before?: string;
  /** JSON of the new value, or undefined if the field is absent. */
  readonly after?: string;
}

/** The difference of one item between two configurations. */
export interface ConfigChange {
  readonly item: ItemName;
  readonly kind: 'added' | 'removed' | 'changed';
  /** The fields that differ; empty unless the kind is `changed`. */
  readonly fields: readonly FieldChange[];
}

/** The base of the first configuration. */
export const EMPTY_CONFIG: RoutingConfig = { teams: [], pools: [], services: [], waitRules: [] };

type ItemValue = object | readonly WaitRule[];

/** Value of a drained zone, which has no fields. */
const DRAINED_ZONE_VALUE: ItemValue = {};

type Items = ReadonlyMap<ItemName, ItemValue>;

/**
 * Compares two configurations.
 *
 * @param before - The older one.
 * @param after - The newer one.
 * @returns The items that differ, sorted by name; empty if the configurations are equivalent.
 */
export function diffConfigs(before: RoutingConfig, after: RoutingConfig): readonly ConfigChange[] {
  const oldValues = itemsOf(before);
  const newValues = itemsOf(after);
  const names = [...new Set([...oldValues.keys(), ...newValues.keys()])].sort();
  return names.flatMap((item) => changeOf(item, oldValues.get(item), newValues.get(item)));
}

/**
 * Gets the items on which two changes of the same base conflict.
 *
 * @param base - The common base.
 * @param theirs - The configuration after the first change.
 * @param mine - The configuration after the second change.
 * @returns The items that both sides changed to different values.
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
 * Merges two changes of the same base.
 *
 * @param base - The common base.
 * @param theirs - The configuration whose items are kept unless `mine` changed them.
 * @param mine - The configuration whose changes to the base take precedence.
 * @returns The configuration with the changes of both sides.
 */
export function mergeConfigs(
  base: RoutingConfig,
  theirs: RoutingConfig,
  mine: RoutingConfig,
): RoutingConfig {
  const changed = new Set<string>(diffConfigs(base, mine).map((change) => change.item));
  const mergeList = <T>(
    prefix: string,
    name: (value: T) => string,
    a: readonly T[],
    b: readonly T[],
  ) => [
    ...a.filter((value) => !changed.has(`${prefix} ${name(value)}`)),
    ...b.filter((value) => changed.has(`${prefix} ${name(value)}`)),
  ];
  return {
    teams: mergeList('team', (team) => team.id, theirs.teams, mine.teams),
    pools: mergeList('pool', (pool) => pool.model, theirs.pools, mine.pools),
    services: mergeList('service', (service) => service.id, theirs.services, mine.services),
    waitRules: changed.has('wait rules') ? mine.waitRules : theirs.waitRules,
    overload: changed.has('overload') ? mine.overload : theirs.overload,
    drainedZones: mergeList(
      'drained zone',
      (zone) => zone,
      theirs.drainedZones ?? [],
      mine.drainedZones ?? [],
    ),
  };
}

/** Splits as for storage, so that insignificant ordering does not count as a difference. */
function itemsOf(config: RoutingConfig): Items {
  return new Map(splitConfig(config, 1).flatMap(({ part }) => itemsOfPart(part)));
}

function itemsOfPart(part: ConfigPart): readonly (readonly [ItemName, ItemValue])[] {
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
      return part.zones.map((zone) => [`drained zone ${zone}`, DRAINED_ZONE_VALUE] as const);
    case 'overload':
      return [['overload', part.policy]];
    default:
      return part satisfies never;
  }
}

function changeOf(item: ItemName, before?: ItemValue, after?: ItemValue): readonly ConfigChange[] {
  if (before === undefined) return [{ item, kind: 'added', fields: [] }];
  if (after === undefined) return [{ item, kind: 'removed', fields: [] }];
  const fields = fieldChanges(before, after);
  return fields.length === 0 ? [] : [{ item, kind: 'changed', fields }];
}

function fieldChanges(before: ItemValue, after: ItemValue): readonly FieldChange[] {
  const oldValues = new Map(Object.entries(before));
  const newValues = new Map(Object.entries(after));
  return [...new Set([...oldValues.keys(), ...newValues.keys()])]
    .sort()
    .map((field) => ({
      field,
      before: toJson(oldValues.get(field)),
      after: toJson(newValues.get(field)),
    }))
    .filter((change) => change.before !== change.after);
}

function toJson(value: unknown): string | undefined {
  return value === undefined ? undefined : stableJson(value);
}
