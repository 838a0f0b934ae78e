/**
 * Settings that a daemon reads when it starts.
 */
import type { Address } from "@bulrushwood/types";

/** An IP address and a port. */
export interface Endpoint {
  host: string;
  port: number;
}

/** How grants are delivered to backend servers. */
export enum GrantDelivery {
  /** In HTTP requests to the server. */
  Orders = "orders",
  /** In the responses to the server's status reports. */
  Reports = "reports",
}

/** Bound on the requests that a cold server gets in one second, as a multiple of what it tolerates and a constant. */
export interface ColdRequests {
  factor: number;
  extra: number;
}

/** The settings of one daemon on a deployment. Times are in milliseconds. */
export interface DeploymentSettings {
  /** Name of the instance in logs. */
  instance: string;
  dataCentre: string;
  /** Names of all data centres; where left out, any name counts as one. */
  dataCentres?: string[];
  /** Service of the backend server on this instance. */
  service: string;
  /** Address of the backend server on this instance. */
  serverAddress: Address;
  listen: {
    /** Listener for callers on this instance. */
    callers: Endpoint;
    /** Listener for the platform's readiness check. */
    ready: Endpoint;
    /** Listener for status reports of the backend server. */
    reports: Endpoint;
    /** Listener for peers. */
    peers: Endpoint;
  };
  /** Listener that serves metrics. */
  metrics: Endpoint;
  store: {
    endpoint: Endpoint;
    /** Largest record that the store accepts, in bytes. */
    recordBytes: number;
  };
  /** Processor time that the process may take, in cores; undefined where it is not known. */
  cores?: number;
  /** Memory that the process may take, in bytes. */
  memoryBytes: number;
  /** Number of sockets that the process may have. */
  socketsMax: number;
  grantDelivery: GrantDelivery;
  /** Whether requests are placed by their estimated cost rather than by their number; by default they are not. */
  usesRequestCosts?: boolean;
  /** Interval between the status reports of a backend server. */
  reportEveryMs: number;
  bounds: {
    /** Time after the acknowledgement that a server leaves, after which no request may reach it. */
    drainMs: number;
    /** Time from the signal to stop until the process is killed. */
    shutdownMs: number;
    /** Longest duration of one grant. */
    grantMsMax: number;
    /** Allowed retries as a share of the requests for a service. */
    retryShare: number;
    /** Additional retries that are allowed over all daemons in each window. */
    retryExtra: number;
    retryWindowMs: number;
    /** Requests that a cold server may get in one second; undefined where there is no such bound. */
    coldRequests?: ColdRequests;
    /** Time after the acknowledgement of an evacuation from which no request may reach a server there. */
    evacuationMs?: number;
  };
}
