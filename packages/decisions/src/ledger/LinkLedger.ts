import type { Millis, Pieces, UpstreamId } from '@camphorvane/core';

const MS_PER_SECOND = 1000;

interface Booking {
  readonly start: Millis;
  readonly end: Millis;
}

/**
 * Tracks when the network links into decode engines are booked for transfers.
 *
 * A prefill engine keeps a result for less than a second, so a prefill whose transfer can't start in
 * that time is wasted. Bookings are separate intervals rather than one end time: a prompt of tens of
 * thousands of tokens books its transfer for the end of its prefill, and a lookup that is ready
 * before then uses the gap instead of waiting behind it.
 */
export class LinkLedger {
  /** Bookings by engine, in order of time; about one per prefill in flight, so the lists are short. */
  private readonly bookings = new Map<UpstreamId, readonly Booking[]>();

  private piecesPerSecond: number;

  /** @param piecesPerSecond - Bandwidth of the link into each decode engine. */
  constructor(piecesPerSecond: number) {
    this.piecesPerSecond = piecesPerSecond;
  }

  /** Sets the bandwidth of each link, in pieces per second. */
  setBandwidth(piecesPerSecond: number): void {
    this.piecesPerSecond = piecesPerSecond;
  }

  /** Gets the duration of a transfer on an idle link. */
  getTransferMs(pieces: Pieces): Millis {
    return (pieces / this.piecesPerSecond) * MS_PER_SECOND;
  }

  /** Gets how long a transfer that is ready at a given time has to wait for the link. */
  getWaitMs(engine: UpstreamId, pieces: Pieces, readyAt: Millis): Millis {
    const transferMs = this.getTransferMs(pieces);
    const start = (this.bookings.get(engine) ?? []).reduce(
      (from, booking) => (booking.start - from >= transferMs ? from : Math.max(from, booking.end)),
      readyAt,
    );
    return start - readyAt;
  }

  /**
   * Books the link for a transfer, in the first gap that is long enough.
   *
   * @param engine - The decode engine.
   * @param pieces - Pieces to transfer.
   * @param readyAt - Expected end of the prefill.
   * @param now - Present time; earlier bookings are dropped.
   */
  book(engine: UpstreamId, pieces: Pieces, readyAt: Millis, now: Millis): void {
    const start = readyAt + this.getWaitMs(engine, pieces, readyAt);
    const booking = { start, end: start + this.getTransferMs(pieces) };
    const kept = (this.bookings.get(engine) ?? []).filter((other) => other.end > now);
    const after = kept.findIndex((other) => other.start >= start);
    const at = after < 0 ? kept.length : after;
    this.bookings.set(engine, [...kept.slice(0, at), booking, ...kept.slice(at)]);
  }

  /** Removes an engine and its bookings. */
  remove(engine: UpstreamId): void {
    this.bookings.delete(engine);
  }
}
