import type { EngineConfig, Millis, Tokens, UpstreamId } from '@camphorvane/core';
import { RandomSource, TOKENS_PER_PIECE } from '@camphorvane/core';
import type { EngineHealth } from './EngineHealth.ts';
import type { UseBook } from './EngineUse.ts';

/** A request that asks for engines. */
export interface PlacementWish {
  readonly promptTokens: Tokens;
  /** Memory that the request takes on average while it runs, in tokens. */
  readonly memoryTokens: Tokens;
  /** Engines on which the request failed. */
  readonly avoid: readonly UpstreamId[];
}

/** The engines for a request; without a prefill engine the decode engine reads the prompt itself. */
export interface EnginePair {
  readonly prefill: UpstreamId | undefined;
  readonly decode: UpstreamId;
  /** Milliseconds until the prompt is read, as expected. */
  readonly readMs: Millis;
}

/** A decode engine that reads prompts does so at half the speed, between the tokens of others. */
const DECODE_READ_FACTOR = 2;

/**
 * What a transfer between zones is worth in waiting, in milliseconds: it takes twice as long as one
 * within a zone, and its bytes are paid for three times over.
 */
const OTHER_ZONE_MS: Millis = 40;

/**
 * What reading a prompt on a decode engine is worth in waiting, in milliseconds: its streams stand
 * still for as long as it reads, so prefill engines are kept busier than by a quarter of a second
 * before it is done.
 */
const READ_AT_DECODE_MS: Millis = 120;

/** What a full engine is worth in waiting, in milliseconds: steps grow longer as it fills. */
const FULL_ENGINE_MS: Millis = 250;

/**
 * Part of an engine's memory that hosts fill. The rest covers what hosts that chose at the same
 * moment put there unseen; an engine that runs out preempts a running stream and reads it anew.
 */
const MEMORY_PART = 0.95;

/**
 * Hosts from which on engines are drawn by lot before the best is taken. So many hosts choose on words
 * that are up to a second old; all would choose the engine that looked emptiest, and fill it together.
 */
const DRAW_FROM_HOSTS = 20;

/** Engines of each role that are drawn. */
const DRAWN = 3;

interface Reader {
  readonly cfg: EngineConfig;
  readonly readMs: Millis;
}

interface Writer {
  readonly cfg: EngineConfig;
  readonly fill: number;
  /** Whether a prompt is being read there already. */
  readonly isReading: boolean;
}

interface Choice {
  readonly pair: EnginePair;
  readonly cost: Millis;
}

/**
 * Chooses engines with what this host knows, without asking anybody.
 *
 * Made for hosts that may lose each other at any moment: each one places on its own, on what its
 * peers said within the last second. The pair with the least expected wait wins; a decode engine
 * reads the prompt itself where the prefill engines are taken or gone.
 */
export class LocalPlacement {
  private engines: readonly EngineConfig[] = [];

  private readonly book: UseBook;

  private readonly health: EngineHealth;

  private readonly random: RandomSource;

  /**
   * @param random - Draws engines in large fleets.
   * @param book - What all hosts have on the engines.
   * @param health - How the engines did lately.
   */
  constructor(book: UseBook, health: EngineHealth, random: RandomSource = new RandomSource(1)) {
    this.book = book;
    this.health = health;
    this.random = random;
  }

  /** Takes a changed list of engines into force. */
  reshape(engines: readonly EngineConfig[]): void {
    this.engines = engines;
  }

  /** Tells whether there is any engine that gives output. */
  hasEngines(): boolean {
    return this.engines.some((engine) => engine.role === 'decode');
  }

  /**
   * Chooses engines for a request.
   *
   * @param wish - The request.
   * @param now - Present time.
   * @returns The engines, or undefined while no decode engine has room.
   */
  choose(wish: PlacementWish, now: Millis): EnginePair | undefined {
    const writers = this.draw(this.writers(wish, now));
    const readers = this.draw(this.readers(wish, now));
    const apart = writers.flatMap((writer) => readers.map((reader) => apartChoice(reader, writer)));
    const direct = writers
      .filter((writer) => !writer.isReading)
      .map((writer) => this.directChoice(writer, wish));
    return [...apart, ...direct].reduce<Choice | undefined>(cheaper, undefined)?.pair;
  }

