import type { Millis, Pieces, UpstreamId } from '@camphorvane/core';
import type { MemoryLedger } from '../ledger/MemoryLedger.ts';
import { IndexedHeap } from '../structures/IndexedHeap.ts';
import { type EngineState, takesWork } from './EngineState.ts';

/** Engines looked at for one request: the best few, so that the cost stays bounded. */
const LOOK_AT = 8;

/**
 * The decode engines in order of load.
 *
 * The order follows the exact ledger and not the load reports, so that many requests placed at once
 * spread out instead of all going to the engine that looked least loaded a second ago.
 */
export class DecodeBoard {
  private readonly byLoad = new IndexedHeap<UpstreamId>();

  private readonly byFree = new IndexedHeap<UpstreamId>();

  private readonly engines = new Map<UpstreamId, EngineState>();

  constructor(
    private readonly ledger: MemoryLedger,
    private itlTargetMs: Millis,
  ) {}

  /** Sets the target for the time between tokens. */
  setTarget(itlTargetMs: Millis): void {
    this.itlTargetMs = itlTargetMs;
  }

  /** Gets how many engines take work. */
  get size(): number {
    return this.byLoad.size;
  }

  /** Tells whether a list names every decode engine of the pool, up or down. */
  areAllIn(ids: readonly UpstreamId[]): boolean {
    if (ids.length === 0) return false;
    return [...this.engines.values()].every(
      ({ cfg }) => cfg.role !== 'decode' || ids.includes(cfg.id),
    );
  }

  /** Puts an engine into its place in the order, after anything about it has changed. */
  refresh(engine: EngineState): void {
    const { id, memoryPieces, role } = engine.cfg;
    this.engines.set(id, engine);
    if (!takesWork(engine) || role !== 'decode') {
      this.byLoad.delete(id);
      this.byFree.delete(id);
      return;
    }
    const free = this.ledger.getFree(id);
    const streams = this.ledger.getHolders(id) / this.getUsefulStreams(engine);
    this.byLoad.set(id, Math.max(streams, 1 - free / memoryPieces));
    this.byFree.set(id, -free);
  }

  /** Takes an engine out. */
  remove(id: UpstreamId): void {
    this.engines.delete(id);
    this.byLoad.delete(id);
    this.byFree.delete(id);
  }

  /**
   * Chooses the least loaded engine that has room.
   *
   * @param pieces - Memory that the request needs.
   * @param left - Share of memory and streams on the engine that it must leave free.
   * @param avoid - Engines that must not be chosen.
   * @param suits - A further condition on the engine.
   * @returns The engine, or undefined where none has room.
   */
  choose(
    pieces: Pieces,
    left: number,
    avoid: readonly UpstreamId[],
    suits: (engine: EngineState) => boolean,
  ): EngineState | undefined {
    const fits = (id: UpstreamId): boolean => {
      const engine = this.engines.get(id);
      if (engine === undefined || avoid.includes(id)) return false;
      return this.hasRoom(engine, pieces, left) && suits(engine);
    };
    const id = this.byLoad.find(fits, LOOK_AT) ?? this.byFree.find(fits, LOOK_AT);
    return id === undefined ? undefined : this.engines.get(id);
  }

  private hasRoom(engine: EngineState, pieces: Pieces, left: number): boolean {
    const { id, memoryPieces } = engine.cfg;
    const free = this.ledger.getFree(id);
    const holders = this.ledger.getHolders(id);
    if (free < pieces) return false;
    if (holders === 0) return true;
    const useful = this.getUsefulStreams(engine);
    return holders + 1 <= useful * (1 - left) && free - pieces >= memoryPieces * left;
  }

  private getUsefulStreams(engine: EngineState): number {
    return engine.speed.getUsefulStreams(this.itlTargetMs);
  }
}
