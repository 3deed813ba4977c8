import type { Millis, Tokens, UpstreamId } from '@camphorvane/core';

/** Milliseconds for which an engine is passed over after its first failure in a row. */
const FIRST_REST_MS: Millis = 500;

/**
 * Longest rest, in milliseconds. An engine that restarts is back after some seconds; one request
 * each two seconds finds out without losing many.
 */
const LONGEST_REST_MS: Millis = 2_000;

/** Prompt tokens an engine reads in a millisecond, until it has shown its own speed. */
const ASSUMED_TOKENS_PER_MS = 50;

/** Weight of the newest measurement; about the last eight prefills count. */
const SPEED_WEIGHT = 0.15;

interface Health {
  readonly failures: number;
  readonly restUntil: Millis;
  readonly tokensPerMs: number;
}

const HEALTHY: Health = { failures: 0, restUntil: 0, tokensPerMs: ASSUMED_TOKENS_PER_MS };

/**
 * Remembers how engines did for this host: which failed lately, and how fast each reads prompts.
 *
 * Made for engines that are down, dark or slow while the list of servers still names them. Without
 * it every request would try them again; one would notice it as first tokens that come late or
 * never on a fixed part of the requests.
 */
export class EngineHealth {
  private readonly known = new Map<UpstreamId, Health>();

  /** Forgets engines that are not listed any more. */
  keepOnly(engines: ReadonlySet<UpstreamId>): void {
    [...this.known.keys()].filter((id) => !engines.has(id)).forEach((id) => this.known.delete(id));
  }

  /** Notes a failure; each further one in a row doubles the rest. */
  failed(engine: UpstreamId, now: Millis): void {
    const health = this.known.get(engine) ?? HEALTHY;
    const restMs = Math.min(LONGEST_REST_MS, FIRST_REST_MS * 2 ** health.failures);
    this.known.set(engine, {
      ...health,
      failures: health.failures + 1,
      restUntil: now + restMs,
    });
  }

  /** Notes that the engine did what it was asked. */
  succeeded(engine: UpstreamId): void {
    const health = this.known.get(engine);
    if (health === undefined || health.failures === 0) return;
    this.known.set(engine, { ...health, failures: 0, restUntil: 0 });
  }

  /**
   * Takes in the time that a prefill took.
   *
   * @param engine - The engine.
   * @param tokens - What it had to read until this prefill was done, prompts before it included.
   * @param tookMs - Milliseconds from sending to the answer.
   */
  prefillTook(engine: UpstreamId, tokens: Tokens, tookMs: Millis): void {
    const health = this.known.get(engine) ?? HEALTHY;
    const measured = tokens / Math.max(1, tookMs);
    const tokensPerMs = health.tokensPerMs * (1 - SPEED_WEIGHT) + measured * SPEED_WEIGHT;
    this.known.set(engine, { ...health, tokensPerMs });
  }

  /** Tells whether the engine is passed over at present. */
  isResting(engine: UpstreamId, now: Millis): boolean {
    return (this.known.get(engine)?.restUntil ?? 0) > now;
  }

  /** Gets the time that the engine takes to read so many tokens. */
  readMs(engine: UpstreamId, tokens: Tokens): Millis {
    return tokens / (this.known.get(engine) ?? HEALTHY).tokensPerMs;
  }
}
