import type { ServiceConfig, ServiceId, ServiceRoute, ServiceServer } from '@camphorvane/core';

/** Settings of a new plain service; servers and routes are added one by one. */
export type ServiceStructure = Pick<ServiceConfig, 'id' | 'timeoutMs'>;

/** Settings of a new route; the method that adds it sets `idempotent`. */
export type RouteStructure = Omit<ServiceRoute, 'idempotent'>;

/** Builds a plain service in a {@link ConfigBuilder}. */
export class ServiceBuilder {
  private service: ServiceConfig;

  /** @param structure - The service's settings, without servers and routes. */
  constructor(structure: ServiceStructure) {
    this.service = { ...structure, servers: [], routes: [] };
  }

  /** Gets the service's name. */
  getId(): ServiceId {
    return this.service.id;
  }

  /**
   * Adds a server.
   *
   * @param server - The server.
   */
  addServer(server: ServiceServer): this {
    this.service = { ...this.service, servers: [...this.service.servers, server] };
    return this;
  }

  /**
   * Adds a route whose calls are idempotent and may be retried.
   *
   * @param route - The route.
   */
  addRepeatableRoute(route: RouteStructure): this {
    return this.addRoute({ ...route, idempotent: true });
  }

  /**
   * Adds a route whose calls run at most once and require an Idempotency-Key.
   *
   * @param route - The route.
   */
  addOnceOnlyRoute(route: RouteStructure): this {
    return this.addRoute({ ...route, idempotent: false });
  }

  /** Gets the service without validating it. */
  build(): ServiceConfig {
    return this.service;
  }

  private addRoute(route: ServiceRoute): this {
    this.service = { ...this.service, routes: [...this.service.routes, route] };
    return this;
  }
}
