/**
 * The manifest that operators publish: routes, services and limits.
 */

/** How often a request of a route may run. */
export enum RouteKind {
  /** Idempotent: may run more than once. */
  Idempotent = "idempotent",
  /** Non-idempotent: runs at most once for each request id. */
  Once = "once",
  /** Non-idempotent with a large body: runs at most once. */
  Upload = "upload",
}

/** A service's share of a route's requests. */
export interface Share {
  service: string;
  /** Weight relative to the other shares of the route. */
  weight: number;
}

/** Requests that are matched by host and path, and how to treat them. Times are in milliseconds. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time until a caller gets a response. */
  timeoutMs: number;
  /** Time within which a response should come. */
  targetMs: number;
  /** Urgency; 0 is the most urgent. */
  priority: number;
  /** Largest number of backend servers that one request may be sent to. */
  attemptsMax: number;
  shares: Share[];
}

/** A kind of backend server that requests are routed to. */
export interface Service {
  name: string;
  healthPath: string;
  /** Largest number of connections to each backend server. */
  connectionsMax: number;
  /** Whether each key is owned by exactly one backend server. */
  isKeyed: boolean;
  /** Requests a second that a server tolerates while it is cold; undefined for any number. */
  coldPerSecond?: number;
}

/** One version of the operators' declaration. */
export interface Manifest {
  version: number;
  routes: Route[];
  services: Map<string, Service>;
  limits: {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
  };
}
