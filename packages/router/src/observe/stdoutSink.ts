import { pino } from 'pino';
import SonicBoom from 'sonic-boom';
import type { LineSink } from './BoundedLog.ts';

/** File descriptor of standard output. */
const STDOUT = 1;

/** Bytes gathered before a write; a request's lines go out together. */
const WRITE_BYTES = 4_096;

/** Most bytes kept for a reader that does not read; lines beyond it are dropped. */
const MAX_KEPT_BYTES = 1_048_576;

/** Milliseconds after which gathered lines are written, however few. */
const FLUSH_MS = 250;

/** Milliseconds that the end of the process waits for its last lines to be taken. */
const LAST_FLUSH_MS = 200;

/** A sink whose last lines can be waited for. */
export interface FlushableSink extends LineSink {
  /** Writes what is gathered; resolves after a short time also where nobody reads. */
  flush(): Promise<void>;
}

/**
 * Writes JSON lines to standard output, without ever waiting for its reader.
 *
 * The stream is not the one that pino would make: that one writes its rest synchronously when the
 * process ends, and a reader that does not read would keep a host from ever ending.
 *
 * @returns The sink.
 */
export function stdoutSink(): FlushableSink {
  const stream = new SonicBoom({
    fd: STDOUT,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: MAX_KEPT_BYTES,
    periodicFlush: FLUSH_MS,
  });
  // A reader that has gone must not end the process; its lines are lost with it.
  stream.on('error', () => undefined);
  const logger = pino(
    { base: null, timestamp: false, formatters: { level: (level) => ({ level }) } },
    stream,
  );
  return {
    write: (fields) => logger.info(fields),
    flush: () =>
      new Promise((resolve) => {
        setTimeout(resolve, LAST_FLUSH_MS);
        stream.flush(() => resolve());
      }),
  };
}
