import type { IncomingMessage } from 'node:http';
import type { Refusal, Reservation } from '@camphorvane/core';
import { ByteAccumulator, outcomeUnknown } from '@camphorvane/core';

const HTTP_1_1 = 1;

/** Most bytes of a body that are held for one caller. */
const MAX_HELD_BYTES = 4 * 1024 * 1024;

/**
 * Tells whether a caller reads chunks. One that does not would take the close of its connection for the end of a body
 * without a length.
 *
 * @param req - Its request.
 */
export function readsChunks({ httpVersionMajor, httpVersionMinor }: IncomingMessage): boolean {
  return httpVersionMajor > 1 || httpVersionMinor >= HTTP_1_1;
}

/** Gets the refusal in place of a body that there is no room to hold. */
export function tooLargeToHold(): Refusal {
  const text = 'The answer is too large for a caller that reads no chunks.';
  return outcomeUnknown('no_capacity', text);
}

/** A body that is held until it is whole. */
export class HeldBody {
  private readonly reservation: Reservation;

  private readonly body = new ByteAccumulator();

  /** @param reservation - Counts its bytes. */
  constructor(reservation: Reservation) {
    this.reservation = reservation;
  }

  /**
   * Adds bytes.
   *
   * @param chunk - The bytes.
   * @returns False where there is no room for them.
   */
  tryAdd(chunk: Uint8Array): boolean {
    if (this.body.length + chunk.length > MAX_HELD_BYTES) return false;
    if (!this.reservation.tryGrow(this.body.growthFor(chunk.length))) return false;
    this.body.add(chunk);
    return true;
  }

  /** Gets the whole body, and returns its room. */
  take(): Buffer {
    this.release();
    return this.body.take();
  }

  /** Returns the room; idempotent. */
  release(): void {
    this.reservation.release();
  }
}
