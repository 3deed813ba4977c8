import type { Millis, PoolConfig, RoutingConfig, TeamId, WorkClass } from '@camphorvane/core';

/** Waits allowed where no rule says otherwise, in milliseconds. */
const DEFAULT_CERTIFICATE_WAIT_MS: Millis = 5_000;
const DEFAULT_SUMMARY_WAIT_MS: Millis = 120_000;

/**
 * Gets how long a request may wait for its place: by the first rule that matches, else by class.
 *
 * @param config - The configuration in force.
 * @param pool - The pool that is asked for.
 * @param team - The team that asks.
 * @param cls - The class of the work.
 * @returns Milliseconds.
 */
export function waitBound(
  config: RoutingConfig,
  pool: PoolConfig,
  team: TeamId,
  cls: WorkClass,
): Millis {
  const rule = config.waitRules.find(
    (one) =>
      one.class === cls &&
      (one.team === undefined || one.team === team) &&
      (one.model === undefined || one.model === pool.model),
  );
  return rule?.maxWaitMs ?? defaultWait(pool, cls);
}

function defaultWait(pool: PoolConfig, cls: WorkClass): Millis {
  switch (cls) {
    case 'lookup':
      return pool.ttftTargetMs;
    case 'certificate':
      return DEFAULT_CERTIFICATE_WAIT_MS;
    case 'summary':
      return DEFAULT_SUMMARY_WAIT_MS;
    default:
      return cls satisfies never;
  }
}
