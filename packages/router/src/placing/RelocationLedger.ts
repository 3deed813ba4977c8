import type {
  EngineConfig,
  Millis,
  PoolConfig,
  ReservationId,
  Tokens,
  UpstreamId,
} from '@camphorvane/core';
import { TOKENS_PER_PIECE } from '@camphorvane/core';
import type { EngineKnowledge, HeldMemory, RelocationEngine } from '@camphorvane/decisions';
import { sumHeld } from '@camphorvane/decisions';
import type { LocalReservations } from './LocalReservations.ts';

/** A copy of a running stream on another engine. */
export interface BackupCopy {
  readonly engine: UpstreamId;
  readonly held: HeldMemory;
}

/** Gets the time between two tokens on an engine, or the mean of its pool; undefined while not measured. */
export type TokenIntervals = (engine: UpstreamId) => Millis | undefined;

/** What this host's streams hold on each engine, and the reservations that follow them. */
export class RelocationLedger {
  private readonly knowledge: EngineKnowledge;

  private readonly reservations: LocalReservations;

  private readonly onStateChange: () => void;

  /**
   * @param knowledge - What this host knows of the engines.
   * @param reservations - Reservations of this host's requests.
   * @param onStateChange - Called when a reservation moves, so that peers learn of it soon.
   */
  constructor(
    knowledge: EngineKnowledge,
    reservations: LocalReservations,
    onStateChange: () => void,
  ) {
    this.knowledge = knowledge;
    this.reservations = reservations;
    this.onStateChange = onStateChange;
  }

  /**
   * Publishes what this host's streams hold, for peers and for its own forecast.
   *
   * @param running - What streams hold whose output has begun; others hold their prompt.
   * @param copies - Copies of streams on other engines.
   */
  publish(
    running: ReadonlyMap<ReservationId, HeldMemory>,
    copies: readonly BackupCopy[] = [],
  ): void {
    const held = this.reservations.entries().map(([id, { pair, promptTokens }]) => ({
      engine: pair.decode,
      held: running.get(id) ?? { tokens: promptTokens, growthPerMs: 0 },
    }));
    const sums = [...held, ...copies].reduce((all, one) => {
      const sum = all.get(one.engine);
      return all.set(one.engine, sum === undefined ? one.held : sumHeld(sum, one.held));
    }, new Map<UpstreamId, HeldMemory>());
    this.knowledge.inFlight.setHeld(sums);
  }

  /** Stops publishing what streams hold. */
  clear(): void {
    this.knowledge.inFlight.setHeld(new Map());
  }

  /** Moves the stream and the memory of a reservation to another engine. */
  moveTo(reservation: ReservationId, engine: UpstreamId, now: Millis): void {
    this.reservations.moveDecode(reservation, engine, now);
    this.onStateChange();
  }

  /** Reserves memory for a copy, or releases it. */
  adjustCopy(engine: UpstreamId, memoryTokens: Tokens): void {
    this.knowledge.inFlight.adjust(engine, { memoryTokens });
    this.onStateChange();
  }

  /** Gets the function that estimates the time between two tokens on an engine of a pool. */
  tokenIntervals(pool: PoolConfig): TokenIntervals {
    const { health } = this.knowledge;
    const meanMs = health.meanTokenIntervalMs(pool.engines.map(({ id }) => id));
    return (engine) => health.tokenMs(engine, []) ?? meanMs;
  }

  /**
   * Gets the decode engines of a pool.
   *
   * @param pool - The pool.
   * @param unlisted - Engines with streams of this host that are not in the configuration any more.
   * @param now - Present time.
   * @param only - Engines to get; absent for all.
   * @returns The engines; unlisted ones are leaving.
   */
  engines(
    pool: PoolConfig,
    unlisted: readonly EngineConfig[],
    now: Millis,
    only?: ReadonlySet<UpstreamId>,
  ): readonly RelocationEngine[] {
    const isWanted = ({ id }: EngineConfig): boolean => only === undefined || only.has(id);
    const listed = pool.engines.filter((cfg) => cfg.role === 'decode' && isWanted(cfg));
    const intervals = this.tokenIntervals(pool);
    return [
      ...listed.map((cfg) => this.engine(cfg, intervals, now, true)),
      ...unlisted.filter(isWanted).map((cfg) => this.engine(cfg, intervals, now, false)),
    ];
  }

  private engine(
    cfg: EngineConfig,
    intervals: TokenIntervals,
    now: Millis,
    isListed: boolean,
  ): RelocationEngine {
    const { inFlight, admission, health } = this.knowledge;
    const { id, zone, slots = Infinity, memoryPieces, eventTokens = 1 } = cfg;
    const { streams, memoryTokens } = inFlight.getTotal(id, now);
    return {
      id,
      zone,
      slots,
      streams,
      eventTokens,
      capacityTokens: memoryPieces * TOKENS_PER_PIECE,
      reservedTokens: memoryTokens,
      held: inFlight.getHeld(id, now),
      tokenMs: intervals(id),
      isLeaving: !isListed || admission.constraints.isLeaving(id),
      isOpen: isListed && this.isOpen(id, now) && !health.isBackingOff(id, now),
      softwareVersion: cfg.softwareVersion,
    };
  }

  private isOpen(id: UpstreamId, now: Millis): boolean {
    const { admission, health, roleChanges } = this.knowledge;
    if (health.isSuspected(id) || roleChanges.getTargetRole(id, now) !== undefined) return false;
    return admission.allowance(id, now) > 0 && !admission.isReluctant(id, now);
  }
}
