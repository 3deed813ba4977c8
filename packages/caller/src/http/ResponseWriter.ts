import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { Clock, Millis } from '@camphorvane/core';
import { sleep, UNCOUNTED_RESERVATION } from '@camphorvane/core';
import { HeldBody, readsChunks } from './HeldBody.ts';

/** Milliseconds without a read by the caller after which its response is aborted. */
const CALLER_STALL_MS: Millis = 10_000;

/** Milliseconds between the last bytes of a broken response and the end of its connection. */
const BREAK_OFF_DELAY_MS: Millis = 100;

/** A response of which nothing is sent until it is whole. */
interface HeldResponse {
  readonly body: HeldBody;
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
}

/**
 * Writes a response whose length is not known before its end; only {@link end} frames it as complete.
 *
 * It is sent in chunks, or, to a caller that reads none, with its length once it is whole.
 */
export class ResponseWriter {
  private readonly out: ServerResponse;

  private readonly clock: Clock;

  private held: HeldResponse | undefined;

  /**
   * @param out - The response to the caller.
   * @param clock - Times callers that stop reading.
   */
  constructor(out: ServerResponse, clock: Clock) {
    this.out = out;
    this.clock = clock;
  }

  /** Sets the status and the headers, sent with the first bytes. */
  begin(status: number, headers: OutgoingHttpHeaders): void {
    if (readsChunks(this.out.req)) this.out.writeHead(status, headers);
    else this.held = { body: new HeldBody(UNCOUNTED_RESERVATION), status, headers };
  }

  /** Tells whether any of the response may have been sent, so that no other one can take its place. */
  hasBegun(): boolean {
    return this.out.headersSent;
  }

  /**
   * Writes with backpressure: waits for `drain` if the send buffer is full.
   *
   * A caller that keeps its connection open without reading would hold engine memory indefinitely, so
   * its connection is destroyed when the buffer stays full for {@link CALLER_STALL_MS}.
   *
   * @returns False once the connection is closed, or where there is no room to hold the response.
   */
  async write(bytes: string | Uint8Array): Promise<boolean> {
    const { out } = this;
    if (out.destroyed) return false;
    if (this.held !== undefined) return this.held.body.tryAdd(Buffer.from(bytes));
    if (out.write(bytes)) return true;
    const timerAbort = new AbortController();
    const drained = new Promise<'drained'>((resolve) => {
      out.once('drain', () => resolve('drained'));
    });
    const closed = new Promise<'closed'>((resolve) => {
      out.once('close', () => resolve('closed'));
    });
    const stalled = sleep(this.clock, CALLER_STALL_MS, timerAbort.signal).then(
      () => 'stalled' as const,
    );
    const first = await Promise.race([drained, closed, stalled]);
    timerAbort.abort();
    if (first === 'stalled') out.destroy();
    return first === 'drained';
  }

  /** Ends a complete response. */
  end(): void {
    const { out, held } = this;
    if (held === undefined) {
      out.end();
      return;
    }
    const body = held.body.take();
    out.writeHead(held.status, { ...held.headers, 'content-length': body.length });
    out.end(body);
  }

  /**
   * Ends a response that was broken off: its connection closes once what was written has been sent, without
   * the last chunk. Clients drop what they have buffered when a connection breaks, so it closes a while later.
   */
  async breakOff(): Promise<void> {
    await sleep(this.clock, BREAK_OFF_DELAY_MS);
    const { socket } = this.out;
    if (socket === null || socket.destroyed) return;
    const cancel = this.clock.after(CALLER_STALL_MS, () => socket.destroy());
    socket.once('close', cancel);
    socket.destroySoon();
  }
}