  /**
   * Chooses a decode engine for a prompt that is read already.
   *
   * @param wish - The request.
   * @param prefill - Engine that holds the prompt's memory.
   * @param now - Present time.
   * @returns The engine, or undefined where none has room.
   */
  chooseDecode(
    wish: PlacementWish,
    prefill: UpstreamId | undefined,
    now: Millis,
  ): UpstreamId | undefined {
    const cfg = this.engines.find((engine) => engine.id === prefill);
    const reader = cfg === undefined ? undefined : { cfg, readMs: 0 };
    return this.writers(wish, now)
      .map((writer) =>
        reader === undefined ? this.directChoice(writer, wish) : apartChoice(reader, writer),
      )
      .reduce<Choice | undefined>(cheaper, undefined)?.pair.decode;
  }

  /** Gets the time in which idle engines would read the prompt. */
  idleReadMs(wish: PlacementWish, pair: EnginePair): Millis {
    const ms = this.health.readMs(pair.prefill ?? pair.decode, wish.promptTokens);
    return pair.prefill === undefined ? ms * DECODE_READ_FACTOR : ms;
  }

  private draw<T>(all: readonly T[]): readonly T[] {
    if (this.book.getHostCount() < DRAW_FROM_HOSTS || all.length <= DRAWN) return all;
    return all
      .map((one) => ({ one, lot: this.random.next() }))
      .sort((a, b) => a.lot - b.lot)
      .slice(0, DRAWN)
      .map(({ one }) => one);
  }

  private directChoice({ cfg, fill }: Writer, wish: PlacementWish): Choice {
    const readMs = this.health.readMs(cfg.id, wish.promptTokens) * DECODE_READ_FACTOR;
    return {
      pair: { prefill: undefined, decode: cfg.id, readMs },
      cost: readMs + READ_AT_DECODE_MS + fill * FULL_ENGINE_MS,
    };
  }

  private readers(wish: PlacementWish, now: Millis): readonly Reader[] {
    return this.usable('prefill', wish, now).map((cfg) => {
      const queued = this.book.getTotal(cfg.id, now).prefillTokens;
      return { cfg, readMs: this.health.readMs(cfg.id, queued + wish.promptTokens) };
    });
  }

  /** Gets the decode engines with room for the whole request. */
  private writers(wish: PlacementWish, now: Millis): readonly Writer[] {
    return this.usable('decode', wish, now)
      .map((cfg) => ({ cfg, use: this.book.getTotal(cfg.id, now) }))
      .filter(({ cfg, use }) => use.streams < (cfg.slots ?? Infinity))
      .map(({ cfg, use }) => ({
        cfg,
        fill: (use.memoryTokens + wish.memoryTokens) / (cfg.memoryPieces * TOKENS_PER_PIECE),
        isReading: use.prefillTokens > 0,
      }))
      .filter(({ fill }) => fill <= MEMORY_PART);
  }

  /** Gets the engines of a role; those that failed lately only where no other is there. */
  private usable(
    role: EngineConfig['role'],
    wish: PlacementWish,
    now: Millis,
  ): readonly EngineConfig[] {
    const all = this.engines.filter((cfg) => cfg.role === role && !wish.avoid.includes(cfg.id));
    const rested = all.filter((cfg) => !this.health.isResting(cfg.id, now));
    return rested.length > 0 ? rested : all;
  }
}

function apartChoice(reader: Reader, writer: Writer): Choice {
  const zoneMs = reader.cfg.zone === writer.cfg.zone ? 0 : OTHER_ZONE_MS;
  return {
    pair: { prefill: reader.cfg.id, decode: writer.cfg.id, readMs: reader.readMs },
    cost: reader.readMs + zoneMs + writer.fill * FULL_ENGINE_MS,
  };
}

function cheaper(best: Choice | undefined, choice: Choice): Choice {
  return best === undefined || choice.cost < best.cost ? choice : best;
}
