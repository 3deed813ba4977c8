import type { RandomSource, Tokens, UpstreamId } from '@camphorvane/core';
import type { StreamBinding } from '../versions/StreamBinding.ts';
import { mayRunOn } from '../versions/StreamBinding.ts';
import { fillAfter } from './RelocationPlanner.ts';
import type { RelocationEngine } from './relocationView.ts';

/** Fraction of an engine's memory that copies may fill; the rest is for its own streams. */
const BACKUP_FILL_LIMIT = 0.8;

/** Running streams of a host for each copy that it keeps. */
const STREAMS_PER_COPY = 4;

/** Running streams of a host for each copy of a stream that could also be prefilled again. */
const STREAMS_PER_RESUMABLE_COPY = 8;

/** Engines from which one is drawn, so that hosts with the same view don't all choose the same one. */
const CHOICES = 3;

/** A stream whose decode is about to begin. */
export interface BackupCandidate {
  readonly engine: UpstreamId;
  readonly promptTokens: Tokens;
  readonly expectedTokens: Tokens;
  /** Whether another engine may prefill and resume the stream without a copy. */
  readonly isResumable: boolean;
  /** Which engines may go on with it; any where absent. */
  readonly binding?: StreamBinding;
}

/** Running streams of this host in the pool. */
export interface BackupCounts {
  readonly streams: number;
  readonly copies: number;
  /** Mean prompt of those streams. */
  readonly meanPromptTokens: Tokens;
}

/**
 * Chooses the engine that receives a copy of a stream as it grows.
 *
 * Addresses the loss of an engine: its streams that can't be prefilled again are cut off, and the others
 * cost a second prefill. Copies take memory, so only a quarter of the streams get one: those that can't be
 * resumed otherwise, then those with a long prompt.
 *
 * @param stream - The stream.
 * @param counts - Streams and copies of this host without it.
 * @param engines - Decode engines of the pool.
 * @param random - Draws the engine.
 * @returns The engine; undefined where the stream gets no copy.
 */
export function chooseBackup(
  stream: BackupCandidate,
  counts: BackupCounts,
  engines: readonly RelocationEngine[],
  random: RandomSource,
): UpstreamId | undefined {
  if (!isWorthACopy(stream, counts)) return undefined;
  const { promptTokens: heldTokens, expectedTokens: remainingTokens } = stream;
  const best = engines
    .filter(({ id, isOpen, isLeaving }) => id !== stream.engine && isOpen && !isLeaving)
    .filter(({ softwareVersion }) => mayRunOn(stream.binding, softwareVersion))
    .map(({ id, ...engine }) => ({
      id,
      fill: fillAfter({ id, ...engine }, { heldTokens, remainingTokens }),
    }))
    .filter(({ fill }) => fill < BACKUP_FILL_LIMIT)
    .sort((a, b) => a.fill - b.fill)
    .slice(0, CHOICES);
  return best.length === 0 ? undefined : best[random.int(0, best.length - 1)]?.id;
}

function isWorthACopy(
  { isResumable, promptTokens }: BackupCandidate,
  { streams, copies, meanPromptTokens }: BackupCounts,
): boolean {
  const all = streams + 1;
  if (!isResumable) return copies < Math.floor(all / STREAMS_PER_COPY);
  return copies < Math.floor(all / STREAMS_PER_RESUMABLE_COPY) && promptTokens >= meanPromptTokens;
}
