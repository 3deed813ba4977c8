import type { Clock, ReservationId } from '@camphorvane/core';
import type { EngineEntry } from '../host/UpstreamDirectory.ts';
import type { RelocationLedger } from '../placing/RelocationLedger.ts';
import type { StreamBackup } from './streamRequest.ts';

/** Options of a {@link StreamHolding}. */
export interface StreamHoldingOptions {
  readonly reservation: ReservationId;
  readonly ledger: RelocationLedger;
  readonly clock: Clock;
}

/** What a stream holds: its reservation, and the memory of its copy. */
export class StreamHolding {
  private readonly options: StreamHoldingOptions;

  private engine: EngineEntry;

  private backup: StreamBackup | undefined;

  /**
   * @param engine - Engine of the reservation.
   * @param backup - Engine that receives a copy; undefined for none.
   * @param options - The reservation, and who keeps it.
   */
  constructor(
    engine: EngineEntry,
    backup: StreamBackup | undefined,
    options: StreamHoldingOptions,
  ) {
    this.engine = engine;
    this.backup = backup;
    this.options = options;
  }

  /** Gets the engine that runs the stream, or that it moves to. */
  getEngine(): EngineEntry {
    return this.engine;
  }

  /** Gets the engine that receives a copy; undefined for none. */
  getBackup(): StreamBackup | undefined {
    return this.backup;
  }

  /** Makes the reservation follow the stream. */
  moveTo(entry: EngineEntry): void {
    const { reservation, ledger, clock } = this.options;
    this.engine = entry;
    ledger.moveTo(reservation, entry.cfg.id, clock.now());
  }

  /** Returns the memory of the copy; idempotent. */
  dropBackup(): void {
    if (this.backup === undefined) return;
    const { entry, memoryTokens } = this.backup;
    this.backup = undefined;
    this.options.ledger.adjustCopy(entry.cfg.id, -memoryTokens);
  }
}
