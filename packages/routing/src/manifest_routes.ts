/**
 * Finds the route of a request by host and longest path prefix, and the service that its share of the
 * route's requests goes to.
 */
import type { Manifest, Route, Share } from "@bulrushwood/deployment";

/** The routes of one manifest. */
export class ManifestRoutes {
  /** By host; the longest prefixes first. */
  readonly #routes = new Map<string, Route[]>();
  /** Requests that each share of a split route got, by route. */
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

  /** The route of a request; undefined when none matches. */
  match(hostHeader: string, target: string): Route | undefined {
    const host = hostHeader.split(":", 1)[0].toLowerCase();
    const path = target.split("?", 1)[0];
    return this.#routes.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** The service for the next request of a route; undefined when the route names none. */
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

/** The share that is furthest behind its weight. */
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
