import type { OnReadOpts, Socket } from 'node:net';
import { Duplex } from 'node:stream';

/** Bytes that are read at a time. Node reads up to 64 KB, several of which a paused connection holds. */
export const PACED_CHUNK_BYTES = 8 * 1024;

/** Buffer of all connections: what is read is copied out of it at once. */
const READ_BUFFER = Buffer.alloc(PACED_CHUNK_BYTES);

/**
 * A connection that reads small chunks, and none before the previous one has been taken.
 *
 * A paused response holds one chunk in its socket, one in its body and up to two that its caller has not taken.
 * With chunks of 64 KB, 1,000 slow callers would hold more than the memory of a small host.
 *
 * Its end is passed on only while undici reads, and a reset under another code. undici takes either for the end
 * of the body, and throws an assertion outside of any call if it has paused the connection.
 */
export class PacedSocket extends Duplex {
  private socket: Socket | undefined;

  /** Whether the other side has closed in order. */
  private hasEnded = false;

  /** Whether the end was passed on. */
  private isEndDelivered = false;

  /** Whether undici is being asked to read, which it does unless it has paused the connection. */
  private isOffering = false;

  private isOfferScheduled = false;

  /** Options of the connection that this object reads from. */
  readonly onread: OnReadOpts = {
    buffer: READ_BUFFER,
    callback: (length, chunk) => this.push(Buffer.from(chunk.subarray(0, length))),
  };

  constructor() {
    super({ readableHighWaterMark: 1 });
  }

  /** Sets the connection, which was created with {@link onread}. */
  attach(socket: Socket): this {
    this.socket = socket;
    socket.once('end', () => {
      this.hasEnded = true;
      this.scheduleOffer();
    });
    socket.once('error', (cause) => this.destroy(new Error('the connection broke', { cause })));
    socket.once('close', () => {
      if (!this.hasEnded) this.destroy(new Error('the connection was closed'));
    });
    return this;
  }

  /** {@inheritDoc Duplex.read} */
  override read(size?: number): unknown {
    const chunk: unknown = super.read(size);
    const isAtEnd = chunk === null && size !== 0 && this.hasEnded && this.readableLength === 0;
    if (isAtEnd && !this.isEndDelivered) this.deliverEnd();
    return chunk;
  }

  /** Passes the end on where undici reads by itself; otherwise it may pause again before it hears of it. */
  private deliverEnd(): void {
    if (!this.isOffering) {
      this.scheduleOffer();
      return;
    }
    this.isEndDelivered = true;
    this.push(null);
  }

  private scheduleOffer(): void {
    if (this.isOfferScheduled) return;
    this.isOfferScheduled = true;
    setImmediate(() => {
      this.isOfferScheduled = false;
      if (this.destroyed || this.isEndDelivered) return;
      this.isOffering = true;
      this.emit('readable');
      this.isOffering = false;
    });
  }

  /** Lets the process end while the connection is open. */
  unref(): this {
    this.socket?.unref();
    return this;
  }

  /** Keeps the process running while the connection is open. */
  ref(): this {
    this.socket?.ref();
    return this;
  }

  /** {@inheritDoc Duplex._read} */
  override _read(): void {
    this.socket?.resume();
  }

  /** {@inheritDoc Duplex._write} */
  override _write(
    chunk: Uint8Array,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.socket?.write(chunk, callback);
  }

  /** {@inheritDoc Duplex._final} */
  override _final(callback: () => void): void {
    this.socket?.end(callback);
  }

  /** {@inheritDoc Duplex._destroy} */
  override _destroy(error: Error | null, callback: (error: Error | null) => void): void {
    this.socket?.destroy();
    callback(error);
  }
}
