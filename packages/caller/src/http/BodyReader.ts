import type { IncomingMessage } from 'node:http';
import type { Clock, Millis, Refusal } from '@camphorvane/core';
import { ByteAccumulator, notRun, ReadingTurns } from '@camphorvane/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Limits on request bodies. */
export interface BodyLimits {
  /** Largest body of one request, in bytes. */
  readonly maxBytes: number;
  /** Bytes that all bodies being read at once take of memory. */
  readonly maxTotalBytes: number;
  /** Milliseconds within which a whole body must arrive. */
  readonly timeoutMs: Millis;
}

/** Default limits; a prompt of tens of thousands of tokens takes a few hundred kB of the 4 MiB. */
export const DEFAULT_BODY_LIMITS: BodyLimits = {
  maxBytes: 4 * 1024 * 1024,
  maxTotalBytes: 128 * 1024 * 1024,
  timeoutMs: 10_000,
};

/**
 * Reads request bodies within limits of time and memory.
 *
 * Without them, callers that send a body byte by byte, or many large bodies at once, exhaust sockets and
 * memory until the process fails.
 */
export class BodyReader {
  private readonly clock: Clock;

  private readonly limits: BodyLimits;

  private readonly turns = new ReadingTurns();

  private bufferedBytes = 0;

  /**
   * @param clock - Times each body.
   * @param limits - Limits on each body and on all together.
   */
  constructor(clock: Clock, limits: BodyLimits = DEFAULT_BODY_LIMITS) {
    this.clock = clock;
    this.limits = limits;
  }

  /** Gets the bytes of memory that the bodies being read take. */
  getBufferedBytes(): number {
    return this.bufferedBytes;
  }

  /**
   * Reads a whole body.
   *
   * @param req - The request.
   * @returns The bytes, or a refusal.
   */
  read(req: IncomingMessage): Promise<Result<Buffer, Refusal>> {
    return new Promise((resolve) => {
      const body = new ByteAccumulator();
      const countPiece = this.turns.counterOf(req);
      let held = 0;
      let cancelTimer = (): void => undefined;
      const finish = (result: Result<Buffer, Refusal>): void => {
        cancelTimer();
        req.removeAllListeners('data');
        this.bufferedBytes -= held;
        held = 0;
        if (result.isErr()) req.resume();
        resolve(result);
      };
      cancelTimer = this.clock.after(this.limits.timeoutMs, () =>
        finish(err(notRun('body_timeout', 'The request body did not arrive in time.'))),
      );
      req.on('data', (chunk: Buffer) => {
        countPiece();
        const growth = body.growthFor(chunk.length);
        if (body.length + chunk.length > this.limits.maxBytes) {
          finish(err(this.bodyTooLarge()));
        } else if (this.bufferedBytes + growth > this.limits.maxTotalBytes) {
          finish(err(this.bufferFull()));
        } else {
          held += growth;
          this.bufferedBytes += growth;
          body.add(chunk);
        }
      });
      req.once('end', () => finish(ok(body.take())));
      req.once('error', () => finish(err(notRun('caller_gone', 'The request body was aborted.'))));
      req.once('close', () => finish(err(notRun('caller_gone', 'The request body was aborted.'))));
    });
  }

  private bodyTooLarge(): Refusal {
    return notRun('body_too_large', `The body is larger than ${this.limits.maxBytes} bytes.`);
  }

  private bufferFull(): Refusal {
    return notRun('queue_full', 'The host is reading too many large requests at once.', 1_000);
  }
}
