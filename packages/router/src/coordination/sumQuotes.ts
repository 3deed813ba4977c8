import type { QueueQuote } from '@camphorvane/decisions';
import { mostTurns } from '@camphorvane/decisions';

/**
 * Most quotes in one digest, which has those with the most turns: a quote takes about 40 bytes, and a relay
 * sends a host up to ten digests a second, or four in a fleet of 350 hosts.
 */
const MAX_DIGEST_QUOTES = 16;

/** Turns below which a sum counts as none; the differences of fractions are not exact. */
const MIN_TURNS = 0.01;

/**
 * Averages the quotes of several hosts for the same queue and priority, by their numbers of turns.
 *
 * @param quotes - The quotes of all hosts.
 * @returns One quote for each queue and priority.
 */
export function sumQuotes(quotes: readonly QueueQuote[]): readonly QueueQuote[] {
  const sums = quotes.reduce((known, quote) => {
    const sum = known.get(keyOf(quote));
    return known.set(keyOf(quote), sum === undefined ? quote : combine(sum, quote, 1));
  }, new Map<string, QueueQuote>());
  return [...sums.values()];
}

/**
 * Removes the quotes of one host from averages.
 *
 * @param sums - Averages of {@link sumQuotes}.
 * @param own - The quotes of the host.
 * @returns The averages of the other hosts; those with the most turns where there are too many.
 */
export function quotesWithout(
  sums: readonly QueueQuote[],
  own: readonly QueueQuote[] = [],
): readonly QueueQuote[] {
  const ownQuotes = new Map(own.map((quote) => [keyOf(quote), quote]));
  const others = sums
    .map((sum) => {
      const quote = ownQuotes.get(keyOf(sum));
      return quote === undefined ? sum : combine(sum, quote, -1);
    })
    .filter(({ turns }) => turns >= MIN_TURNS);
  return mostTurns(others, MAX_DIGEST_QUOTES);
}

/** Adds a quote to an average, or removes it where the sign is negative. */
function combine(sum: QueueQuote, quote: QueueQuote, sign: 1 | -1): QueueQuote {
  const turns = sum.turns + sign * quote.turns;
  const waits = sum.waitMs * sum.turns + sign * quote.waitMs * quote.turns;
  return { ...sum, turns: Math.max(0, turns), waitMs: turns > 0 ? Math.max(0, waits / turns) : 0 };
}

function keyOf({ queue, priority }: QueueQuote): string {
  return `${priority} ${queue}`;
}
