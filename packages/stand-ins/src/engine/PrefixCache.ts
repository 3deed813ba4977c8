import { estimateTokens, sha256Hex } from '@camphorvane/core';
import type { Clock, Millis, Tokens } from '@camphorvane/core';
import { BLOCK_CHARS } from './EngineSettings.ts';

/** A change of a prefix cache, as the engine publishes it. */
export interface CacheEvent {
  readonly sequence: number;
  /** SHA-256 of the prompt's text up to a multiple of {@link BLOCK_CHARS} characters. */
  readonly digest: string;
  readonly change: 'stored' | 'evicted';
}

/** A batch of cache events. */
export interface CacheEventBatch {
  readonly events: readonly CacheEvent[];
  /** Value of `after` for the next read. */
  readonly next: number;
}

/** Capacity of a prefix cache, and delay and loss of its events. */
export interface PrefixCacheSettings {
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: Millis;
  readonly cacheEventLossInterval: number;
}

interface DelayedEvent extends CacheEvent {
  readonly visibleAt: Millis;
}

/** An LRU cache of prompt prefixes whose events are delayed and have gaps. */
export class PrefixCache {
  private readonly blocks = new Map<string, true>();

  private events: readonly DelayedEvent[] = [];

  private sequence = 0;

  constructor(
    private readonly settings: PrefixCacheSettings,
    private readonly clock: Clock,
  ) {}

  /**
   * Looks up the longest cached prefix of a text and stores all its prefixes.
   *
   * @param text - The prompt.
   * @returns Number of tokens that were cached already.
   */
  lookUpAndStore(text: string): Tokens {
    const prefixes = Array.from({ length: Math.floor(text.length / BLOCK_CHARS) }, (_, index) =>
      text.slice(0, (index + 1) * BLOCK_CHARS),
    );
    const digests = prefixes.map((prefix) => sha256Hex(prefix));
    const firstMiss = digests.findIndex((digest) => !this.blocks.has(digest));
    const hits = firstMiss < 0 ? digests.length : firstMiss;
    digests.forEach((digest) => this.touch(digest));
    return hits === 0 ? 0 : estimateTokens(prefixes[hits - 1] ?? '');
  }

  /** Removes all entries without publishing events, as a crash does. */
  clear(): void {
    this.blocks.clear();
  }

  /**
   * Reads the events whose delay has passed.
   *
   * @param after - Sequence number of the last event read.
   * @returns Later events in order; lost events are never delivered.
   */
  eventsAfter(after: number): CacheEventBatch {
    const now = this.clock.now();
    const events = this.events
      .filter((event) => event.sequence > after && event.visibleAt <= now)
      .map(({ sequence, digest, change }) => ({ sequence, digest, change }));
    return { events, next: events.at(-1)?.sequence ?? after };
  }

  private touch(digest: string): void {
    const known = this.blocks.delete(digest);
    this.blocks.set(digest, true);
    if (!known) this.publish(digest, 'stored');
    const oldest = this.blocks.keys().next().value;
    if (this.blocks.size <= this.settings.cacheBlocks || oldest === undefined) return;
    this.blocks.delete(oldest);
    this.publish(oldest, 'evicted');
  }

  private publish(digest: string, change: CacheEvent['change']): void {
    this.sequence += 1;
    const lossInterval = this.settings.cacheEventLossInterval;
    if (lossInterval > 0 && this.sequence % lossInterval === 0) return;
    const visibleAt = this.clock.now() + this.settings.cacheEventDelayMs;
    this.events = [...this.events, { sequence: this.sequence, digest, change, visibleAt }].slice(
      -this.settings.cacheBlocks,
    );
  }
}
