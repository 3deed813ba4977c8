import type { AddressInfo } from 'node:net';
import { serve, type ServerType } from '@hono/node-server';
import { operatorApp, type OperatorAppOptions } from './operatorApp.ts';

/** Where the operators' port listens. */
export interface OperatorAddress {
  readonly hostname: string;
  /** 0 takes any free port. */
  readonly port: number;
}

/** The operators' port of a host. */
export class OperatorServer {
  private readonly options: OperatorAppOptions;

  private server: ServerType | undefined;

  /** @param options - The credential and what the host offers. */
  constructor(options: OperatorAppOptions) {
    this.options = options;
  }

  /**
   * Starts to listen.
   *
   * @param address - Where.
   * @returns The port in use; rejects where the address can't be taken.
   */
  listen(address: OperatorAddress): Promise<number> {
    const { fetch } = operatorApp(this.options);
    return new Promise((resolve, reject) => {
      this.server = serve({ fetch, ...address }, (info: AddressInfo) => resolve(info.port));
      this.server.once('error', reject);
    });
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    const { server } = this;
    if (server === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      server.close(() => resolve());
      if ('closeAllConnections' in server) server.closeAllConnections();
    });
  }
}
