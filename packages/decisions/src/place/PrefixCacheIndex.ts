import type { Millis, Tokens, UpstreamId } from '@camphorvane/core';
import type { PromptPrefix } from '../PoolScheduler.ts';

/** Engines recorded per prefix; more copies would not improve the choice. */
const ENGINES_PER_PREFIX = 4;

/** Prefixes recorded; the one stored least recently is dropped first. */
const MAX_PREFIXES = 20_000;

/**
 * Half-life of the hit probability. Cache events arrive late and with gaps, so a prefix stored
 * a minute ago may have been evicted without an event.
 */
const HIT_HALF_LIFE_MS = 60_000;

/** Hit probability right after a store event or a prefill; events may arrive out of order. */
const INITIAL_HIT_PROBABILITY = 0.95;

/** Expected prefix cache hit of one prompt on one engine. */
export interface ExpectedHit {
  readonly engine: UpstreamId;
  /** Tokens of the prefix times the probability that they are still cached. */
  readonly tokens: Tokens;
}

/**
 * Estimates which prompt prefixes the caches of the prefill engines hold.
 *
 * The hit probability decays with the age of the last store event or prefill: a placement that
 * trusts an old event sends the request to a busy engine for a hit that is no longer there. A store
 * event or a finished prefill resets the age; an eviction event removes the engine.
 */
export class PrefixCacheIndex {
  /** In order of the last store, so that the oldest prefix can be dropped in constant time. */
  private readonly enginesByPrefix = new Map<string, ReadonlyMap<UpstreamId, Millis>>();

  /** Gets the number of recorded prefixes. */
  get size(): number {
    return this.enginesByPrefix.size;
  }

  /** Records that an engine holds a prefix. */
  recordStored(engine: UpstreamId, digest: string, now: Millis): void {
    const kept = [...(this.enginesByPrefix.get(digest) ?? [])]
      .filter(([id]) => id !== engine)
      .slice(-(ENGINES_PER_PREFIX - 1));
    this.enginesByPrefix.delete(digest);
    this.enginesByPrefix.set(digest, new Map([...kept, [engine, now]]));
    if (this.enginesByPrefix.size <= MAX_PREFIXES) return;
    const oldest = this.enginesByPrefix.keys().next();
    if (!oldest.done) this.enginesByPrefix.delete(oldest.value);
  }

  /** Records that an engine no longer holds a prefix. */
  recordEvicted(engine: UpstreamId, digest: string): void {
    const engines = this.enginesByPrefix.get(digest);
    if (engines === undefined || !engines.has(engine)) return;
    const kept = [...engines].filter(([id]) => id !== engine);
    if (kept.length === 0) this.enginesByPrefix.delete(digest);
    else this.enginesByPrefix.set(digest, new Map(kept));
  }

  /**
   * Gets the engines expected to hold a prefix of a prompt.
   *
   * @param prefixes - Prefixes of the prompt, shortest first.
   * @param now - Present time.
   * @returns One entry per engine, for the prefix with the most expected tokens.
   */
  getExpectedHits(prefixes: readonly PromptPrefix[], now: Millis): readonly ExpectedHit[] {
    const best = new Map<UpstreamId, Tokens>();
    prefixes.forEach((prefix) => {
      this.enginesByPrefix.get(prefix.digest)?.forEach((storedAt, engine) => {
        const tokens =
          prefix.tokens * INITIAL_HIT_PROBABILITY * 0.5 ** ((now - storedAt) / HIT_HALF_LIFE_MS);
        if (tokens > (best.get(engine) ?? 0)) best.set(engine, tokens);
      });
    });
    return [...best].map(([engine, tokens]) => ({ engine, tokens }));
  }
}
