import type { Millis, Pieces, UpstreamId } from '@camphorvane/core';

const MS_PER_SECOND = 1000;

interface Booking {
  readonly start: Millis;
  readonly end: Millis;
}

/**
 * The account of the links into decode engines: in which spans each is taken by transfers.
 *
 * Made for prompts of tens of thousands of tokens beside short ones. A prefill's result lives less
 * than a second, so a prefill whose transfer can't start in that time is work thrown away. The
 * spans are kept apart, because a long prompt books its transfer for the time when its prefill is
 * over: a lookup that is ready before then goes through the gap and need not wait behind it.
 */
export class LinkLedger {
  /** Bookings by engine in order of time; as many as prefills under way, so short. */
  private readonly bookings = new Map<UpstreamId, readonly Booking[]>();

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
  getWaitMs(engine: UpstreamId, pieces: Pieces, readyAt: Millis): Millis {
    const needed = this.getTransferMs(pieces);
    const start = (this.bookings.get(engine) ?? []).reduce(
      (from, booking) => (booking.start - from >= needed ? from : Math.max(from, booking.end)),
      readyAt,
    );
    return start - readyAt;
  }

  /**
   * Books the link for one transfer, in the first gap that is long enough.
   *
   * @param engine - The decode engine.
   * @param pieces - Pieces to transfer.
   * @param readyAt - When the prefill is expected to be over.
   * @param now - Present time; bookings that are over are dropped.
   */
  take(engine: UpstreamId, pieces: Pieces, readyAt: Millis, now: Millis): void {
    const start = readyAt + this.getWaitMs(engine, pieces, readyAt);
    const booked = { start, end: start + this.getTransferMs(pieces) };
    const kept = (this.bookings.get(engine) ?? []).filter((other) => other.end > now);
    const after = kept.findIndex((other) => other.start >= start);
    const at = after < 0 ? kept.length : after;
    this.bookings.set(engine, [...kept.slice(0, at), booked, ...kept.slice(at)]);
  }

  /** Forgets an engine. */
  close(engine: UpstreamId): void {
    this.bookings.delete(engine);
  }
}
