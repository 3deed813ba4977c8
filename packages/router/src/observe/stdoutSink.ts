import { pino } from 'pino';
import SonicBoom from 'sonic-boom';
import type { Millis } from '@camphorvane/core';
import type { LineSink } from './RateLimitedLog.ts';

/** File descriptor of standard output. */
const STDOUT_FD = 1;

/** Bytes buffered before a write, so that the lines of a request are written together. */
const MIN_WRITE_BYTES = 4_096;

/** Limit on bytes buffered for a reader that does not read; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Milliseconds after which buffered lines are written, whatever their size. */
const FLUSH_INTERVAL_MS = 250;

/** Longest wait for the last lines to be written before the process exits, in milliseconds. */
const EXIT_FLUSH_TIMEOUT_MS = 200;

/** A sink that can be flushed before the process exits. */
export interface FlushableSink extends LineSink {
  /**
   * Writes buffered lines; resolves after a short time even if nothing reads them.
   *
   * @param maxMs - Longest wait, if shorter than the usual one, in milliseconds.
   */
  flush(maxMs?: Millis): Promise<void>;
}

/**
 * Creates a sink that writes JSON lines to standard output and never blocks on its reader.
 *
 * The default stream of pino is not used: it flushes synchronously when the process exits, so that a
 * reader that does not read would keep a host from ever exiting.
 *
 * @returns The sink.
 */
export function stdoutSink(): FlushableSink {
  const stream = new SonicBoom({
    fd: STDOUT_FD,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  // A closed reader must not crash the process; its lines are lost.
  stream.on('error', () => undefined);
  const logger = pino(
    { base: null, timestamp: false, formatters: { level: (level) => ({ level }) } },
    stream,
  );
  return {
    write: (fields) => logger.info(fields),
    flush: (maxMs = EXIT_FLUSH_TIMEOUT_MS) =>
      new Promise((resolve) => {
        setTimeout(resolve, Math.min(maxMs, EXIT_FLUSH_TIMEOUT_MS));
        // A flush during a write only awaits that write, and leaves what was buffered meanwhile.
        stream.flush(() => stream.flush(() => resolve()));
      }),
  };
}
