/** Looks up routes, and picks the service of a split route. */
import type { PublishedConfig, Route, ServiceId } from './types.js';

/**
 * Orders routes for look-up: by host, longest prefix first.
 * @example indexRoutes([shop, shopAdmin]).get('a.example') // [shopAdmin, shop]
 */
export function indexRoutes(routes: readonly Route[]): Map<string, Route[]> {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const known = byHost.get(route.host);
    if (known) known.push(route);
    else byHost.set(route.host, [route]);
  }
  for (const list of byHost.values()) {
    list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
}

/**
 * The route of a request: the longest prefix among the routes of its host; undefined when none fits.
 * @example findRoute(config, 'a.example', '/lookup/7?full=1')?.id
 */
export function findRoute(config: PublishedConfig, host: string, path: string): Route | undefined {
  const plain = path.split(/[?#]/, 1)[0] ?? path;
  return config.routesByHost.get(host)?.find((route) => plain.startsWith(route.pathPrefix));
}

/**
 * Picks a service by the weights of a split route.
 * @example pickService(route, Math.random)
 */
export function pickService(route: Route, random: () => number): ServiceId | undefined {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let at = random() * total;
  for (const share of route.shares) {
    at -= share.weight;
    if (at < 0) return share.service;
  }
  return route.shares.at(-1)?.service;
}
