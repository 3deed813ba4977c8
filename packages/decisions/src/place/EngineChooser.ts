import {
  type EngineRole,
  type Millis,
  type Pieces,
  type Tokens,
  piecesFor,
} from '@camphorvane/core';
import type { LinkLedger } from '../ledger/LinkLedger.ts';
import type { WorkItem } from '../PoolScheduler.ts';
import { getLookupHeadroom } from '../queue/lookupHeadroom.ts';
import type { QueuedWork } from '../queue/QueuedWork.ts';
import type { EngineState } from './EngineState.ts';
import type { EngineTable } from './EngineTable.ts';
import type { PrefillChoice } from './PrefillBalancer.ts';

/**
 * Longest time for which a prefill result may wait for the link into its decode engine. The prefill
 * engine evicts results within a second; a third of that leaves time for the transfer itself and
 * for a prefill that ends earlier than expected.
 */
const MAX_LINK_WAIT_MS = 300;

/** Delay before the next attempt if only busy links prevented a placement. */
const LINK_RETRY_MS = 50;

/** The prefill and the decode engine chosen for a request. */
export interface Placement {
  readonly prefill: EngineState;
  readonly decode: EngineState;
  readonly expectedCachedTokens: Tokens;
  readonly prefillReadyAt: Millis;
}

/** Result of {@link EngineChooser.choose}. */
export type PlacementResult =
  | { readonly type: 'placed'; readonly placement: Placement }
  | { readonly type: 'no_room'; readonly lacking: EngineRole }
  | { readonly type: 'link_busy'; readonly retryAt: Millis };

/** Chooses both engines of a request together, so that each prefill result has room to go to. */
export class EngineChooser {
  constructor(
    private readonly table: EngineTable,
    private readonly links: LinkLedger,
  ) {}

  /**
   * Chooses engines for a request. Skips decode engines whose link is busy for too long, or for so
   * long that a lookup would miss its target.
   *
   * @param work - The request.
   * @param now - Present time.
   * @returns The placement, or the reason why the request can't be placed now.
   */
  choose(work: QueuedWork, now: Millis): PlacementResult {
    const { item, pieces } = work;
    const reserveShare = getLookupHeadroom(work, now);
    const prefill = this.table.prefill.choose(item, now);
    if (prefill === undefined) return { type: 'no_room', lacking: 'prefill' };
    const readyAt = now + prefill.readyInMs;
    const transferPieces = piecesFor(item.promptTokens);
    const isInTime = (engine: EngineState): boolean =>
      this.isInTime(work, engine, transferPieces, readyAt);
    const decode = this.table.decode.choose(pieces, reserveShare, item.avoid, isInTime);
    if (decode !== undefined) return this.toResult(prefill, decode, readyAt);
    const ignoringLinks = this.table.decode.choose(pieces, reserveShare, item.avoid, () => true);
    return ignoringLinks === undefined
      ? { type: 'no_room', lacking: 'decode' }
      : { type: 'link_busy', retryAt: now + LINK_RETRY_MS };
  }

  /**
   * Gets the time from placement to the first token on idle engines and links.
   *
   * @param item - The request.
   * @param now - Present time.
   * @returns Milliseconds; the prefill counts as 0 while the engine's speed is not known.
   */
  getMinTtftMs(item: WorkItem, now: Millis): Millis {
    const prefillMs = this.table.prefill.getMinPrefillMs(item, now);
    return prefillMs + this.links.getTransferMs(piecesFor(item.promptTokens));
  }

  private toResult(prefill: PrefillChoice, decode: EngineState, readyAt: Millis): PlacementResult {
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

  private isInTime(
    work: QueuedWork,
    engine: EngineState,
    pieces: Pieces,
    readyAt: Millis,
  ): boolean {
    const waitMs = this.links.getWaitMs(engine.cfg.id, pieces, readyAt);
    if (waitMs > MAX_LINK_WAIT_MS) return false;
    const tokenMs = engine.speed.getTokenIntervalMs(1) ?? 0;
    const firstTokenAt = readyAt + waitMs + this.links.getTransferMs(pieces) + tokenMs;
    return work.item.class !== 'lookup' || firstTokenAt <= work.lateAt;
  }
}
