import type { IncomingMessage } from 'node:http';
import type { Clock, Millis, Refusal } from '@camphorvane/core';
import { notRun } from '@camphorvane/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Bounds on the bodies that a host reads. */
export interface BodyLimits {
  /** Largest body of one request, in bytes. */
  readonly maxBytes: number;
  /** Bytes of all bodies being read at once. */
  readonly maxTotalBytes: number;
  /** Milliseconds in which a body must have arrived whole. */
  readonly timeoutMs: Millis;
}

/** A prompt of tens of thousands of tokens is some hundred kilobytes; 4 MB leaves room. */
export const DEFAULT_BODY_LIMITS: BodyLimits = {
  maxBytes: 4 * 1024 * 1024,
  maxTotalBytes: 128 * 1024 * 1024,
  timeoutMs: 10_000,
};

/**
 * Reads request bodies within bounds of time and memory.
 *
 * A caller that sends a body a byte at a time, or many that send large ones together, would
 * otherwise hold sockets and memory until the process falls over for everybody.
 */
export class BodyReader {
  private readonly clock: Clock;

  private readonly limits: BodyLimits;

  private heldBytes = 0;

  /**
   * @param clock - Times each body.
   * @param limits - The bounds.
   */
  constructor(clock: Clock, limits: BodyLimits = DEFAULT_BODY_LIMITS) {
    this.clock = clock;
    this.limits = limits;
  }

  /** Gets the bytes of all bodies being read now. */
  getHeldBytes(): number {
    return this.heldBytes;
  }

  /**
   * Reads one body whole.
   *
   * @param req - The request.
   * @returns Its bytes, or why it was not read.
   */
  read(req: IncomingMessage): Promise<Result<Buffer, Refusal>> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      let cancelTimer = (): void => undefined;
      const finish = (result: Result<Buffer, Refusal>): void => {
        cancelTimer();
        req.removeAllListeners('data');
        this.heldBytes -= size;
        size = 0;
        if (result.isErr()) req.resume();
        resolve(result);
      };
      cancelTimer = this.clock.after(this.limits.timeoutMs, () =>
        finish(err(notRun('body_timeout', 'The request body did not arrive in time.'))),
      );
      req.on('data', (chunk: Buffer) => {
        size += chunk.length;
        this.heldBytes += chunk.length;
        chunks.push(chunk);
        if (size > this.limits.maxBytes) finish(err(this.tooLarge()));
        else if (this.heldBytes > this.limits.maxTotalBytes) finish(err(this.tooMany()));
      });
      req.once('end', () => finish(ok(Buffer.concat(chunks))));
      req.once('error', () => finish(err(notRun('caller_gone', 'The request body broke off.'))));
      req.once('close', () => finish(err(notRun('caller_gone', 'The request body broke off.'))));
    });
  }

  private tooLarge(): Refusal {
    return notRun('body_too_large', `The body is larger than ${this.limits.maxBytes} bytes.`);
  }

  private tooMany(): Refusal {
    return notRun('queue_full', 'Too many large requests arrive at once.', 1_000);
  }
}
