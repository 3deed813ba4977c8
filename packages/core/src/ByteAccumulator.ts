/** Bytes of the first buffer. */
const MIN_CAPACITY_BYTES = 1_024;

/**
 * Joins pieces of a body as they arrive, in one buffer that doubles as it fills.
 *
 * Keeping the pieces would take some hundred bytes for each of them, and the buffer of the socket that it is a part of.
 */
export class ByteAccumulator {
  private buffer: Buffer;

  private size = 0;

  /** @param capacity - Bytes to make room for at once, where the size is known. */
  constructor(capacity = 0) {
    this.buffer = Buffer.allocUnsafeSlow(capacity);
  }

  /** Gets the bytes that were added. */
  get length(): number {
    return this.size;
  }

  /**
   * Gets how much more memory it takes to add bytes.
   *
   * @param bytes - How many.
   * @returns Bytes of memory; 0 where there is room for them.
   */
  growthFor(bytes: number): number {
    return this.capacityFor(bytes) - this.buffer.length;
  }

  /** Adds a piece, which is copied. */
  add(piece: Uint8Array): void {
    const capacity = this.capacityFor(piece.length);
    if (capacity > this.buffer.length) {
      const grown = Buffer.allocUnsafeSlow(capacity);
      grown.set(this.buffer.subarray(0, this.size));
      this.buffer = grown;
    }
    this.buffer.set(piece, this.size);
    this.size += piece.length;
  }

  /** Gets all bytes, without a copy. */
  take(): Buffer {
    return this.buffer.subarray(0, this.size);
  }

  private capacityFor(bytes: number): number {
    const needed = this.size + bytes;
    if (needed <= this.buffer.length) return this.buffer.length;
    return Math.max(needed, 2 * this.buffer.length, MIN_CAPACITY_BYTES);
  }
}
