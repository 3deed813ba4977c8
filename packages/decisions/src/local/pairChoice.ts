import type { EngineConfig, Millis, UpstreamId } from '@camphorvane/core';
import { bindingTo, mayRunOn } from '../versions/StreamBinding.ts';

/** The engines chosen for a request. */
export interface EnginePair {
  /** Undefined where the decode engine does the prefill itself. */
  readonly prefill: UpstreamId | undefined;
  readonly decode: UpstreamId;
  /** Expected time until the prefill has ended, in milliseconds, including the prompts ahead of it. */
  readonly expectedPrefillMs: Millis;
}

/**
 * Cost of a KV transfer between zones, in milliseconds of waiting. It takes twice as long as a transfer
 * within a zone, and its bytes cost three times as much.
 */
const CROSS_ZONE_COST_MS: Millis = 40;

/**
 * Cost of a KV transfer between engines of two software versions, in milliseconds of waiting. What one version reads
 * the other may read in another way, so pairs of one version are used where that delays nothing much.
 */
const CROSS_VERSION_COST_MS: Millis = 40;

/** Cost of a full engine, in milliseconds of waiting: decode steps get longer as it fills. */
export const FULL_ENGINE_COST_MS: Millis = 250;

/** An engine that may read the prompt. */
export interface PrefillOption {
  readonly cfg: EngineConfig;
  /** Expected time until the prefill has ended, in milliseconds. */
  readonly prefillMs: Millis;
  /** Cost of a reluctant engine; 0 for others. */
  readonly reluctanceMs: Millis;
}

/** An engine that may generate the output. */
export interface DecodeOption {
  readonly cfg: EngineConfig;
  /** Fraction of the memory that is in use once the request has been placed. */
  readonly memoryFill: number;
  readonly streams: number;
  /** Whether the engine has a prompt to prefill already. */
  readonly isPrefilling: boolean;
  /** Cost of a reluctant engine, less the gain of a fast one; 0 for others. */
  readonly reluctanceMs: Millis;
}

/** Engines for a request, with what they cost. */
export interface Choice {
  readonly pair: EnginePair;
  /** Expected wait plus the costs above, in milliseconds. */
  readonly cost: Millis;
}

/** Gets the choice of a prefill engine and a decode engine. */
export function disaggregatedChoice(prefill: PrefillOption, decode: DecodeOption): Choice {
  const zoneCostMs = prefill.cfg.zone === decode.cfg.zone ? 0 : CROSS_ZONE_COST_MS;
  const versionCostMs = haveOneVersion(prefill.cfg, decode.cfg) ? 0 : CROSS_VERSION_COST_MS;
  return {
    pair: { prefill: prefill.cfg.id, decode: decode.cfg.id, expectedPrefillMs: prefill.prefillMs },
    cost:
      prefill.prefillMs +
      zoneCostMs +
      versionCostMs +
      decode.memoryFill * FULL_ENGINE_COST_MS +
      prefill.reluctanceMs +
      decode.reluctanceMs,
  };
}

function haveOneVersion(a: EngineConfig, b: EngineConfig): boolean {
  return mayRunOn(bindingTo(a.softwareVersion), b.softwareVersion);
}

/** Gets the cheaper of two choices. */
export function cheaper(best: Choice | undefined, choice: Choice): Choice {
  return best === undefined || choice.cost < best.cost ? choice : best;
}
