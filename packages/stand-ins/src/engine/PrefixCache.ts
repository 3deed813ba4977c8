import { estimateTokens, sha256Hex } from '@camphorvane/core';
import type { Clock, Millis, Tokens } from '@camphorvane/core';
import { BLOCK_CHARS } from './EngineSettings.ts';

/** A change of an engine's prefix cache as the engine publishes it. */
export interface CacheEvent {
  readonly sequence: number;
  /** SHA-256 of the prompt's text up to a multiple of {@link BLOCK_CHARS} characters. */
  readonly digest: string;
  readonly change: 'stored' | 'evicted';
}

/** What one reading of the cache events returned. */
export interface CacheEventBatch {
  readonly events: readonly CacheEvent[];
  readonly next: number;
}

/** How a prefix cache is sized and how badly it reports. */
export interface PrefixCacheSettings {
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: Millis;
  readonly cacheEventGap: number;
}

interface DatedEvent extends CacheEvent {
  readonly visibleAt: Millis;
}

/** A small least-recently-used cache of prompt prefixes, whose events come late and with gaps. */
export class PrefixCache {
  private readonly blocks = new Map<string, true>();

  private events: readonly DatedEvent[] = [];

  private sequence = 0;

  constructor(
    private readonly settings: PrefixCacheSettings,
    private readonly clock: Clock,
  ) {}

  /**
   * Looks a text up and stores its prefixes.
   *
   * @param text - The prompt.
   * @returns Tokens that were in the cache already.
   */
  use(text: string): Tokens {
    const prefixes = Array.from({ length: Math.floor(text.length / BLOCK_CHARS) }, (_, index) =>
      text.slice(0, (index + 1) * BLOCK_CHARS),
    );
    const digests = prefixes.map((prefix) => sha256Hex(prefix));
    const firstMiss = digests.findIndex((digest) => !this.blocks.has(digest));
    const hits = firstMiss < 0 ? digests.length : firstMiss;
    digests.forEach((digest) => this.touch(digest));
    return hits === 0 ? 0 : estimateTokens(prefixes[hits - 1] ?? '');
  }

  /** Forgets everything without telling anybody, as a crash does. */
  clear(): void {
    this.blocks.clear();
  }

  /**
   * Reads the events that are visible by now.
   *
   * @param after - Sequence number of the last event read.
   * @returns Later events in order; some are missing for good.
   */
  read(after: number): CacheEventBatch {
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
    const gap = this.settings.cacheEventGap;
    if (gap > 0 && this.sequence % gap === 0) return;
    const visibleAt = this.clock.now() + this.settings.cacheEventDelayMs;
    this.events = [...this.events, { sequence: this.sequence, digest, change, visibleAt }].slice(
      -this.settings.cacheBlocks,
    );
  }
}
