import type { AddressInfo } from 'node:net';
import { serve, type ServerType } from '@hono/node-server';
import { operatorApp, type OperatorAppOptions } from './operatorApp.ts';

/** Listen address of the operator port. */
export interface OperatorAddress {
  readonly hostname: string;
  /** Port number; 0 selects a free port. */
  readonly port: number;
}

/** HTTP server of the operator port of a host. */
export class OperatorServer {
  private readonly options: OperatorAppOptions;

  private server: ServerType | undefined;

  /** @param options - The credential and the backend. */
  constructor(options: OperatorAppOptions) {
    this.options = options;
  }

  /**
   * Starts to listen.
   *
   * @param address - The listen address.
   * @returns The port in use; rejects if the address cannot be bound.
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
