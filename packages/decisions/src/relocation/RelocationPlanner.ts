import type { Millis, RandomSource } from '@camphorvane/core';
import { MEMORY_FILL_LIMIT } from '../local/LocalPlacement.ts';
import { forecastMemory } from './forecastMemory.ts';
import type {
  Relocation,
  RelocationEngine,
  RelocationReason,
  RelocationView,
  RunningStream,
} from './relocationView.ts';
import { FORECAST_HORIZON_MS } from './relocationView.ts';
import { mayRunOn } from '../versions/StreamBinding.ts';

/** Events before its end at which a stream is not moved any more: it ends before the move pays off. */
const MIN_REMAINING_EVENTS = 10;

/**
 * Milliseconds that a stream must go on for a move to pay off: two calls to the source, one to the target,
 * and the copy of a few milliseconds, on busy hosts.
 */
const MOVE_COST_MS: Millis = 100;

/** Targets from which one is drawn, so that hosts with the same view don't all choose the same one. */
const TARGET_CHOICES = 3;

/**
 * Fill by which a target in another zone must be emptier: a copy between zones takes twice as long, and is
 * priced higher.
 */
const CROSS_ZONE_FILL = 0.1;

/** Fraction of the longest allowed pause that the time between two events may take on a usable engine. */
const PAUSE_BUDGET_FRACTION = 0.9;

/** Milliseconds between two tokens that are assumed until they were measured. */
const DEFAULT_TOKEN_MS: Millis = 1;

/**
 * Decides which running streams of this host move to another engine.
 *
 * Addresses engines that run out of memory, leave or turn slow while others have room. All hosts with
 * streams on such an engine see the same shortage. Each therefore moves its own streams only, as many as
 * correspond to its part of the engine's streams, rounded at random, and draws the target at random.
 */
export class RelocationPlanner {
  private readonly random: RandomSource;

  /** @param random - Rounds the number of moves and draws targets. */
  constructor(random: RandomSource) {
    this.random = random;
  }

  /**
   * Plans the moves that start now, at most one per engine.
   *
   * @param view - Engines and streams of one pool.
   * @param now - Present time; a stream that starts later than it is not moved.
   * @returns The moves.
   */
  plan(view: RelocationView, now: Millis): readonly Relocation[] {
    const started = view.streams.filter(({ startedAt }) => startedAt <= now);
    return view.engines
      .filter(({ id }) => !view.busySources.has(id))
      .flatMap((engine) => {
        const own = started.filter((stream) => stream.engine === engine.id);
        return own.length === 0 ? [] : this.planFrom(engine, own, view.engines);
      });
  }

  private planFrom(
    engine: RelocationEngine,
    own: readonly RunningStream[],
    engines: readonly RelocationEngine[],
  ): readonly Relocation[] {
    const { reason, stream } = this.choose(engine, own);
    if (stream === undefined) return [];
    const to = this.drawTarget(stream, engine, engines);
    return to === undefined ? [] : [{ stream: stream.id, from: engine.id, to: to.id, reason }];
  }

  /** Chooses the stream that moves away from an engine, and the reason that would move it. */
  private choose(
    engine: RelocationEngine,
    own: readonly RunningStream[],
  ): { readonly reason: RelocationReason; readonly stream: RunningStream | undefined } {
    const movable = own.filter((stream) => paysOff(stream, engine)).sort(byPreemption);
    if (engine.isLeaving) return { reason: 'leaving', stream: movable[0] };
    const late = movable.find((stream) => exceedsPause(engine, stream) && isSlow(stream));
    if (late !== undefined) return { reason: 'slow', stream: late };
    const isShort = this.isOwnTurn(engine, own);
    return { reason: 'memory', stream: isShort ? movable[0] : undefined };
  }

  /** Decides by chance whether this host moves a stream, so that all hosts together move enough of them. */
  private isOwnTurn(engine: RelocationEngine, own: readonly RunningStream[]): boolean {
    const { shortageTokens } = forecastMemory(engine);
    if (shortageTokens === 0) return false;
    const streams = Math.max(own.length, engine.streams);
    const meanTokens = Math.max(1, engine.held.tokens / streams);
    const wantedMoves = Math.ceil(shortageTokens / meanTokens);
    return this.random.next() < wantedMoves * (own.length / streams);
  }

  private drawTarget(
    stream: RunningStream,
    from: RelocationEngine,
    engines: readonly RelocationEngine[],
  ): RelocationEngine | undefined {
    const best = engines
      .filter((engine) => engine.id !== from.id && engine.isOpen && !engine.isLeaving)
      .filter(({ softwareVersion }) => mayRunOn(stream.binding, softwareVersion))
      .filter((engine) => engine.streams < engine.slots && !exceedsPause(engine, stream))
      .map((engine) => ({ engine, fill: fillAfter(engine, stream) }))
      .filter(({ fill }) => fill <= MEMORY_FILL_LIMIT)
      .map(({ engine, fill }) => ({
        engine,
        cost: fill + (engine.zone === from.zone ? 0 : CROSS_ZONE_FILL),
      }))
      .sort((a, b) => a.cost - b.cost)
      .slice(0, TARGET_CHOICES);
    return best.length === 0 ? undefined : best[this.random.int(0, best.length - 1)]?.engine;
  }
}

/**
 * Tells whether any stream may have to leave an engine; a cheap test, as most passes find nothing to do.
 *
 * @param engine - The engine.
 * @param streams - Running streams of this host.
 */
export function mayNeedRelocation(
  engine: RelocationEngine,
  streams: readonly RunningStream[],
): boolean {
  if (engine.isLeaving || forecastMemory(engine).shortageTokens > 0) return true;
  return streams.some((stream) => stream.engine === engine.id && exceedsPause(engine, stream));
}

/**
 * Gets the fill of an engine at the end of a stream that moves there.
 *
 * @param engine - The engine.
 * @param stream - The stream, which needs room for the whole rest of its output.
 * @returns Fraction of the memory.
 */
export function fillAfter(
  { held, reservedTokens, capacityTokens }: RelocationEngine,
  { heldTokens, remainingTokens }: Pick<RunningStream, 'heldTokens' | 'remainingTokens'>,
): number {
  const soonTokens = held.tokens + held.growthPerMs * FORECAST_HORIZON_MS;
  const usedTokens = Math.max(reservedTokens, soonTokens);
  return (usedTokens + heldTokens + remainingTokens) / capacityTokens;
}

function paysOff(
  { isPinned, remainingTokens }: RunningStream,
  { eventTokens, tokenMs = DEFAULT_TOKEN_MS }: RelocationEngine,
): boolean {
  if (isPinned || remainingTokens <= MIN_REMAINING_EVENTS * eventTokens) return false;
  return remainingTokens * tokenMs > MOVE_COST_MS;
}

function exceedsPause(
  { tokenMs = 0, eventTokens }: RelocationEngine,
  { longestPauseMs = Infinity }: RunningStream,
): boolean {
  return tokenMs * eventTokens > longestPauseMs * PAUSE_BUDGET_FRACTION;
}

/**
 * Tells whether the events of a stream come too slowly. The mean of its engine is not enough, as callers that
 * read slowly raise it.
 */
function isSlow({ eventMs = 0, longestPauseMs = Infinity }: RunningStream): boolean {
  return eventMs > longestPauseMs * PAUSE_BUDGET_FRACTION;
}

/** Orders streams as engines preempt them: the newest of the least urgent first. */
function byPreemption(a: RunningStream, b: RunningStream): number {
  return b.priority - a.priority || b.startedAt - a.startedAt;
}
