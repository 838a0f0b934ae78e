/**
 * Finds the route of a request by host and longest path prefix, and divides the requests of a split route
 * between its services by weight. Routes whose targets are short beside those of more urgent routes are mostly calls that
 * backend servers make while they run requests of these routes: a late or rejected call wastes all the work of the run
 * that waits for it, so such a route is as urgent as the most urgent of them, and goes first.
 */
import type { Manifest, Route, Share } from "@bulrushwood/deployment";

/** Largest target of a route for calls, as a share of the usual target of the routes that are more urgent. */
const CALL_TARGET_SHARE = 1 / 3;
/** Difference of priority by which calls go before the runs that make them. */
const CALL_LEAD = 0.5;

/** The routes of one manifest. */
export class ManifestRoutes {
  /** Routes by host, the longest prefix first. */
  readonly #routes = new Map<string, Route[]>();
  /** Number of requests that each share of a split route has received, by route. */
  readonly #counts = new Map<Route, number[]>();
  /** Priority of the requests of each route among those of all routes. */
  readonly #priorities: Map<Route, number>;

  constructor(manifest: Manifest) {
    for (const route of manifest.routes) {
      const routes = this.#routes.get(route.host) ?? [];
      routes.push(route);
      this.#routes.set(route.host, routes);
    }
    this.#priorities = new Map(
      manifest.routes.map((route) => [route, priorityAmong(route, manifest.routes)]),
    );
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

  /** Returns the priority by which requests of a route are accepted and run; lower numbers go first. */
  priorityOf(route: Route): number {
    return this.#priorities.get(route) ?? route.priority;
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

function priorityAmong(route: Route, routes: Route[]): number {
  const urgent = routes.filter(({ priority }) => priority < route.priority);
  const targets = urgent.map(({ targetMs }) => targetMs).sort((one, other) => one - other);
  const usualMs = targets[Math.floor(targets.length / 2)];
  return usualMs !== undefined && route.targetMs <= usualMs * CALL_TARGET_SHARE
    ? Math.min(...urgent.map(({ priority }) => priority)) - CALL_LEAD
    : route.priority;
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
