import {
  type EngineRole,
  type Millis,
  type Pieces,
  type Tokens,
  piecesFor,
} from '@camphorvane/core';
import type { LinkLedger } from '../ledger/LinkLedger.ts';
import type { WorkItem } from '../PoolScheduler.ts';
import { getLeftToLookups } from '../queue/leftToLookups.ts';
import type { QueuedWork } from '../queue/QueuedWork.ts';
import type { EngineState } from './EngineState.ts';
import type { EngineTable } from './EngineTable.ts';
import type { PrefillChoice } from './PrefillBoard.ts';

/**
 * Longest time that a finished prefill may wait for the link into its decode engine. Its result is
 * evicted within a second, so a third of that leaves room for the transfer itself and for a
 * prefill that ends earlier than expected.
 */
const MAX_LINK_WAIT_MS = 300;

/** After this time engines are looked for again, where only the links were in the way. */
const LINK_RETRY_MS = 50;

/** Both engines of a request, chosen together. */
export interface Placement {
  readonly prefill: EngineState;
  readonly decode: EngineState;
  readonly expectedCachedTokens: Tokens;
  readonly prefillReadyAt: Millis;
}

/** What came of looking for engines. */
export type PlacementResult =
  | { readonly type: 'placed'; readonly placement: Placement }
  | { readonly type: 'no_room'; readonly lacking: EngineRole }
  | { readonly type: 'link_busy'; readonly retryAt: Millis };

/** Chooses prefill and decode engine together, so that no prefill runs without a place to go. */
export class EngineChooser {
  constructor(
    private readonly table: EngineTable,
    private readonly links: LinkLedger,
  ) {}

  /**
   * Looks for engines for a request. A decode engine whose link is taken for too long, or so long
   * that a lookup would miss its target, is passed over for the next one.
   *
   * @param work - The request.
   * @param now - Present time.
   * @returns The placement, or why there is none now.
   */
  choose(work: QueuedWork, now: Millis): PlacementResult {
    const { item, pieces } = work;
    const left = getLeftToLookups(work, now);
    const prefill = this.table.prefill.choose(item, now);
    if (prefill === undefined) return { type: 'no_room', lacking: 'prefill' };
    const readyAt = now + prefill.readyInMs;
    const moved = piecesFor(item.promptTokens);
    const inTime = (engine: EngineState): boolean => this.isInTime(work, engine, moved, readyAt);
    const decode = this.table.decode.choose(pieces, left, item.avoid, inTime);
    if (decode !== undefined) return this.placed(prefill, decode, readyAt);
    const any = this.table.decode.choose(pieces, left, item.avoid, () => true);
    return any === undefined
      ? { type: 'no_room', lacking: 'decode' }
      : { type: 'link_busy', retryAt: now + LINK_RETRY_MS };
  }

  /**
   * Gets the time from placement to the first token if nothing else were in the way.
   *
   * @param item - The request.
   * @param now - Present time.
   * @returns Milliseconds; what is not known of the engines yet counts as no time.
   */
  getLeastMs(item: WorkItem, now: Millis): Millis {
    const prefillMs = this.table.prefill.getLeastMs(item, now);
    return prefillMs + this.links.getTransferMs(piecesFor(item.promptTokens));
  }

  private placed(prefill: PrefillChoice, decode: EngineState, readyAt: Millis): PlacementResult {
    return {
      type: 'placed',
      placement: {
        prefill: prefill.engine,
        decode,
        expectedCachedTokens: Math.round(prefill.expectedCachedTokens),
        prefillReadyAt: readyAt,
      },
    };
  }

  private isInTime(work: QueuedWork, engine: EngineState, moved: Pieces, readyAt: Millis): boolean {
    const waitMs = this.links.getWaitMs(engine.cfg.id, moved, readyAt);
    if (waitMs > MAX_LINK_WAIT_MS) return false;
    const tokenMs = engine.speed.getIntervalMs(1) ?? 0;
    const firstTokenAt = readyAt + waitMs + this.links.getTransferMs(moved) + tokenMs;
    return work.item.class !== 'lookup' || firstTokenAt <= work.lateAt;
  }
}
