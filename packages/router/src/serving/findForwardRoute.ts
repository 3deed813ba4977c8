import type { ForwardRoute, RouteTarget } from '@camphorvane/core';

/**
 * Finds the route of a call that is passed on: the longest path prefix of its host name.
 *
 * @param routes - All routes.
 * @param host - Host name that the caller asked for.
 * @param path - The call's path, with its query.
 * @returns The route, if there is one.
 */
export function findForwardRoute(
  routes: readonly ForwardRoute[],
  host: string,
  path: string,
): ForwardRoute | undefined {
  const [pathname = ''] = path.split('?');
  return routes
    .filter((route) => route.host === host && pathname.startsWith(route.pathPrefix))
    .reduce<ForwardRoute | undefined>(longer, undefined);
}

function longer(best: ForwardRoute | undefined, route: ForwardRoute): ForwardRoute {
  return best === undefined || route.pathPrefix.length > best.pathPrefix.length ? route : best;
}

/**
 * Chooses among the services of a route by their weights.
 *
 * @param targets - The services.
 * @param point - A random number in [0, 1).
 * @returns The service; undefined where no target has a weight.
 */
export function chooseTarget(
  targets: readonly RouteTarget[],
  point: number,
): RouteTarget | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = point * total;
  return targets.find(({ weight }) => {
    left -= weight;
    return weight > 0 && left < 0;
  });
}
