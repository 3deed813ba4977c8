import type { Millis, Tokens, UpstreamId } from '@camphorvane/core';
import type { PromptPrefix } from '@camphorvane/decisions';
import type { Attempt } from './Attempt.ts';
import type { Timeline } from './Timeline.ts';

/** Tokens computed in one scheduling step of the engine; a better priority waits at most for one. */
const CHUNK_TOKENS: Tokens = 512;

const MS_PER_SECOND = 1000;

/** What a prefill engine tells of itself. */
export interface PrefillFakeEvents {
  ended(attempt: Attempt): void;
  cache(engine: UpstreamId, digest: string, change: 'stored' | 'evicted'): void;
}

/** A prefill engine: chunks of prompts by priority, and a prefix cache of limited memory. */
export class PrefillFake {
  private queue: Attempt[] = [];

  private running: Attempt | undefined;

  private factor = 1;

  private readonly cache = new Map<string, Tokens>();

  private cacheUsed: Tokens = 0;

  constructor(
    readonly id: UpstreamId,
    private readonly cfg: { readonly tokensPerSecond: number; readonly cacheTokens: Tokens },
    private readonly timeline: Timeline,
    private readonly events: PrefillFakeEvents,
  ) {}

  /** Gets the prefills that run or wait. */
  get count(): number {
    return this.queue.length;
  }

  /** Gets the prompt tokens still to be computed for priorities up to one, cache not counted. */
  getBacklog(priority: number): Tokens {
    return this.queue
      .filter((attempt) => attempt.priority <= priority)
      .reduce((sum, attempt) => sum + (attempt.remainingTokens ?? this.uncached(attempt)), 0);
  }

  /** Gets the true time for some tokens at the present speed. */
  getTimeMs(tokens: Tokens): Millis {
    return (tokens / this.cfg.tokensPerSecond) * MS_PER_SECOND * this.factor;
  }

  /** Gets the tokens of a prompt that are really in the cache. */
  getCached(prefixes: readonly PromptPrefix[]): Tokens {
    return prefixes
      .filter((prefix) => this.cache.has(prefix.digest))
      .reduce((most, prefix) => Math.max(most, prefix.tokens), 0);
  }

  /** Sets how many times slower than usual the engine runs. */
  setFactor(factor: number): void {
    this.factor = factor;
  }

  /** Takes an attempt into the queue. */
  add(attempt: Attempt): void {
    this.queue.push(attempt);
    if (this.running === undefined) this.runChunk();
  }

  /** Takes an attempt out, running or waiting. */
  remove(attempt: Attempt): void {
    this.queue = this.queue.filter((other) => other !== attempt);
  }

  /** Loses everything, as a process that dies. */
  clear(): readonly Attempt[] {
    const lost = this.queue;
    this.queue = [];
    this.cache.clear();
    this.cacheUsed = 0;
    return lost;
  }

  private uncached(attempt: Attempt): Tokens {
    return attempt.request.promptTokens - this.getCached(attempt.request.prefixes);
  }

  private runChunk(): void {
    const next = this.queue.reduce<Attempt | undefined>(
      (best, attempt) => (best === undefined || attempt.priority < best.priority ? attempt : best),
      undefined,
    );
    this.running = next;
    if (next === undefined) return;
    next.state = 'prefill_running';
    if (next.remainingTokens === undefined) {
      next.cachedTokens = this.getCached(next.request.prefixes);
      next.remainingTokens = Math.max(1, next.request.promptTokens - next.cachedTokens);
    }
    const tokens = Math.min(CHUNK_TOKENS, next.remainingTokens);
    this.timeline.after(this.getTimeMs(tokens), () => this.endChunk(next, tokens));
  }

  private endChunk(attempt: Attempt, tokens: Tokens): void {
    const ran = attempt;
    ran.computedTokens += tokens;
    ran.remainingTokens = (ran.remainingTokens ?? 0) - tokens;
    if (ran.remainingTokens <= 0 && this.queue.includes(ran)) {
      this.remove(ran);
      ran.request.prefixes.forEach((prefix) => this.store(prefix));
      this.events.ended(ran);
    }
    this.runChunk();
  }

  private store(prefix: PromptPrefix): void {
    const known = this.cache.delete(prefix.digest);
    this.cache.set(prefix.digest, prefix.tokens);
    if (known) return;
    this.cacheUsed += prefix.tokens;
    this.events.cache(this.id, prefix.digest, 'stored');
    while (this.cacheUsed > this.cfg.cacheTokens) this.evictOldest();
  }

  private evictOldest(): void {
    const [oldest] = this.cache;
    if (oldest === undefined) return;
    const [digest, tokens] = oldest;
    this.cache.delete(digest);
    this.cacheUsed -= tokens;
    this.events.cache(this.id, digest, 'evicted');
  }
}
