/** Looks up routes and selects the service of a route with split traffic. */
import type { PublishedConfig, Route, ServiceId } from './types.js';

/**
 * Indexes routes by host, longest path prefix first.
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
 * Returns the route of the host with the longest matching path prefix; undefined if none matches.
 * @example findRoute(config, 'a.example', '/lookup/7?full=1')?.id
 */
export function findRoute(config: PublishedConfig, host: string, path: string): Route | undefined {
  const plain = path.split(/[?#]/, 1)[0] ?? path;
  return config.routesByHost.get(host)?.find((route) => plain.startsWith(route.pathPrefix));
}

/**
 * Selects a service at random by the traffic weights of a route.
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
