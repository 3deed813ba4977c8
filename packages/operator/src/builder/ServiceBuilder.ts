import type { ServiceConfig, ServiceId, ServiceRoute, ServiceServer } from '@camphorvane/core';

/** What a plain service is made of at first; servers and routes are added one by one. */
export type ServiceStructure = Pick<ServiceConfig, 'id' | 'timeoutMs'>;

/** A route whose repetition was decided by the method that adds it. */
export type RouteStructure = Omit<ServiceRoute, 'idempotent'>;

/** A plain service of a {@link ConfigBuilder}. */
export class ServiceBuilder {
  private service: ServiceConfig;

  /** @param structure - The service as it is at first. */
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
   * Adds a route whose calls may be repeated.
   *
   * @param route - The route.
   */
  addRepeatableRoute(route: RouteStructure): this {
    return this.addRoute({ ...route, idempotent: true });
  }

  /**
   * Adds a route whose calls run at most once and need an Idempotency-Key.
   *
   * @param route - The route.
   */
  addOnceOnlyRoute(route: RouteStructure): this {
    return this.addRoute({ ...route, idempotent: false });
  }

  /** Gets the service as it stands. */
  build(): ServiceConfig {
    return this.service;
  }

  private addRoute(route: ServiceRoute): this {
    this.service = { ...this.service, routes: [...this.service.routes, route] };
    return this;
  }
}
