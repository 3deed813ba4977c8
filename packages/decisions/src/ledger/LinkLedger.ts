import type { Millis, Pieces, UpstreamId } from '@camphorvane/core';

const MS_PER_SECOND = 1000;

/**
 * The account of the links into decode engines: until when each is taken by transfers.
 *
 * Made for prompts of tens of thousands of tokens that arrive together: a prefill's result lives
 * less than a second, so a prefill whose transfer can't start in that time is work thrown away.
 */
export class LinkLedger {
  private readonly takenUntil = new Map<UpstreamId, Millis>();

  private rate: number;

  /** @param piecesPerSecond - Rate of the link into each decode engine. */
  constructor(piecesPerSecond: number) {
    this.rate = piecesPerSecond;
  }

  /** Sets the rate of the links, in pieces a second. */
  setRate(piecesPerSecond: number): void {
    this.rate = piecesPerSecond;
  }

  /** Gets how long a transfer takes on a free link, in milliseconds. */
  getTransferMs(pieces: Pieces): Millis {
    return (pieces / this.rate) * MS_PER_SECOND;
  }

  /** Gets how long a transfer that is ready at some time waits for the link. */
  getWaitMs(engine: UpstreamId, readyAt: Millis): Millis {
    return Math.max(0, (this.takenUntil.get(engine) ?? 0) - readyAt);
  }

  /**
   * Takes the link for one transfer.
   *
   * @param engine - The decode engine.
   * @param pieces - Pieces to transfer.
   * @param readyAt - When the prefill is expected to be over.
   * @returns When the transfer is expected to be over.
   */
  take(engine: UpstreamId, pieces: Pieces, readyAt: Millis): Millis {
    const start = readyAt + this.getWaitMs(engine, readyAt);
    const end = start + this.getTransferMs(pieces);
    this.takenUntil.set(engine, end);
    return end;
  }

  /** Forgets an engine. */
  close(engine: UpstreamId): void {
    this.takenUntil.delete(engine);
  }
}
