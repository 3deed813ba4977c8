import type { ForwardRoute, RouteTarget, ServiceId } from '@camphorvane/core';

/**
 * Finds the route of a forwarded call: the one with its host name and the longest matching path prefix.
 *
 * @param routes - The configured routes.
 * @param host - Host name that the call was sent to.
 * @param path - The call's path, with its query.
 * @returns The route, or undefined where none matches.
 */
export function findForwardRoute(
  routes: readonly ForwardRoute[],
  host: string,
  path: string,
): ForwardRoute | undefined {
  const [pathname = ''] = path.split('?');
  return routes
    .filter((route) => route.host === host && pathname.startsWith(route.pathPrefix))
    .reduce<ForwardRoute | undefined>(longerPrefix, undefined);
}

function longerPrefix(best: ForwardRoute | undefined, route: ForwardRoute): ForwardRoute {
  return best === undefined || route.pathPrefix.length > best.pathPrefix.length ? route : best;
}

/**
 * Chooses one of a route's services at random, in proportion to their weights.
 *
 * @param targets - The services with their weights.
 * @param point - A random number in [0, 1).
 * @returns The service; undefined where no target has a weight.
 */
export function chooseTarget(
  targets: readonly RouteTarget[],
  point: number,
): RouteTarget | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = point * total;
  return targets.find(({ weight }) => {
    remaining -= weight;
    return weight > 0 && remaining < 0;
  });
}

/** Gets the services to which a route sends requests. */
export function servicesOf(targets: readonly RouteTarget[]): readonly ServiceId[] {
  return targets.filter(({ weight }) => weight > 0).map(({ service }) => service);
}
