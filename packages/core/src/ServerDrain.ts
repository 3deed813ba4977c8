import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import type { Clock, Millis } from './Clock.ts';
import { sleep } from './Clock.ts';
import type { CutResponseListener, OpenResponse } from './OpenResponses.ts';
import { OpenResponses } from './OpenResponses.ts';
import { untilPolled } from './turns.ts';

/** Options of a {@link ServerDrain}. */
export interface ServerDrainOptions {
  /** Tells whether each connection closes after its next response, which says so; absent where none does. */
  readonly closesConnections?: () => boolean;
  /** Called for each response that was ended, and whose connection closed before its socket had taken it. */
  readonly onCut?: CutResponseListener;
}

/**
 * Ends an HTTP server so that no request that it has read and no answer is lost.
 *
 * `http.Server.close` does not: it destroys each connection whose response was ended, sent or not, and each one whose
 * next request has arrived and is not read.
 */
export class ServerDrain {
  private readonly server: Server;

  private readonly responses: OpenResponses;

  private readonly onCut: CutResponseListener;

  /**
   * @param server - The server; it must not have served a request yet.
   * @param options - When its connections close, and who is told of responses that are cut.
   */
  constructor(server: Server, options: ServerDrainOptions = {}) {
    const { closesConnections = () => false, onCut = () => undefined } = options;
    this.server = server;
    this.onCut = onCut;
    this.responses = new OpenResponses(server, onCut);
    server.prependListener('request', (req, res) => {
      if (closesConnections()) this.closeAfter(req, res);
    });
  }

  /** Gets the responses that their callers' sockets have not taken as a whole. */
  getOpen(): readonly OpenResponse[] {
    return this.responses.list();
  }

  /** Tells whether a request on a connection is being answered, or its answer waits to be taken. */
  isServing(socket: Socket): boolean {
    return this.responses.getOn(socket).length > 0;
  }

  /**
   * Closes the listener once no connection waits to be accepted; one that waits would be reset. Open connections are
   * served on.
   */
  async closeListener(): Promise<void> {
    const { responses, server } = this;
    let connections: number;
    do {
      connections = responses.countConnections();
      await untilPolled();
    } while (server.listening && responses.countConnections() > connections);
    if (server.listening) NetServer.prototype.close.call(server);
  }

  /** Waits until all responses are taken, and nothing more has arrived meanwhile. */
  async untilQuiet(): Promise<void> {
    const { responses } = this;
    let arrivals: number;
    do {
      await responses.untilTaken();
      arrivals = responses.countArrivals();
      await untilPolled();
    } while (responses.countArrivals() > arrivals || responses.count() > 0);
  }

  /**
   * Closes the listener, waits until all responses are taken, and closes all connections.
   *
   * @param clock - Times the wait.
   * @param graceMs - Longest wait, in milliseconds.
   * @returns The responses that were ended, and that are cut.
   */
  async close(clock: Clock, graceMs: Millis): Promise<readonly OpenResponse[]> {
    const timer = new AbortController();
    const served = this.closeListener().then(() => this.untilQuiet());
    await Promise.race([served, sleep(clock, graceMs, timer.signal)]);
    timer.abort();
    return this.closeNow();
  }

  /**
   * Closes the listener and all connections, whatever their callers have not taken.
   *
   * @returns The responses that were ended, and that are cut.
   */
  closeNow(): readonly OpenResponse[] {
    if (this.server.listening) NetServer.prototype.close.call(this.server);
    const cut = this.responses.list().filter(({ hasEnded }) => hasEnded);
    this.responses.forget();
    this.server.closeAllConnections();
    cut.forEach(this.onCut);
    return cut;
  }

  /**
   * Tells whether a request came behind one whose response closes the connection, so that it can't be answered; what
   * is sent behind such a response is not to be served.
   */
  isBehindClose(req: IncomingMessage): boolean {
    return this.responses
      .getOn(req.socket)
      .some(
        (earlier) =>
          earlier.req !== req && earlier.headersSent && earlier.getHeader('connection') === 'close',
      );
  }

  /** An earlier response on the connection must not close it any more, or this one could not be sent. */
  private closeAfter({ socket }: IncomingMessage, res: ServerResponse): void {
    this.responses
      .getOn(socket)
      .filter((earlier) => earlier !== res && !earlier.headersSent)
      .forEach((earlier) => earlier.removeHeader('connection'));
    res.setHeader('connection', 'close');
  }
}
