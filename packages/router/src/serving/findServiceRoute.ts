import type { ServiceConfig, ServiceRoute } from '@camphorvane/core';

/**
 * Finds the route of a service call: the one with the call's method and the longest matching path prefix.
 *
 * @param service - The service.
 * @param method - The call's method.
 * @param path - The call's path, with its query.
 * @returns The route, or undefined where none matches.
 */
export function findServiceRoute(
  service: ServiceConfig,
  method: string,
  path: string,
): ServiceRoute | undefined {
  const [pathname = ''] = path.split('?');
  const matches = service.routes.filter(
    (route) => route.method === method && matchesPrefix(pathname, route.path),
  );
  return [...matches].sort((a, b) => b.path.length - a.path.length)[0];
}

function matchesPrefix(pathname: string, prefix: string): boolean {
  const base = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return pathname === base || pathname.startsWith(`${base}/`);
}
