import { type Millis, type Tokens, piecesFor } from '@camphorvane/core';
import type { LinkLedger } from '../ledger/LinkLedger.ts';
import type { QueuedWork } from '../queue/QueuedWork.ts';
import type { EngineState } from './EngineState.ts';
import type { EngineTable } from './EngineTable.ts';

/**
 * Longest time that a finished prefill may wait for the link into its decode engine. Its result is
 * evicted within a second, so a third of that leaves room for the transfer itself and for a
 * prefill that ends earlier than expected.
 */
const MAX_LINK_WAIT_MS = 300;

/** Both engines of a request, chosen together. */
export interface Placement {
  readonly prefill: EngineState;
  readonly decode: EngineState;
  readonly expectedCachedTokens: Tokens;
  readonly prefillReadyAt: Millis;
  /** When the first token is expected, as far as the engines' speeds are known. */
  readonly firstTokenAt: Millis;
}

/** What came of looking for engines. */
export type PlacementResult =
  | { readonly type: 'placed'; readonly placement: Placement }
  | { readonly type: 'no_room' }
  | { readonly type: 'link_busy'; readonly retryAt: Millis };

/** Chooses prefill and decode engine together, so that no prefill runs without a place to go. */
export class EngineChooser {
  constructor(
    private readonly table: EngineTable,
    private readonly links: LinkLedger,
  ) {}

  /**
   * Looks for engines for a request.
   *
   * @param work - The request.
   * @param now - Present time.
   * @returns The placement, or why there is none now.
   */
  choose(work: QueuedWork, now: Millis): PlacementResult {
    const { item, pieces } = work;
    const decode = this.table.decode.choose(pieces, item.class, item.avoid);
    if (decode === undefined) return { type: 'no_room' };
    const prefill = this.table.prefill.choose(item, now);
    if (prefill === undefined) return { type: 'no_room' };
    const readyAt = now + prefill.readyInMs;
    const linkWait = this.links.getWaitMs(decode.cfg.id, readyAt);
    if (linkWait > MAX_LINK_WAIT_MS) {
      return { type: 'link_busy', retryAt: now + linkWait - MAX_LINK_WAIT_MS };
    }
    const transferMs = this.links.getTransferMs(piecesFor(item.promptTokens));
    const tokenMs = decode.speed.getIntervalMs(1) ?? 0;
    return {
      type: 'placed',
      placement: {
        prefill: prefill.engine,
        decode,
        expectedCachedTokens: Math.round(prefill.expectedCachedTokens),
        prefillReadyAt: readyAt,
        firstTokenAt: readyAt + linkWait + transferMs + tokenMs,
      },
    };
  }
}
