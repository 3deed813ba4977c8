import type { EngineConfig, Millis, Tokens, UpstreamId, ZoneId } from '@camphorvane/core';
import { TOKENS_PER_PIECE } from '@camphorvane/core';
import type { EngineHealth } from './EngineHealth.ts';
import type { UseBook } from './EngineUse.ts';

/** A request that asks for engines. */
export interface PlacementWish {
  readonly promptTokens: Tokens;
  readonly maxOutputTokens: Tokens;
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
 * Part of an engine's memory that hosts fill. The rest covers what hosts that chose at the same
 * moment put there unseen; an engine that runs out preempts a running stream and reads it anew.
 */
const MEMORY_PART = 0.95;

interface Candidate {
  readonly cfg: EngineConfig;
  readonly fill: number;
}

/**
 * Chooses engines with what this host knows, without asking anybody.
 *
 * Made for hosts that may lose each other at any moment: each one places on its own, on what its
 * peers said within the last second. Prefill goes where the prompt will be read first, decode where
 * the least memory is taken, both in one zone where that costs nothing.
 */
export class LocalPlacement {
  private engines: readonly EngineConfig[] = [];

  private readonly book: UseBook;

  private readonly health: EngineHealth;

  /**
   * @param book - What all hosts have on the engines.
   * @param health - How the engines did lately.
   */
  constructor(book: UseBook, health: EngineHealth) {
    this.book = book;
    this.health = health;
  }

  /** Takes a changed list of engines into force. */
  reshape(engines: readonly EngineConfig[]): void {
    this.engines = engines;
    this.health.keepOnly(new Set(engines.map((engine) => engine.id)));
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
    const decodes = this.roomyDecodes(wish, now);
    const [first] = decodes;
    if (first === undefined) return undefined;
    const prefill = this.soonestPrefill(wish, now);
    const direct: EnginePair = {
      prefill: undefined,
      decode: first.cfg.id,
      readMs: this.health.readMs(first.cfg.id, wish.promptTokens) * DECODE_READ_FACTOR,
    };
    if (prefill === undefined) return direct;
    const decode = nearest(decodes, prefill.cfg.zone);
    return { prefill: prefill.cfg.id, decode: decode.cfg.id, readMs: prefill.readMs };
  }

  /** Gets the time in which an idle engine would read the prompt. */
  idleReadMs(wish: PlacementWish, pair: EnginePair): Millis {
    const ms = this.health.readMs(pair.prefill ?? pair.decode, wish.promptTokens);
    return pair.prefill === undefined ? ms * DECODE_READ_FACTOR : ms;
  }

  private soonestPrefill(
    wish: PlacementWish,
    now: Millis,
  ): { readonly cfg: EngineConfig; readonly readMs: Millis } | undefined {
    return this.usable('prefill', wish, now)
      .map((cfg) => {
        const queued = this.book.getTotal(cfg.id, now).prefillTokens;
        return { cfg, readMs: this.health.readMs(cfg.id, queued + wish.promptTokens) };
      })
      .sort((a, b) => a.readMs - b.readMs)[0];
  }

  /** Gets the decode engines with room, emptiest first. */
  private roomyDecodes(wish: PlacementWish, now: Millis): readonly Candidate[] {
    const need = wish.promptTokens + wish.maxOutputTokens;
    return this.usable('decode', wish, now)
      .map((cfg) => ({ cfg, use: this.book.getTotal(cfg.id, now) }))
      .filter(({ cfg, use }) => use.streams < (cfg.slots ?? Infinity))
      .map(({ cfg, use }) => ({
        cfg,
        fill: (use.memoryTokens + need) / (cfg.memoryPieces * TOKENS_PER_PIECE),
      }))
      .filter(({ fill }) => fill <= MEMORY_PART)
      .sort((a, b) => a.fill - b.fill);
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

/** Difference of fill below which the zone decides: a few requests on an engine of eighteen. */
const SAME_FILL = 0.15;

function nearest(decodes: readonly Candidate[], zone: ZoneId): Candidate {
  const [first] = decodes;
  const near = decodes.find(
    (one) => one.cfg.zone === zone && one.fill - (first?.fill ?? 0) <= SAME_FILL,
  );
  return near ?? (first as Candidate);
}
