import type { Socket } from 'node:net';

/** Socket errors of an aborted connection. */
const RESET_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT']);

/**
 * Reports that a connection was aborted rather than closed in order. undici ends a response without a
 * length in both cases.
 *
 * @param socket - The connection; its other listeners must be added later.
 * @param onReset - Called before they are.
 */
export function observeReset(socket: Socket, onReset: () => void): void {
  socket.once('error', (error: NodeJS.ErrnoException) => {
    if (RESET_CODES.has(error.code ?? '')) onReset();
  });
  // Node reports a reset that arrives with the last bytes as an orderly end; the socket then has no
  // remote address, unlike one that the remote side has closed in order.
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}
