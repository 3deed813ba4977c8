import type { EngineRole, Millis, Pieces, UpstreamId } from '@camphorvane/core';

/** How a stand-in engine behaves while nothing is wrong with it. */
export interface EngineSettings {
  readonly id: UpstreamId;
  readonly role: EngineRole;
  readonly memoryPieces: Pieces;
  /** True where orders with an old fencing number are refused. */
  readonly checksFencing: boolean;
  readonly prefillOverheadMs: Millis;
  readonly prefillMsPerToken: Millis;
  /** Time of a decode step without any stream. */
  readonly decodeBaseMs: Millis;
  /** What each running stream adds to a decode step. */
  readonly decodePerStreamMs: Millis;
  /** How long the KV cache of a prefill is kept. */
  readonly kvLifeMs: Millis;
  readonly linkPiecesPerSecond: number;
  readonly reportLagMs: Millis;
  /** Blocks of {@link BLOCK_CHARS} characters that the prefix cache holds. */
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: Millis;
  /** Each so many cache events one is lost; 0 loses none. */
  readonly cacheEventGap: number;
  /** How long the engine is away after a crash; undefined keeps it down. */
  readonly restartMs: Millis | undefined;
}

/** Characters of a prompt that one block of the prefix cache covers (256 tokens). */
export const BLOCK_CHARS = 1024;

/**
 * Gets complete settings for a stand-in engine.
 *
 * @param given - What differs from the defaults.
 * @returns The settings; a decode engine holds about twenty requests of two pieces each.
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
    kvLifeMs: 900,
    linkPiecesPerSecond: 60,
    reportLagMs: 500,
    cacheBlocks: 256,
    cacheEventDelayMs: 700,
    cacheEventGap: 5,
    restartMs: undefined,
    ...given,
  };
}
