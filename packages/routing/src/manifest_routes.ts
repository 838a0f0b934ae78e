/**
 * Finds the route of a request by host and longest path prefix, and divides the requests of a split route
 * between its services by weight.
 */
import type { Manifest, Route, Share } from "@bulrushwood/deployment";

/** The routes of one manifest. */
export class ManifestRoutes {
  /** Routes by host, the longest prefix first. */
  readonly #routes = new Map<string, Route[]>();
  /** Number of requests that each share of a split route has received, by route. */
  readonly #counts = new Map<Route, number[]>();

  constructor(manifest: Manifest) {
    for (const route of manifest.routes) {
      const routes = this.#routes.get(route.host) ?? [];
      routes.push(route);
      this.#routes.set(route.host, routes);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
  }

  /** Returns the route of a request, or undefined when none matches. */
  match(hostHeader: string, target: string): Route | undefined {
    const host = hostHeader.split(":", 1)[0].toLowerCase();
    const path = target.split("?", 1)[0];
    return this.#routes.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** Returns the service for the next request of a route, or undefined when the route names none. */
  chooseService(route: Route): string | undefined {
    const { shares } = route;
    if (shares.length < 2) {
      return shares[0]?.service;
    }
    const counts = this.#counts.get(route) ?? shares.map(() => 0);
    this.#counts.set(route, counts);
    const index = chooseShare(shares, counts);
    counts[index]++;
    return shares[index].service;
  }
}

/** Returns the index of the share that is furthest behind its weight. */
export function chooseShare(shares: Share[], counts: number[]): number {
  let chosen = 0;
  let least = Number.POSITIVE_INFINITY;
  shares.forEach(({ weight }, index) => {
    const due = weight > 0 ? (counts[index] + 1) / weight : Number.POSITIVE_INFINITY;
    if (due < least) {
      chosen = index;
      least = due;
    }
  });
  return chosen;
}
