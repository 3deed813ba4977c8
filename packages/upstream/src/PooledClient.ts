import { Client, DecoratorHandler } from 'undici';
import type { Dispatcher } from 'undici';
import { endsWithConnection } from './DedicatedConnection.ts';
import { ObservedConnector } from './ObservedConnector.ts';

/** One connection of a pool. A response without a length fails where the connection is reset. */
export class PooledClient extends Client {
  private readonly connector: ObservedConnector;

  /** @param origin - Base URL of the upstream. */
  constructor(origin: URL) {
    const connector = new ObservedConnector();
    super(origin, { pipelining: 1, connect: (...args) => connector.connect(...args) });
    this.connector = connector;
  }

  /** {@inheritDoc Client.dispatch} */
  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, failOnReset(handler, this.connector));
  }
}

function failOnReset(
  handler: Dispatcher.DispatchHandler,
  connector: ObservedConnector,
): Dispatcher.DispatchHandler {
  const inner: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
  let isDelimited = true;
  return {
    onRequestStart: (...args) => inner.onRequestStart?.(...args),
    onRequestUpgrade: (...args) => inner.onRequestUpgrade?.(...args),
    onResponseStart: (controller, status, headers, text) => {
      isDelimited = !endsWithConnection({ headers });
      inner.onResponseStart?.(controller, status, headers, text);
    },
    onResponseData: (...args) => inner.onResponseData?.(...args),
    onResponseEnd: (controller, trailers) => {
      if (isDelimited || !connector.wasReset()) inner.onResponseEnd?.(controller, trailers);
      else inner.onResponseError?.(controller, new Error('reset before the end of the response'));
    },
    onResponseError: (...args) => inner.onResponseError?.(...args),
  };
}
