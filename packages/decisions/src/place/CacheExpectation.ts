import type { Millis, Tokens, UpstreamId } from '@camphorvane/core';
import type { PromptPrefix } from '../PoolScheduler.ts';

/** Engines remembered for one prefix; more copies would not make a better choice. */
const ENGINES_PER_PREFIX = 4;

/** Prefixes remembered; the ones unused for longest are forgotten first. */
const MAX_PREFIXES = 20_000;

/**
 * Time in which the expectation of a hit falls to a half. Cache events come late and with gaps, so
 * a prefix that was there a minute ago may be gone without our having heard of it.
 */
const HALF_LIFE_MS = 60_000;

/** Expectation right after a store event or a prefill: the event itself may be out of order. */
const FRESH = 0.95;

/** What is expected of an engine's prefix cache for one prompt. */
export interface ExpectedHit {
  readonly engine: UpstreamId;
  /** Tokens covered times the probability that they are still cached. */
  readonly tokens: Tokens;
}

/**
 * What the prefix caches of prefill engines probably hold.
 *
 * An expected hit is a probability that ages, never a fact: a placement that trusts an old event
 * sends the work to a busy engine for a hit that is not there. The expectation is proved by the
 * cached tokens that a finished prefill reports, and refuted by a prefill that found nothing.
 */
export class CacheExpectation {
  /** Insertion order is order of last use, so that the oldest can be dropped in constant time. */
  private readonly seen = new Map<string, ReadonlyMap<UpstreamId, Millis>>();

  /** Gets how many prefixes are remembered. */
  get size(): number {
    return this.seen.size;
  }

  /** Notes that an engine holds a prefix. */
  stored(engine: UpstreamId, digest: string, now: Millis): void {
    const kept = [...(this.seen.get(digest) ?? [])]
      .filter(([id]) => id !== engine)
      .slice(-(ENGINES_PER_PREFIX - 1));
    this.seen.delete(digest);
    this.seen.set(digest, new Map([...kept, [engine, now]]));
    if (this.seen.size <= MAX_PREFIXES) return;
    const oldest = this.seen.keys().next();
    if (!oldest.done) this.seen.delete(oldest.value);
  }

  /** Notes that an engine does not hold a prefix. */
  evicted(engine: UpstreamId, digest: string): void {
    const engines = this.seen.get(digest);
    if (engines === undefined || !engines.has(engine)) return;
    const kept = [...engines].filter(([id]) => id !== engine);
    if (kept.length === 0) this.seen.delete(digest);
    else this.seen.set(digest, new Map(kept));
  }

  /**
   * Gets the engines that probably hold part of a prompt.
   *
   * @param prefixes - Prefixes of the prompt, shortest first.
   * @param now - Present time.
   * @returns At most one entry for each engine, the one with the most expected tokens.
   */
  expect(prefixes: readonly PromptPrefix[], now: Millis): readonly ExpectedHit[] {
    const best = new Map<UpstreamId, Tokens>();
    prefixes.forEach((prefix) => {
      this.seen.get(prefix.digest)?.forEach((at, engine) => {
        const tokens = prefix.tokens * FRESH * 0.5 ** ((now - at) / HALF_LIFE_MS);
        if (tokens > (best.get(engine) ?? 0)) best.set(engine, tokens);
      });
    });
    return [...best].map(([engine, tokens]) => ({ engine, tokens }));
  }
}
