import type { EngineRole, Millis, Pieces, UpstreamId } from '@camphorvane/core';

/** Behavior of a stand-in engine without faults. */
export interface EngineSettings {
  readonly id: UpstreamId;
  readonly role: EngineRole;
  readonly memoryPieces: Pieces;
  /** True if orders with a stale fencing token are rejected. */
  readonly checksFencing: boolean;
  readonly prefillOverheadMs: Millis;
  readonly prefillMsPerToken: Millis;
  /** Duration of a decode step with an empty batch. */
  readonly decodeBaseMs: Millis;
  /** Added to the duration of a decode step for each stream in the batch. */
  readonly decodePerStreamMs: Millis;
  /** TTL of the KV cache that a prefill leaves. */
  readonly kvTtlMs: Millis;
  readonly linkPiecesPerSecond: number;
  readonly reportLagMs: Millis;
  /** Capacity of the prefix cache, in blocks of {@link BLOCK_CHARS} characters. */
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: Millis;
  /** Every n-th cache event is lost; 0 loses none. */
  readonly cacheEventLossInterval: number;
  /** Time from a crash to the restart; undefined keeps the engine down. */
  readonly restartMs: Millis | undefined;
}

/** Characters of a prompt that one block of the prefix cache covers (256 tokens). */
export const BLOCK_CHARS = 1024;

/**
 * Gets complete settings for a stand-in engine.
 *
 * @param given - ID, role and overrides of the defaults.
 * @returns The settings; by default memory for about 20 requests of 2 pieces each.
 */
export function engineSettings(
  given: Pick<EngineSettings, 'id' | 'role'> & Partial<EngineSettings>,
): EngineSettings {
  return {
    memoryPieces: 40,
    checksFencing: true,
    prefillOverheadMs: 8,
    prefillMsPerToken: 0.25,
    decodeBaseMs: 12,
    decodePerStreamMs: 0.8,
    kvTtlMs: 900,
    linkPiecesPerSecond: 60,
    reportLagMs: 500,
    cacheBlocks: 256,
    cacheEventDelayMs: 700,
    cacheEventLossInterval: 5,
    restartMs: undefined,
    ...given,
  };
}
