import type { EngineConfig, Millis, ModelId } from '@camphorvane/core';
import { TOKENS_PER_PIECE } from '@camphorvane/core';
import type { EngineKnowledge, RoleView, EngineRoleState } from '@camphorvane/decisions';
import { MEMORY_FILL_LIMIT } from '@camphorvane/decisions';

/** Inputs of {@link roleView}. */
export interface RoleViewSources {
  readonly model: ModelId;
  readonly engines: readonly EngineConfig[];
  readonly knowledge: EngineKnowledge;
  /** See {@link RoleView.holdBackMs}. */
  readonly holdBackMs: Millis;
  readonly now: Millis;
}

/**
 * Builds the view of a pool on which its engine roles are decided.
 *
 * @param sources - The pool and this host's state of its engines.
 * @returns The view; undefined until engine speeds and the time that requests may wait are known, or
 *   where the engines can't change roles.
 */
export function roleView(sources: RoleViewSources): RoleView | undefined {
  const { model, engines, knowledge, holdBackMs, now } = sources;
  const { health, demand } = knowledge;
  const ids = engines.map(({ id }) => id);
  const prefillTokensPerMs = health.meanPrefillTokensPerMs(ids);
  const tokenIntervalMs = health.meanTokenIntervalMs(ids);
  const onTimeMs = demand.getOnTimeMs(model);
  const roleSwitchMs = engines[0]?.roleSwitchMs;
  if (prefillTokensPerMs === undefined || tokenIntervalMs === undefined) return undefined;
  if (onTimeMs === undefined || roleSwitchMs === undefined) return undefined;
  const pieces = Math.min(...engines.map(({ memoryPieces }) => memoryPieces));
  return {
    engines: engines.map((cfg) => toRoleState(cfg, knowledge, now)),
    buckets: demand.getBuckets(model, now),
    prefillTokensPerMs,
    memoryTokens: pieces * TOKENS_PER_PIECE * MEMORY_FILL_LIMIT,
    tokenIntervalMs,
    onTimeMs,
    roleSwitchMs,
    holdBackMs,
  };
}

function toRoleState(
  { id, zone, role }: EngineConfig,
  { inFlight, health, roleChanges }: EngineKnowledge,
  now: Millis,
): EngineRoleState {
  const target = roleChanges.getTargetRole(id, now);
  const { prefillTokens, memoryTokens } = inFlight.getTotal(id, now);
  return {
    id,
    zone,
    role: target ?? role,
    isChanging: target !== undefined,
    isFailing: health.isFailing(id),
    load: prefillTokens + memoryTokens,
  };
}
