/**
 * What a daemon is told when it starts on a deployment.
 */
import type { Address } from "@bulrushwood/types";

/** An IP number and a port. */
export interface Endpoint {
  host: string;
  port: number;
}

/** How grants reach the backend servers of a deployment. */
export enum GrantDelivery {
  /** As calls to the server. */
  Orders = "orders",
  /** In the answers to the server's status reports. */
  Reports = "reports",
}

/** The settings of one daemon on a deployment. Times are in milliseconds. */
export interface DeploymentSettings {
  /** Name of the instance, for logs. */
  instance: string;
  dataCentre: string;
  /** Service of the backend server on this instance. */
  service: string;
  /** Address of the backend server on this instance. */
  serverAddress: Address;
  listen: {
    /** For callers on this instance. */
    callers: Endpoint;
    /** For the platform's readiness check. */
    ready: Endpoint;
    /** For status reports of the backend server. */
    reports: Endpoint;
    /** For other daemons. */
    peers: Endpoint;
  };
  /** Metrics are served on this port of the instance. */
  metrics: Endpoint;
  store: {
    endpoint: Endpoint;
    /** Largest record that the store takes, in bytes. */
    recordBytes: number;
  };
  grantDelivery: GrantDelivery;
  /** How often a backend server reports. */
  reportEveryMs: number;
  bounds: {
    /** After the acknowledgement of a server's leaving, no request may reach it later than this. */
    drainMs: number;
    /** Time from the signal to stop until the process is killed. */
    shutdownMs: number;
    /** Longest time that one grant may run. */
    grantMsMax: number;
    /** Retries may be this share of the requests for a service. */
    retryShare: number;
    /** Retries over all daemons that are allowed besides, in each window. */
    retryExtra: number;
    retryWindowMs: number;
  };
}
