import type { HostId, Millis } from '@camphorvane/core';
import type { WaitQuote } from './QuotedWaits.ts';
import { ReturnTurns } from './ReturnTurns.ts';

/** Identifies a queue: a plain service, a pool, or the rate of a team. */
export interface TurnQueue {
  readonly kind: 'service' | 'pool' | 'rate';
  readonly name: string;
}

/** The wait that refused callers of a queue are told, as hosts gossip it. */
export interface QueueQuote extends WaitQuote {
  /** See {@link turnQueueKey}. */
  readonly queue: string;
}

const RATE_PREFIX = 'rate/';

/**
 * Most quotes in one hint, which has those with the most turns. A quote takes about 40 bytes, and in a burst a
 * host sends 16 hints a second to each of three relays: 15 KB a second, half of the budget for gossip.
 */
export const MAX_HINT_QUOTES = 8;

/** Milliseconds between two searches for books that have nothing to remember. */
const PRUNE_INTERVAL_MS: Millis = 5_000;

/** Options of {@link TurnBooks}. */
export interface TurnBooksOptions {
  /** Called with the number of turns of a queue that nobody has taken in time. */
  readonly onExpired: (queue: string, turns: number) => void;
}

/** Keeps the {@link ReturnTurns} of each queue of a host, and exchanges the waits that they quote. */
export class TurnBooks {
  private readonly options: TurnBooksOptions;

  private readonly books = new Map<string, ReturnTurns>();

  private prunedAt: Millis = 0;

  /** @param options - Callbacks. */
  constructor(options: TurnBooksOptions) {
    this.options = options;
  }

  /** Gets the turns of a queue; undefined where none were given or quoted lately. */
  find(queue: string): ReturnTurns | undefined {
    return this.books.get(queue);
  }

  /** Gets the turns of a queue, and creates them where there are none. */
  get(queue: string): ReturnTurns {
    const known = this.books.get(queue);
    if (known !== undefined) return known;
    const book = new ReturnTurns({
      isShared: !queue.startsWith(RATE_PREFIX),
      onExpired: (turns) => this.options.onExpired(queue, turns),
    });
    this.books.set(queue, book);
    return book;
  }

  /** Gets the quotes of this host with the most turns, to be sent to its peers. */
  getQuotes(now: Millis): readonly QueueQuote[] {
    this.prune(now);
    const quotes = [...this.books].flatMap(([queue, book]) =>
      book.getQuotes(now).map((quote) => ({ queue, ...quote })),
    );
    return mostTurns(quotes, MAX_HINT_QUOTES);
  }

  /** Receives the quotes of one peer. */
  receive(peer: HostId, quotes: readonly QueueQuote[], now: Millis): void {
    groupByQueue(quotes).forEach((rows, queue) => this.get(queue).receive(peer, rows, now));
  }

  /** Receives the average quotes of all peers from a relay. */
  receiveSum(quotes: readonly QueueQuote[], now: Millis): void {
    groupByQueue(quotes).forEach((rows, queue) => this.get(queue).receiveSum(rows, now));
  }

  /** Gets the number of turns that may still be used, by queue, for the state dump. */
  dump(now: Millis): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.books].map(([queue, book]) => [queue, book.countTurns(now)]),
    );
  }

  /** Drops the books that have nothing to remember; there may be thousands of teams. */
  private prune(now: Millis): void {
    if (now - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = now;
    [...this.books]
      .filter(([, book]) => book.isIdle(now))
      .forEach(([queue]) => this.books.delete(queue));
  }
}

/** Gets the key of a queue, which also names it in the gossip and in the log. */
export function turnQueueKey({ kind, name }: TurnQueue): string {
  return kind === 'rate' ? `${RATE_PREFIX}${name}` : `${kind}/${name}`;
}

/**
 * Selects the quotes with the most turns.
 *
 * @param quotes - The quotes.
 * @param max - How many to select.
 * @returns The selected quotes.
 */
export function mostTurns(quotes: readonly QueueQuote[], max: number): readonly QueueQuote[] {
  return quotes.length <= max
    ? quotes
    : [...quotes].sort((a, b) => b.turns - a.turns).slice(0, max);
}

function groupByQueue(quotes: readonly QueueQuote[]): ReadonlyMap<string, readonly QueueQuote[]> {
  return quotes.reduce(
    (groups, quote) => groups.set(quote.queue, [...(groups.get(quote.queue) ?? []), quote]),
    new Map<string, readonly QueueQuote[]>(),
  );
}
