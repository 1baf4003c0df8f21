import type { Route, RouteConfiguration } from './route-configuration.js';

/** The routes of one configuration, indexed for lookup by host and longest path prefix. */
export class RouteTable {
  /** Routes of each host, the longest prefix first. */
  private readonly routesByHost = new Map<string, Route[]>();

  public constructor(configuration: RouteConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length);
    }
  }

  /** Returns the route of a request; undefined if no route of the host has a matching path prefix. */
  public match(hostHeader: string, target: string): Route | undefined {
    const routes = this.routesByHost.get(hostWithoutPort(hostHeader));
    if (routes === undefined) return undefined;
    const path = pathOf(target);
    for (const route of routes) {
      if (path.startsWith(route.pathPrefix)) return route;
    }
    return undefined;
  }
}

function hostWithoutPort(hostHeader: string): string {
  const host = hostHeader.toLowerCase();
  return /^(.*?)(?::\d*)?$/.exec(host)?.[1] ?? host;
}

/** Returns the path of a request target in origin form or absolute form (RFC 9112, section 3.2). */
function pathOf(target: string): string {
  const origin = /^https?:\/\/[^/?#]*/i.exec(target)?.[0] ?? '';
  const rest = target.slice(origin.length);
  const queryIndex = rest.indexOf('?');
  return queryIndex < 0 ? rest : rest.slice(0, queryIndex);
}
