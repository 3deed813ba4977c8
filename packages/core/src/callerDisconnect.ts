import type { ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import type { Millis } from './Clock.ts';

/**
 * Milliseconds that the rest of a turn of the event loop may take without a second turn being awaited. What arrives
 * within so short a time is as good as not arrived, and each turn that is awaited delays the request.
 */
const SHORT_TURN_MS: Millis = 20;

/** Reason of the abort; without one, each abort captures a stack. */
const DISCONNECTED = 'disconnected';

/**
 * Gets a controller that is aborted once a caller has closed its connection, or its response has ended.
 *
 * Node reports a closed connection some turns of the event loop after it has read the end of the caller's data,
 * which on a busy host are seconds. A caller that has ended its side gets no response any more, so this counts.
 *
 * @param res - The response to the caller.
 * @returns The controller.
 */
export function abortOnDisconnect(res: ServerResponse): AbortController {
  const controller = new AbortController();
  const { socket } = res;
  const abort = (): void => {
    socket?.off('end', abort);
    controller.abort(DISCONNECTED);
  };
  socket?.once('end', abort);
  res.once('close', abort);
  // A broken connection also emits `close`; the error itself needs no handling.
  res.on('error', abort);
  if (res.destroyed || socket?.readableEnded === true) abort();
  return controller;
}

/**
 * Waits until what had arrived on any connection has been read, unless the event loop turns quickly.
 *
 * A request and the close that follows it are read in two turns of the event loop. On a busy host the caller may
 * have left long before the first of them, and work that begins between them is done for nobody.
 */
export function untilArrivedIsRead(): Promise<void> {
  const from = performance.now();
  return new Promise((resolve) => {
    // The first callback runs before the next poll of the connections, the second one after it.
    setImmediate(() => {
      if (performance.now() - from < SHORT_TURN_MS) resolve();
      else setImmediate(resolve);
    });
  });
}
