import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { observeReset } from './observeReset.ts';
import { PacedSocket } from './PacedSocket.ts';

/** Connect timeout in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Connects as undici does, and tells whether the present connection was reset. */
export class ObservedConnector {
  private isReset = false;

  /** Tells whether the latest connection was aborted rather than closed in order. */
  wasReset(): boolean {
    return this.isReset;
  }

  /** Connects; see {@link buildConnector}. */
  connect(options: buildConnector.Options, callback: buildConnector.Callback): void {
    const paced = new PacedSocket();
    // undici passes the options of its connector on to `net.connect`, though its types don't say so.
    const onread = { onread: paced.onread };
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS, ...onread });
    connect(options, (...args) => {
      const [, socket] = args;
      this.isReset = false;
      // undici leaves the socket of a failed attempt out, though its types say that it is null.
      if (!socket) {
        callback(...args);
        return;
      }
      observeReset(socket, () => {
        this.isReset = true;
      });
      // undici uses only the stream of a socket, and `ref` and `unref`.
      callback(null, paced.attach(socket) as unknown as Socket);
    });
  }
}
