import type { EngineConfig, Millis, Tokens, UpstreamId } from '@camphorvane/core';
import { RandomSource, TOKENS_PER_PIECE } from '@camphorvane/core';
import type { EngineMoves } from '../shift/EngineMoves.ts';
import type { EngineHealth } from './EngineHealth.ts';
import type { EngineKnowledge } from './EngineKnowledge.ts';
import type { UseBook } from './EngineUse.ts';
import type { SlowStart } from './SlowStart.ts';

/** A request that asks for engines. */
export interface PlacementWish {
  readonly promptTokens: Tokens;
  /** Memory that the request takes on average while it runs, in tokens. */
  readonly memoryTokens: Tokens;
  /** Engines on which the request failed. */
  readonly avoid: readonly UpstreamId[];
  /** Longest pause between events that is on time for streams of this pool; absent: any. */
  readonly longestPauseMs?: Millis;
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
 * still for as long as it reads.
 */
const READ_AT_DECODE_MS: Millis = 120;

/**
 * Part of the pause that a stream may have which the reading of a prompt beside it may take. The rest
 * covers what the estimate misses, and the way to the caller.
 */
const PAUSE_PART = 0.9;

/** What a full engine is worth in waiting, in milliseconds: steps grow longer as it fills. */
const FULL_ENGINE_MS: Millis = 250;

/**
 * Part of an engine's memory that hosts fill. The rest covers what hosts that chose at the same
 * moment put there unseen; an engine that runs out preempts a running stream and reads it anew.
 */
export const MEMORY_PART = 0.95;

/**
 * Hosts from which on engines are drawn by lot before the best is taken. On digests that are a little old
 * all would choose the engine that looked emptiest, and fill it together.
 */
const DRAW_FROM_HOSTS = 20;

/** Engines of each role that are drawn. */
const DRAWN = 3;

interface PrefillOption {
  readonly cfg: EngineConfig;
  readonly readMs: Millis;
}

interface DecodeOption {
  readonly cfg: EngineConfig;
  readonly fill: number;
  readonly streams: number;
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

  private names: readonly UpstreamId[] = [];

  private readonly use: UseBook;

  private readonly health: EngineHealth;

  private readonly moves: EngineMoves;

  private readonly slowStart: SlowStart;

  private readonly random: RandomSource;

  /**
   * @param knowledge - What this host knows of the engines.
   * @param random - Draws engines in large fleets.
   */
  constructor({ use, health, moves, slowStart }: EngineKnowledge, random = new RandomSource(1)) {
    this.use = use;
    this.health = health;
    this.moves = moves;
    this.slowStart = slowStart;
    this.random = random;
  }

  /** Takes a changed list of engines into force. */
  reshape(engines: readonly EngineConfig[]): void {
    this.engines = engines;
    this.names = engines.map(({ id }) => id);
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
    const decodes = this.draw(this.decodes(wish, now));
    const prefills = this.draw(this.prefills(wish, now));
    const apart = decodes.flatMap((decode) =>
      prefills.map((prefill) => apartChoice(prefill, decode)),
    );
    const direct = decodes
      .filter((decode) => !decode.isReading)
      .filter((decode) => prefills.length === 0 || this.mayRead(decode, wish))
      .map((decode) => this.directChoice(decode, wish));
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
    const source = cfg === undefined ? undefined : { cfg, readMs: 0 };
    return this.decodes(wish, now)
      .map((decode) =>
        source === undefined ? this.directChoice(decode, wish) : apartChoice(source, decode),
      )
      .reduce<Choice | undefined>(cheaper, undefined)?.pair.decode;
  }

  /** Gets the time in which idle engines would read the prompt. */
  idleReadMs(wish: PlacementWish, pair: EnginePair): Millis {
    const ms = this.readMs(pair.prefill ?? pair.decode, wish.promptTokens);
    return pair.prefill === undefined ? ms * DECODE_READ_FACTOR : ms;
  }

  private draw<T>(all: readonly T[]): readonly T[] {
    if (this.use.getHostCount() < DRAW_FROM_HOSTS || all.length <= DRAWN) return all;
    return all
      .map((one) => ({ one, lot: this.random.next() }))
      .sort((a, b) => a.lot - b.lot)
      .slice(0, DRAWN)
      .map(({ one }) => one);
  }

