/**
 * What operators declare on a deployment: routes, services and limits.
 */

/** What may be repeated. */
export enum RouteKind {
  /** Idempotent: may run more than once. */
  Idempotent = "idempotent",
  /** Runs at most once for each request id. */
  Once = "once",
  /** A large body; runs at most once. */
  Upload = "upload",
}

/** A service's share of a route's requests. */
export interface Share {
  service: string;
  /** Relative to the other shares of the route. */
  weight: number;
}

/** One route. Times are in milliseconds. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time that a caller is kept waiting. */
  timeoutMs: number;
  /** Time within which an answer should come. */
  targetMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Backend servers that one request may be sent to, at most. */
  attemptsMax: number;
  shares: Share[];
}

/** One service. */
export interface Service {
  name: string;
  healthPath: string;
  /** Connections that each backend server takes. */
  connectionsMax: number;
  /** Whether each key belongs to one backend server. */
  isKeyed: boolean;
}

/** A version of what operators declare. */
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
