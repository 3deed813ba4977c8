import type { EngineConfig, Millis, ModelId } from '@camphorvane/core';
import { TOKENS_PER_PIECE } from '@camphorvane/core';
import type { EngineKnowledge, RoleView, ShiftableEngine } from '@camphorvane/decisions';
import { MEMORY_PART } from '@camphorvane/decisions';

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
  const readPerMs = health.meanReadPerMs(ids);
  const tokenMs = health.meanTokenMs(ids);
  const onTimeMs = demand.getOnTimeMs(model);
  const switchMs = engines[0]?.roleSwitchMs;
  if (readPerMs === undefined || tokenMs === undefined) return undefined;
  if (onTimeMs === undefined || switchMs === undefined) return undefined;
  const pieces = Math.min(...engines.map(({ memoryPieces }) => memoryPieces));
  return {
    engines: engines.map((cfg) => toShiftable(cfg, knowledge, now)),
    spans: demand.getSpans(model, now),
    readPerMs,
    memoryTokens: pieces * TOKENS_PER_PIECE * MEMORY_PART,
    tokenMs,
    onTimeMs,
    switchMs,
    holdBackMs,
  };
}

function toShiftable(
  { id, zone, role }: EngineConfig,
  { use, health, moves }: EngineKnowledge,
  now: Millis,
): ShiftableEngine {
  const target = moves.roleOf(id, now);
  const { prefillTokens, memoryTokens } = use.getTotal(id, now);
  return {
    id,
    zone,
    role: target ?? role,
    isChanging: target !== undefined,
    isFailing: health.isFailing(id),
    load: prefillTokens + memoryTokens,
  };
}
