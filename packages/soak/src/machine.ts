/**
 * Machines of a soak: their names, addresses and settings.
 */
import { type DeploymentSettings, type Endpoint, GrantDelivery } from "@bulrushwood/deployment";
import { findFreePort, TcpProxy } from "@bulrushwood/stand_ins";
import { ServiceName } from "./manifests.ts";

/** Time bounds of the deployment, in milliseconds. */
export const BOUNDS = {
  /** Time from the signal to stop until the platform kills the process. */
  shutdownMs: 6_000,
  drainMs: 2_000,
  /** Time after its ack within which a manifest is in force. */
  configApplyMs: 2_000,
  /** Time after the effect of a version was seen, until which an older one may still be in force. */
  revertSlackMs: 250,
  /** Time after a disruption for which rules that it excuses do not hold. */
  stableWindowMs: 3_000,
  /** Time after the last byte of a request from which its connection must not close without a response. */
  lossSlackMs: 200,
  /** Time for which two servers may hold a key that neither uses. */
  sharedKeyMs: 500,
  grantMsMax: 10_000,
  /** Time after the ack of an evacuation from which no request may reach a server in the data centre. */
  evacuationMs: 5_000,
};

/** Interval between the status reports of a server, in milliseconds. */
export const REPORT_EVERY_MS = 870;
const MEMORY_BYTES = 350_000_000;
/** Number of sockets that a daemon may have. */
const SOCKETS_MAX = 3_900;
const RECORD_BYTES = 262_144;
const DATA_CENTRES = ["carapungo", "calderon", "pomasqui"];
const FIRST_HOST = 10;
const HOSTS_PER_NETWORK = 200;

/** A daemon and a backend server at one address. */
export interface Machine {
  name: string;
  host: string;
  settings: DeploymentSettings;
  /** Address of the backend server. */
  server: Endpoint;
  /** The daemon's paths to the store and to the backend server; undefined if there are no proxies on them. */
  paths: Paths | undefined;
}

/** Proxies on the connections that a daemon opens. */
export interface Paths {
  store: TcpProxy;
  server: TcpProxy;
}

/** Reserves addresses for a machine; `network` is the second number of its loopback address. */
export async function createMachine(
  index: number,
  options: {
    network: number;
    store: Endpoint;
    hasProxies: boolean;
    memoryBytes?: number;
    socketsMax?: number;
  },
): Promise<Machine> {
  const subnet = Math.floor(index / HOSTS_PER_NETWORK);
  const host = `127.${options.network}.${subnet}.${FIRST_HOST + index % HOSTS_PER_NETWORK}`;
  const ports = await Promise.all(Array.from({ length: 8 }, () => findFreePort(host)));
  const endpoints = ports.map((port) => ({ host, port }));
  const [callers, ready, reports, peers, metrics, server, storePath, serverPath] = endpoints;
  const paths = options.hasProxies
    ? {
      store: await TcpProxy.listen(storePath, options.store),
      server: await TcpProxy.listen(serverPath, server),
    }
    : undefined;
  const services = Object.values(ServiceName);
  const row = Math.floor(index / services.length);
  const settings: DeploymentSettings = {
    instance: `side-${index}`,
    dataCentre: DATA_CENTRES[(index + row) % DATA_CENTRES.length],
    service: services[index % services.length],
    serverAddress: `${host}:${paths === undefined ? server.port : serverPath.port}`,
    listen: { callers, ready, reports, peers },
    metrics,
    store: { endpoint: paths === undefined ? options.store : storePath, recordBytes: RECORD_BYTES },
    memoryBytes: options.memoryBytes ?? MEMORY_BYTES,
    socketsMax: options.socketsMax ?? SOCKETS_MAX,
    grantDelivery: GrantDelivery.Orders,
    reportEveryMs: REPORT_EVERY_MS,
    bounds: {
      drainMs: BOUNDS.drainMs,
      shutdownMs: BOUNDS.shutdownMs,
      grantMsMax: BOUNDS.grantMsMax,
      retryShare: 0.2,
      retryExtra: 58,
      retryWindowMs: 10_000,
      evacuationMs: BOUNDS.evacuationMs,
    },
  };
  return { name: settings.instance, host, settings, server, paths };
}
