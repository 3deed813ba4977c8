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

/** Prompts that an engine's speed is taken from: the last ones, so that it follows a change. */
const SPEED_SAMPLES = 15;

/**
 * Place of the speed that is taken among those measured. Some prompts wait behind others of which this
 * host does not know yet, and seem slow; a few were read before, and take no time at all.
 */
const SPEED_QUANTILE = 0.8;

/** Weight of the newest time between tokens; about the last eight measurements count. */
const TOKEN_WEIGHT = 0.15;

interface Health {
  readonly failures: number;
  readonly restUntil: Millis;
  /** Prompt tokens read in a millisecond, for each of the last prompts. */
  readonly readSpeeds: readonly number[];
  /** Milliseconds between two output tokens of a stream; undefined until there were some. */
  readonly tokenMs: Millis | undefined;
}

const HEALTHY: Health = {
  failures: 0,
  restUntil: 0,
  readSpeeds: [],
  tokenMs: undefined,
};

/**
 * Remembers how engines did for this host: which failed lately, and how fast each reads prompts.
 *
 * Made for engines that are down, dark or slow while the list of servers still names them: without it
 * every request would try them again.
 */
export class EngineHealth {
  private readonly known = new Map<UpstreamId, Health>();

  /** Engines that are not used until a probe finds them up. */
  private readonly suspected = new Set<UpstreamId>();

  /** Takes an engine out of use until it is trusted again. */
  suspect(engine: UpstreamId): void {
    this.suspected.add(engine);
  }

  /** Notes that an engine answered a probe. */
  trust(engine: UpstreamId): void {
    this.suspected.delete(engine);
  }

  /** Tells whether an engine is out of use until it answers. */
  isSuspected(engine: UpstreamId): boolean {
    return this.suspected.has(engine);
  }

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
   * Takes in the time that a prefill took on an engine that had nothing else to read, as far as known.
   *
   * @param engine - The engine.
   * @param tokens - Tokens of the prompt.
   * @param tookMs - Milliseconds from sending to the answer.
   */
  prefillTook(engine: UpstreamId, tokens: Tokens, tookMs: Millis): void {
    const health = this.known.get(engine) ?? HEALTHY;
    const measured = tokens / Math.max(1, tookMs);
    const readSpeeds = [...health.readSpeeds, measured].slice(-SPEED_SAMPLES);
    this.known.set(engine, { ...health, readSpeeds });
  }

  /**
   * Takes in how fast an engine made the output of streams.
   *
   * @param engine - The engine.
   * @param tokenMs - Milliseconds between two tokens of a stream.
   */
  tokensTook(engine: UpstreamId, tokenMs: Millis): void {
    const health = this.known.get(engine) ?? HEALTHY;
    const known = health.tokenMs ?? tokenMs;
    this.known.set(engine, { ...health, tokenMs: known + (tokenMs - known) * TOKEN_WEIGHT });
  }

  /** Tells whether the engine is passed over at present. */
  isResting(engine: UpstreamId, now: Millis): boolean {
    return (this.known.get(engine)?.restUntil ?? 0) > now;
  }

  /**
   * Gets the time that an engine takes to read so many tokens.
   *
   * @param engine - The engine.
   * @param tokens - What it is to read.
   * @param alike - Engines of its kind, whose speed is taken until it has shown its own.
   * @returns Milliseconds.
   */
  readMs(engine: UpstreamId, tokens: Tokens, alike: readonly UpstreamId[]): Millis {
    const readPerMs = this.readPerMs(engine) ?? this.meanReadPerMs(alike);
    return tokens / (readPerMs ?? ASSUMED_TOKENS_PER_MS);
  }

  /** Gets the time of an output token of an engine, or of its kind; undefined before there was one. */
  tokenMs(engine: UpstreamId, alike: readonly UpstreamId[]): Millis | undefined {
    return this.known.get(engine)?.tokenMs ?? this.meanTokenMs(alike);
  }

  /** Tells whether the engine failed when it was last tried. */
  isFailing(engine: UpstreamId): boolean {
    return (this.known.get(engine)?.failures ?? 0) > 0;
  }

  /** Gets the mean speed of those engines that have shown one; undefined where none has. */
  meanReadPerMs(engines: readonly UpstreamId[]): number | undefined {
    return meanOf(engines.map((engine) => this.readPerMs(engine)));
  }

  /** Gets the mean time of an output token, over engines that have made some. */
  meanTokenMs(engines: readonly UpstreamId[]): Millis | undefined {
    return meanOf(engines.map((engine) => this.known.get(engine)?.tokenMs));
  }

  private readPerMs(engine: UpstreamId): number | undefined {
    const speeds = [...(this.known.get(engine)?.readSpeeds ?? [])].sort((a, b) => a - b);
    return speeds[Math.floor(speeds.length * SPEED_QUANTILE)];
  }
}

function meanOf(values: readonly (number | undefined)[]): number | undefined {
  const known = values.filter((value) => value !== undefined);
  if (known.length === 0) return undefined;
  return known.reduce((sum, value) => sum + value, 0) / known.length;
}
