import type { Millis, Tokens, UpstreamId } from '@camphorvane/core';

/** Back-off after the first failure in a row, in milliseconds. */
const INITIAL_BACKOFF_MS: Millis = 500;

/**
 * Longest back-off, in milliseconds. A restarting engine is back within seconds, and one request every
 * two seconds notices it at little loss.
 */
const MAX_BACKOFF_MS: Millis = 2_000;

/** Prefill speed that is assumed until one was measured, in prompt tokens per millisecond. */
const DEFAULT_PREFILL_TOKENS_PER_MS = 50;

/** Recent prefills from which the speed of an engine is estimated; few, so that it follows changes. */
const PREFILL_SPEED_SAMPLES = 15;

/**
 * Quantile of the recent prefill speeds that is used as the estimate. The lowest belong to prompts that
 * queued behind requests this host did not know of, the highest to prompts that were cached.
 */
const PREFILL_SPEED_QUANTILE = 0.8;

/** Weight of the newest sample in the mean token interval; about the last eight samples count. */
const TOKEN_INTERVAL_WEIGHT = 0.15;

interface Health {
  readonly consecutiveFailures: number;
  readonly backoffUntil: Millis;
  /** Speeds of the most recent prefills, in prompt tokens per millisecond. */
  readonly prefillSpeeds: readonly number[];
  /** Mean time between two output tokens of a stream; undefined until it was measured. */
  readonly tokenIntervalMs: Millis | undefined;
}

const HEALTHY: Health = {
  consecutiveFailures: 0,
  backoffUntil: 0,
  prefillSpeeds: [],
  tokenIntervalMs: undefined,
};

/**
 * Tracks the recent failures and the speed of each engine, as this host has seen them.
 *
 * Engines that are down, unreachable or slow can stay listed for a while; without this every request
 * would try them again.
 */
export class EngineHealth {
  private readonly healthByEngine = new Map<UpstreamId, Health>();

  /** Engines that are not used until they answer a probe. */
  private readonly suspected = new Set<UpstreamId>();

  /** Takes an engine out of use until {@link EngineHealth.trust} is called for it. */
  suspect(engine: UpstreamId): void {
    this.suspected.add(engine);
  }

  /** Takes an engine back into use, because it answered a probe or is not listed any more. */
  trust(engine: UpstreamId): void {
    this.suspected.delete(engine);
  }

  /** Gets whether an engine is out of use until it answers a probe. */
  isSuspected(engine: UpstreamId): boolean {
    return this.suspected.has(engine);
  }

  /** Drops what was recorded of engines that are not in the given set. */
  retain(engines: ReadonlySet<UpstreamId>): void {
    [...this.healthByEngine.keys()]
      .filter((id) => !engines.has(id))
      .forEach((id) => this.healthByEngine.delete(id));
  }

  /** Records a failure; each further one in a row doubles the back-off. */
  recordFailure(engine: UpstreamId, now: Millis): void {
    const health = this.healthByEngine.get(engine) ?? HEALTHY;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** health.consecutiveFailures,
    );
    this.healthByEngine.set(engine, {
      ...health,
      consecutiveFailures: health.consecutiveFailures + 1,
      backoffUntil: now + backoffMs,
    });
  }

  /** Records a success, which ends the back-off. */
  recordSuccess(engine: UpstreamId): void {
    const health = this.healthByEngine.get(engine);
    if (health === undefined || health.consecutiveFailures === 0) return;
    this.healthByEngine.set(engine, { ...health, consecutiveFailures: 0, backoffUntil: 0 });
  }

  /**
   * Records a prefill on an engine that had no other prompt to process, as far as this host knew.
   *
   * @param engine - The engine.
   * @param tokens - Tokens of the prompt.
   * @param tookMs - Milliseconds from sending the request to the answer.
   */
  recordPrefill(engine: UpstreamId, tokens: Tokens, tookMs: Millis): void {
    const health = this.healthByEngine.get(engine) ?? HEALTHY;
    const speed = tokens / Math.max(1, tookMs);
    const prefillSpeeds = [...health.prefillSpeeds, speed].slice(-PREFILL_SPEED_SAMPLES);
    this.healthByEngine.set(engine, { ...health, prefillSpeeds });
  }

  /**
   * Records a sample of the time between output tokens on an engine.
   *
   * @param engine - The engine.
   * @param tokenMs - Milliseconds between two tokens of a stream.
   */
  recordTokenInterval(engine: UpstreamId, tokenMs: Millis): void {
    const health = this.healthByEngine.get(engine) ?? HEALTHY;
    const mean = health.tokenIntervalMs ?? tokenMs;
    this.healthByEngine.set(engine, {
      ...health,
      tokenIntervalMs: mean + (tokenMs - mean) * TOKEN_INTERVAL_WEIGHT,
    });
  }

  /** Gets whether the engine is in back-off after a failure. */
  isBackingOff(engine: UpstreamId, now: Millis): boolean {
    return (this.healthByEngine.get(engine)?.backoffUntil ?? 0) > now;
  }

  /**
   * Estimates the prefill time of a prompt on an engine that has nothing else to do.
   *
   * @param engine - The engine.
   * @param tokens - Tokens of the prompt.
   * @param pool - Engines of the same pool; their mean speed is used until that of the engine is known.
   * @returns Milliseconds.
   */
  estimatePrefillMs(engine: UpstreamId, tokens: Tokens, pool: readonly UpstreamId[]): Millis {
    const tokensPerMs = this.prefillTokensPerMs(engine) ?? this.meanPrefillTokensPerMs(pool);
    return tokens / (tokensPerMs ?? DEFAULT_PREFILL_TOKENS_PER_MS);
  }

  /**
   * Gets the mean time between output tokens on an engine, or on its pool while that is not known.
   *
   * @param engine - The engine.
   * @param pool - Engines of the same pool.
   * @returns Milliseconds; undefined while no engine of the pool was measured.
   */
  tokenMs(engine: UpstreamId, pool: readonly UpstreamId[]): Millis | undefined {
    return this.healthByEngine.get(engine)?.tokenIntervalMs ?? this.meanTokenIntervalMs(pool);
  }

  /** Gets whether the last attempt on the engine failed. */
  isFailing(engine: UpstreamId): boolean {
    return (this.healthByEngine.get(engine)?.consecutiveFailures ?? 0) > 0;
  }

  /** Gets the mean prefill speed of the engines that were measured, in tokens per millisecond. */
  meanPrefillTokensPerMs(engines: readonly UpstreamId[]): number | undefined {
    return meanOf(engines.map((engine) => this.prefillTokensPerMs(engine)));
  }

  /** Gets the mean time between output tokens over the engines that were measured. */
  meanTokenIntervalMs(engines: readonly UpstreamId[]): Millis | undefined {
    return meanOf(engines.map((engine) => this.healthByEngine.get(engine)?.tokenIntervalMs));
  }

  private prefillTokensPerMs(engine: UpstreamId): number | undefined {
    const speeds = [...(this.healthByEngine.get(engine)?.prefillSpeeds ?? [])].sort(
      (a, b) => a - b,
    );
    return speeds[Math.floor(speeds.length * PREFILL_SPEED_QUANTILE)];
  }
}

/** Gets the mean of the values that are known; undefined where none is. */
function meanOf(values: readonly (number | undefined)[]): number | undefined {
  const known = values.filter((value) => value !== undefined);
  if (known.length === 0) return undefined;
  return known.reduce((sum, value) => sum + value, 0) / known.length;
}
