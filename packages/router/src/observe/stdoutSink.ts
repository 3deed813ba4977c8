import { destination as openDestination, pino } from 'pino';
import type { LineSink } from './BoundedLog.ts';

/** File descriptor of standard output. */
const STDOUT = 1;

/** Bytes gathered before a write; a request's lines go out together. */
const WRITE_BYTES = 4_096;

/** Most bytes kept for a reader that does not read; lines beyond it are dropped. */
const MAX_KEPT_BYTES = 1_048_576;

/** Milliseconds after which gathered lines are written, however few. */
const FLUSH_MS = 250;

/**
 * Writes JSON lines to standard output, without ever waiting for its reader.
 *
 * @returns The sink, and a function that writes what is gathered before the process ends.
 */
export function stdoutSink(): LineSink & { readonly flush: () => void } {
  const destination = openDestination({
    fd: STDOUT,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: MAX_KEPT_BYTES,
    periodicFlush: FLUSH_MS,
  });
  // A reader that has gone must not end the process; its lines are lost with it.
  destination.on('error', () => undefined);
  const logger = pino(
    { base: null, timestamp: false, formatters: { level: (level) => ({ level }) } },
    destination,
  );
  return {
    write: (fields) => logger.info(fields),
    flush: () => {
      try {
        destination.flushSync();
      } catch {
        // The output is not open or its reader has gone: there is nobody to read the last lines.
      }
    },
  };
}
