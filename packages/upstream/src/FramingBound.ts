import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';

/**
 * Bytes of a connection beyond those of the body that its reader has got: the head with its interim
 * responses, and what the connection reads ahead.
 */
const ALLOWANCE_BYTES = 512 * 1024;

/** Bytes of framing for each byte of the body; a chunk of one byte has five, more with a padded length. */
const FRAMING_PER_BODY_BYTE = 16;

/** Interim responses before one response; a server that works long sends one now and then. */
const MAX_INTERIM_RESPONSES = 100;

/**
 * Bounds the bytes of a response that are not its body. The parser accepts interim responses and chunk
 * extensions without end, which deliver nothing and cost processor time.
 */
export class FramingBound {
  private bodyBytes = 0;

  private interimResponses = 0;

  private readonly onOverrun: () => void;

  /** @param onOverrun - Called when the bound is exceeded; it must close the connection. */
  constructor(onOverrun: () => void) {
    this.onOverrun = onOverrun;
  }

  /**
   * Counts what a connection reads.
   *
   * @param socket - The connection.
   * @param stream - What the parser reads of it: the connection itself, or one that paces it.
   */
  watch(socket: Socket, stream: Readable): void {
    stream.on('readable', () => {
      const allowed = ALLOWANCE_BYTES + this.bodyBytes * (1 + FRAMING_PER_BODY_BYTE);
      if (socket.bytesRead > allowed) this.onOverrun();
    });
  }

  /** Records an interim response, which is parsed at a cost but delivers nothing. */
  recordInterim(): void {
    this.interimResponses += 1;
    if (this.interimResponses > MAX_INTERIM_RESPONSES) this.onOverrun();
  }

  /** Records bytes of the body that its reader has got. */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
  }
}
