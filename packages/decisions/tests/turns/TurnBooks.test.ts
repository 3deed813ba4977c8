import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DistributedRateLimiter, TurnBooks } from '@camphorvane/decisions';
import type { RetryContext } from '@camphorvane/decisions';

const REFUSED = { team: 'a', priority: 1, units: 1, leftMs: 15_000, targetMs: 300 };
const DRAIN = { drainPerMs: 0.1, backlogMs: 990 };

const newBooks = (): TurnBooks => new TurnBooks({ onExpired: () => undefined });

// Guards against hints that grow with the number of teams.
test('a host sends the quotes with the most turns, and drops books that have nothing to remember', () => {
  const books = newBooks();
  Array.from({ length: 100 }, (_, i) => i).forEach((i) =>
    Array.from({ length: i % 50 }).forEach(() => books.get(`rate/t${i}`).grant(REFUSED, DRAIN, 0)),
  );
  const quotes = books.getQuotes(0);
  assert.equal(quotes.length, 8);
  assert.ok(quotes.every(({ turns }) => turns >= 46));
  assert.deepEqual(books.getQuotes(30_000), []);
  assert.deepEqual(books.dump(30_000), {});
});

test('quotes of peers are averaged by their turns and expire', () => {
  const books = newBooks();
  const quote = { queue: 'pool/m', priority: 1 };
  books.receive('p1', [{ ...quote, waitMs: 1_000, turns: 1 }], 0);
  books.receive('p2', [{ ...quote, waitMs: 2_000, turns: 3 }], 0);
  assert.equal(books.get('pool/m').quotedMs(9_000, 1, 0), 1_750);
  books.receiveSum([{ ...quote, waitMs: 600, turns: 2 }], 500);
  assert.equal(books.get('pool/m').quotedMs(9_000, 1, 500), 600);
  assert.equal(books.get('pool/m').quotedMs(9_000, 1, 2_100), undefined);
});

/** A team that has spent its burst at a host, and refuses with turns. */
function spentTeam(): {
  readonly books: TurnBooks;
  readonly charge: (tokens: number, now: number, retry?: Partial<RetryContext>) => string;
} {
  const books = newBooks();
  const turns = { find: () => books.find('rate/t'), get: () => books.get('rate/t') };
  const limiter = new DistributedRateLimiter({ over: 0, slackTokens: 0, windowMs: 1 }, turns);
  limiter.reconfigure(new Map([['t', { tokensPerSecond: 1_000, burstTokens: 1_000 }]]), 0);
  limiter.charge('t', 1_000, 0);
  const charge = (tokens: number, now: number, retry: Partial<RetryContext> = {}): string => {
    const context = { priority: 1, ageMs: 0, leftMs: 15_000, targetMs: 300, ...retry };
    return limiter.charge('t', tokens, now, context).type;
  };
  return { books, charge };
}

// Guards against new requests that spend the tokens of a caller that returns as it was told to.
test('tokens of a turn go to its caller and to more urgent requests only, until it expires', () => {
  const take = (now: number, retry: Partial<RetryContext>): string => {
    const { charge } = spentTeam();
    assert.equal(charge(400, 0), 'over_rate');
    return charge(400, now, retry);
  };
  assert.equal(take(450, {}), 'over_rate', 'a new request');
  assert.equal(take(450, { ageMs: 450 }), 'charged', 'a return in turn');
  assert.equal(take(450, { ageMs: 200 }), 'over_rate', 'an early return');
  assert.equal(take(450, { priority: 0 }), 'charged', 'a more urgent request');
  assert.equal(take(750, {}), 'charged', 'after the turn has expired');
});

// Guards against turns that are booked for callers who will have given up by then.
test('a caller that cannot use a turn is told when there will be tokens', () => {
  const { books, charge } = spentTeam();
  assert.equal(charge(900, 0, { leftMs: 1_000 }), 'over_rate');
  assert.equal(books.get('rate/t').countTurns(0), 0);
});
