import type { ServiceConfig, ServiceRoute } from '@camphorvane/core';

/**
 * Finds the route of a call: the longest path prefix with the same method.
 *
 * @param service - The service.
 * @param method - The call's method.
 * @param path - The call's path, with its query.
 * @returns The route, if there is one.
 */
export function findRoute(
  service: ServiceConfig,
  method: string,
  path: string,
): ServiceRoute | undefined {
  const [pathname = ''] = path.split('?');
  const matches = service.routes.filter(
    (route) => route.method === method && isBelow(pathname, route.path),
  );
  return [...matches].sort((a, b) => b.path.length - a.path.length)[0];
}

function isBelow(pathname: string, prefix: string): boolean {
  const bare = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return pathname === bare || pathname.startsWith(`${bare}/`);
}
