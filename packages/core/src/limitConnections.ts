import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Options of {@link limitConnections}. */
export interface ConnectionLimitOptions {
  /** Most open connections; undefined where they are not bounded. */
  readonly max: number | undefined;
  /** Tells whether a request on a connection is being served. */
  readonly isServing: (socket: Socket) => boolean;
  /** Called for each connection that is closed for lack of room. */
  readonly onClose?: (() => void) | undefined;
}

/**
 * Bounds the open connections of an HTTP server, so that idle ones don't use up the descriptors of the process: nothing
 * could be accepted or sent any more.
 *
 * Where there is no room, an idle connection is closed, one that has made no request if there is any, the oldest first. Only
 * where all are being served is the new one closed.
 *
 * @param server - The server; it must not have accepted a connection yet.
 * @param options - The limit.
 */
export function limitConnections(
  server: Server,
  { max, isServing, onClose = () => undefined }: ConnectionLimitOptions,
): void {
  if (max === undefined) return;
  // Connections without a request so far, and those that have made one, by their last request.
  const [fresh, used] = [new Set<Socket>(), new Set<Socket>()];
  const remove = (socket: Socket): void => {
    fresh.delete(socket);
    used.delete(socket);
  };
  const close = (socket: Socket): void => {
    remove(socket);
    onClose();
    socket.destroy();
  };
  server.on('connection', (socket) => {
    socket.once('close', () => remove(socket));
    const isFull = fresh.size + used.size >= max;
    const idle = isFull ? (firstOf(fresh, isServing) ?? firstOf(used, isServing)) : undefined;
    if (idle !== undefined) close(idle);
    if (isFull && idle === undefined) close(socket);
    else fresh.add(socket);
  });
  server.prependListener('request', ({ socket }) => {
    remove(socket);
    if (!socket.destroyed) used.add(socket);
  });
}

function firstOf(
  sockets: ReadonlySet<Socket>,
  isServing: (socket: Socket) => boolean,
): Socket | undefined {
  return [...sockets].find((socket) => !isServing(socket));
}
