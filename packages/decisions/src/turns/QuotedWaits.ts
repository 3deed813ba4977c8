import type { HostId, Millis } from '@camphorvane/core';
import { DecayingSums } from '../structures/DecayingSums.ts';

/** Time constant of the average over the turns of this host, in milliseconds. */
const AVERAGING_MS: Millis = 1_000;

/** Turns in the average below which a host quotes no wait: the last ones were some seconds ago. */
const MIN_TURNS = 0.05;

/**
 * Milliseconds for which a peer's quotes count. Digests of large fleets arrive up to 700 ms apart, so a
 * peer that sends none for two of them has timed out or refuses nobody.
 */
const PEER_TTL_MS: Millis = 1_500;

/** Shortest time between two remembered averages, in milliseconds. */
const HISTORY_STEP_MS: Millis = 200;

/** Milliseconds for which an average is remembered, as long as callers that were told it may take to return. */
const HISTORY_MS: Millis = 10_000;

/** Key of the quotes that a relay reports for all peers. */
const ALL_PEERS = '';

/** The average wait that a host, or several, have recently told the callers of one priority. */
export interface WaitQuote {
  /** Lower goes first. */
  readonly priority: number;
  readonly waitMs: Millis;
  /** Number of recent turns in the average. */
  readonly turns: number;
}

interface PeerQuotes {
  readonly at: Millis;
  readonly quotes: readonly WaitQuote[];
}

/** An average over the turns of all hosts at some time. */
interface PastWait extends Omit<WaitQuote, 'priority'> {
  readonly at: Millis;
  /** Time since the average before it, in milliseconds. */
  readonly spanMs: Millis;
}

/** Average waits that this host and its peers tell the refused callers of one queue. */
export class QuotedWaits {
  private readonly waits = new DecayingSums<number>(AVERAGING_MS);

  private readonly turns = new DecayingSums<number>(AVERAGING_MS);

  private readonly peers = new Map<HostId, PeerQuotes>();

  /** Averages of the recent past, by priority. */
  private readonly history = new Map<number, readonly PastWait[]>();

  /** Records the wait that a caller is told. */
  record(priority: number, waitMs: Millis, now: Millis): void {
    this.waits.add(priority, waitMs, now);
    this.turns.add(priority, 1, now);
    this.remember(priority, now);
  }

  /** Stores the quotes of one peer, in place of its previous ones. */
  receive(peer: HostId, quotes: readonly WaitQuote[], now: Millis): void {
    this.peers.delete(ALL_PEERS);
    this.peers.set(peer, { at: now, quotes });
    quotes.forEach(({ priority }) => this.remember(priority, now));
  }

  /** Stores the averages over all peers, in place of all earlier quotes of peers. */
  receiveSum(quotes: readonly WaitQuote[], now: Millis): void {
    this.peers.clear();
    this.receive(ALL_PEERS, quotes, now);
  }

  /** Gets the quotes of this host, to be sent to its peers. */
  getOwn(now: Millis): readonly WaitQuote[] {
    return this.turns
      .keys()
      .map((priority) => ({
        priority,
        waitMs: this.waits.get(priority, now) / this.turns.get(priority, now),
        turns: this.turns.get(priority, now),
      }))
      .filter(({ turns }) => turns >= MIN_TURNS);
  }

  /**
   * Gets the wait that callers of a priority are told now, averaged over the recent turns of all hosts.
   *
   * @returns Milliseconds; undefined where no host gave a turn lately.
   */
  quotedNow(priority: number, now: Millis): Millis | undefined {
    return this.averageNow(priority, now)?.waitMs;
  }

  private averageNow(priority: number, now: Millis): WaitQuote | undefined {
    const peers = [...this.peers.values()]
      .filter(({ at }) => now - at <= PEER_TTL_MS)
      .flatMap(({ quotes }) => quotes);
    const quotes = [...this.getOwn(now), ...peers].filter((one) => one.priority === priority);
    const turns = quotes.reduce((sum, one) => sum + one.turns, 0);
    if (turns <= 0) return undefined;
    const waitMs = quotes.reduce((sum, one) => sum + one.waitMs * one.turns, 0) / turns;
    return { priority, waitMs, turns };
  }

  /** Gets the wait that callers of a priority were told at about an earlier time, if it is remembered. */
  quotedAt(priority: number, at: Millis): Millis | undefined {
    const isBefore = (past: PastWait): boolean => past.at <= at + HISTORY_STEP_MS;
    return this.history.get(priority)?.findLast(isBefore)?.waitMs;
  }

  /** Estimates how many callers as urgent as a priority or more urgent return within a time, to any host. */
  countDue(priority: number, from: Millis, to: Millis): number {
    return [...this.history]
      .filter(([one]) => one <= priority)
      .flatMap(([, waits]) => waits)
      .filter(({ at, waitMs }) => at + waitMs >= from && at + waitMs <= to)
      .reduce((sum, { turns, spanMs }) => sum + (turns * spanMs) / AVERAGING_MS, 0);
  }

  /** Tells whether nothing is known, so that this object can be dropped. */
  isEmpty(): boolean {
    return this.turns.keys().length === 0 && this.peers.size === 0 && this.history.size === 0;
  }

  /** Forgets what is no longer recent. */
  prune(now: Millis): void {
    this.waits.prune(now);
    this.turns.prune(now);
    [...this.peers]
      .filter(([, { at }]) => now - at > PEER_TTL_MS)
      .forEach(([peer]) => this.peers.delete(peer));
    [...this.history]
      .filter(([, waits]) => now - (waits.at(-1)?.at ?? 0) > HISTORY_MS)
      .forEach(([priority]) => this.history.delete(priority));
  }

  private remember(priority: number, now: Millis): void {
    const waits = this.history.get(priority) ?? [];
    const sinceMs = now - (waits.at(-1)?.at ?? -Infinity);
    if (sinceMs < HISTORY_STEP_MS) return;
    const average = this.averageNow(priority, now);
    if (average === undefined) return;
    const recent = waits.filter(({ at }) => now - at <= HISTORY_MS);
    // Digests of large fleets arrive up to 700 ms apart; each average stands for the time since the last one.
    const spanMs = recent.length === 0 ? HISTORY_STEP_MS : Math.min(sinceMs, AVERAGING_MS);
    this.history.set(priority, [...recent, { ...average, at: now, spanMs }]);
  }
}
