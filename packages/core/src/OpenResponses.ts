import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** A response that its caller's socket has not taken as a whole. */
export interface OpenResponse {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Whether all of it was written; what is left waits for the caller to read. */
  readonly hasEnded: boolean;
  /** Bytes in this process that the socket has not taken, at most; undefined once its connection is closed. */
  readonly leftBytes: number | undefined;
}

/** Called for each response that was ended, and whose connection closed before the socket had taken all of it. */
export type CutResponseListener = (response: OpenResponse) => void;

/**
 * Tracks the responses of an HTTP server, from the head of a request until the operating system has taken the last
 * byte of its response.
 *
 * A response that was ended may still wait in the process for a caller that reads slowly; its connection then closes,
 * or the process ends, before the caller gets the rest.
 */
export class OpenResponses {
  private readonly bySocket = new Map<Socket, Set<ServerResponse>>();

  private readonly onCut: CutResponseListener;

  private size = 0;

  private connections = 0;

  private requests = 0;

  private readonly idleWaiters: (() => void)[] = [];

  /**
   * @param server - The server; it must not have served a request yet.
   * @param onCut - Called for each response that was ended and is cut.
   */
  constructor(server: Server, onCut: CutResponseListener = () => undefined) {
    this.onCut = onCut;
    server.on('connection', () => {
      this.connections += 1;
    });
    server.prependListener('request', (req, res) => this.add(req, res));
  }

  /** Gets the number of open responses. */
  count(): number {
    return this.size;
  }

  /** Gets the number of connections that were accepted so far. */
  countConnections(): number {
    return this.connections;
  }

  /** Gets the number of connections and requests so far. */
  countArrivals(): number {
    return this.connections + this.requests;
  }

  /** Gets the open responses. */
  list(): readonly OpenResponse[] {
    return [...this.bySocket.values()].flatMap((open) => [...open].map(describe));
  }

  /** Gets the open responses on a connection, in the order of their requests. */
  getOn(socket: Socket): readonly ServerResponse[] {
    return [...(this.bySocket.get(socket) ?? [])];
  }

  /** Counts the open responses as gone, without a call of the listener. */
  forget(): void {
    this.bySocket.clear();
    this.becomeIdle();
  }

  /** Waits until no response is open. */
  async untilTaken(): Promise<void> {
    if (this.size === 0) return;
    await new Promise<void>((resolve) => {
      this.idleWaiters.push(resolve);
    });
  }

  private add(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    this.requests += 1;
    const open = this.bySocket.get(socket) ?? this.addSocket(socket);
    open.add(res);
    this.size += 1;
    res.once('finish', () => {
      // Node.js also emits `finish` as it drops what is left for a connection that is destroyed.
      if (!socket.destroyed) this.remove(socket, res);
    });
  }

  private addSocket(socket: Socket): Set<ServerResponse> {
    const open = new Set<ServerResponse>();
    this.bySocket.set(socket, open);
    socket.once('close', () => this.removeSocket(socket));
    return open;
  }

  /** Also removes responses that wait for an earlier one on their connection, for which Node.js emits nothing. */
  private removeSocket(socket: Socket): void {
    const left = [...(this.bySocket.get(socket) ?? [])];
    left
      .map(describe)
      .filter(({ hasEnded }) => hasEnded)
      .forEach(this.onCut);
    left.forEach((res) => this.remove(socket, res));
    this.bySocket.delete(socket);
  }

  private remove(socket: Socket, res: ServerResponse): void {
    if (this.bySocket.get(socket)?.delete(res) !== true) return;
    this.size -= 1;
    if (this.size === 0) this.becomeIdle();
  }

  private becomeIdle(): void {
    this.size = 0;
    this.idleWaiters.splice(0).forEach((resolve) => resolve());
  }
}

function describe(res: ServerResponse): OpenResponse {
  const { req, writableEnded: hasEnded, writableLength } = res;
  return { req, res, hasEnded, leftBytes: req.socket.destroyed ? undefined : writableLength };
}