  /**
   * Tells whether a decode engine may read a prompt without making its streams late.
   *
   * While it reads, its other streams get a token for each chunk only, so an event of theirs takes as
   * long as the reading on top of its usual time. One request that is read sooner can make all of them
   * late.
   */
  private mayRead({ cfg, streams }: DecodeOption, wish: PlacementWish): boolean {
    if (streams === 0) return true;
    const { longestPauseMs = Infinity } = wish;
    const tokenMs = this.health.tokenMs(cfg.id, this.names) ?? 0;
    const eventMs = tokenMs * (cfg.eventTokens ?? 1);
    const readMs = this.readMs(cfg.id, wish.promptTokens) * DECODE_READ_FACTOR;
    return readMs + eventMs <= longestPauseMs * PAUSE_PART;
  }

  private readMs(engine: UpstreamId, tokens: Tokens): Millis {
    return this.health.readMs(engine, tokens, this.names);
  }

  private directChoice({ cfg, fill }: DecodeOption, wish: PlacementWish): Choice {
    const readMs = this.readMs(cfg.id, wish.promptTokens) * DECODE_READ_FACTOR;
    return {
      pair: { prefill: undefined, decode: cfg.id, readMs },
      cost: readMs + READ_AT_DECODE_MS + fill * FULL_ENGINE_MS,
    };
  }

  private prefills(wish: PlacementWish, now: Millis): readonly PrefillOption[] {
    return this.usable('prefill', wish, now).map((cfg) => {
      const readMs = this.queueMs(cfg.id, now) + this.readMs(cfg.id, wish.promptTokens);
      return { cfg, readMs };
    });
  }

  /**
   * Gets the time until an engine has read the prompts that are there.
   *
   * It goes on reading while the hints of peers are on their way: without their age, prompts that were
   * read long since keep this host away from idle engines.
   */
  private queueMs(engine: UpstreamId, now: Millis): Millis {
    const { own, peers, peersAgeMs } = this.use.getPromptQueue(engine, now);
    const peersMs = peers === 0 ? 0 : Math.max(0, this.readMs(engine, peers) - peersAgeMs);
    return (own === 0 ? 0 : this.readMs(engine, own)) + peersMs;
  }

  /** Gets the decode engines with room for the whole request. */
  private decodes(wish: PlacementWish, now: Millis): readonly DecodeOption[] {
    return this.usable('decode', wish, now)
      .map((cfg) => ({ cfg, use: this.use.getTotal(cfg.id, now) }))
      .filter(({ cfg, use }) => use.streams < (cfg.slots ?? Infinity))
      .map(({ cfg, use }) => ({
        cfg,
        fill: (use.memoryTokens + wish.memoryTokens) / (cfg.memoryPieces * TOKENS_PER_PIECE),
        streams: use.streams,
        isReading: use.prefillTokens > 0,
      }))
      .filter(({ fill }) => fill <= MEMORY_PART);
  }

  /**
   * Gets the engines of a role; those that failed lately only where no other is there, and none that
   * changes its role, is being probed, or has just started and gets no more for now.
   */
  private usable(
    role: EngineConfig['role'],
    wish: PlacementWish,
    now: Millis,
  ): readonly EngineConfig[] {
    const all = this.engines.filter(
      ({ id, role: own }) => own === role && !wish.avoid.includes(id) && this.isUsable(id, now),
    );
    const rested = all.filter((cfg) => !this.health.isResting(cfg.id, now));
    return rested.length > 0 ? rested : all;
  }

  private isUsable(id: UpstreamId, now: Millis): boolean {
    if (this.health.isSuspected(id) || this.moves.roleOf(id, now) !== undefined) return false;
    return this.slowStart.allowance(id, now) > 0;
  }
}

function apartChoice(prefill: PrefillOption, decode: DecodeOption): Choice {
  const zoneMs = prefill.cfg.zone === decode.cfg.zone ? 0 : OTHER_ZONE_MS;
  return {
    pair: { prefill: prefill.cfg.id, decode: decode.cfg.id, readMs: prefill.readMs },
    cost: prefill.readMs + zoneMs + decode.fill * FULL_ENGINE_MS,
  };
}

function cheaper(best: Choice | undefined, choice: Choice): Choice {
  return best === undefined || choice.cost < best.cost ? choice : best;
}
