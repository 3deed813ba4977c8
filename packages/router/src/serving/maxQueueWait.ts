import type { Millis, PoolConfig, RoutingConfig, TeamId, WorkClass } from '@camphorvane/core';

/** Milliseconds that a certificate may wait where no rule matches. */
const DEFAULT_CERTIFICATE_WAIT_MS: Millis = 5_000;

/** Milliseconds that a summary may wait where no rule matches. */
const DEFAULT_SUMMARY_WAIT_MS: Millis = 120_000;

/**
 * Gets how long a request may wait in the queue: by the first wait rule that matches, else by its class.
 *
 * @param config - The configuration in force.
 * @param pool - The requested pool.
 * @param team - The team of the caller.
 * @param cls - The class of the request.
 * @returns The longest wait in milliseconds.
 */
export function maxQueueWait(
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
