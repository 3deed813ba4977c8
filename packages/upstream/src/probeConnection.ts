import { connect } from 'node:net';
import type { Clock, Millis } from '@camphorvane/core';

/**
 * Tells whether an upstream accepts a connection.
 *
 * @param url - Base URL of the upstream.
 * @param timeoutMs - Milliseconds after which the answer is no.
 * @returns Whether it was accepted in time; nothing is sent over it.
 */
export type UpstreamProbe = (url: string, timeoutMs: Millis) => Promise<boolean>;

/** Gets the probe that connects over TCP. */
export function tcpProbe(clock: Clock): UpstreamProbe {
  return (url, timeoutMs) =>
    new Promise((resolve) => {
      const { hostname, port } = new URL(url);
      const socket = connect({ host: hostname, port: Number(port) });
      const end = (isAccepted: boolean): void => {
        socket.destroy();
        resolve(isAccepted);
      };
      const cancelTimer = clock.after(timeoutMs, () => end(false));
      socket.once('connect', () => {
        cancelTimer();
        end(true);
      });
      socket.on('error', () => {
        cancelTimer();
        end(false);
      });
    });
}
