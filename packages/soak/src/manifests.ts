/**
 * The manifests that the operator of a soak writes. Each version has a route of its own, so that callers can tell
 * which versions are in force.
 */
import { Buffer } from "node:buffer";
import { type Manifest, type Route, RouteKind } from "@bulrushwood/deployment";
import type { KeyedStoreService } from "@bulrushwood/stand_ins";
import { now } from "@bulrushwood/types";
import type { Outside } from "./outside.ts";

/** Host of all routes. */
export const HOST_NAME = "quito.example";
/** Time in which a route responds, in milliseconds. */
export const ROUTE_TIMEOUT_MS = 4_000;
const TARGET_MS = 1_500;
const FIRST_VERSION = 7;
const CONNECTIONS_MAX = 110;
/** Largest number of connections to a server in every third version. */
const CONNECTIONS_FEW = 30;
const STORE_TIMEOUT_MS = 5_000;
/** Largest body of a request, in bytes. */
const BODY_BYTES_MAX = 67_108_864;

/** Services of a soak. */
export enum ServiceName {
  Quotes = "cotizador",
  Tariffs = "tarifas",
  /** Its keys have one owner each. */
  Bookings = "reservas",
}

/** First part of the paths of a route. */
export enum RoutePrefix {
  Quotes = "/q/",
  Tariffs = "/t/",
  /** Non-idempotent requests. */
  Orders = "/u/",
  /** Non-idempotent requests with keys. */
  Bookings = "/k/",
}

/** Service that runs the requests of each route that all versions have. */
export const SERVICE_OF: Record<RoutePrefix, ServiceName> = {
  [RoutePrefix.Quotes]: ServiceName.Quotes,
  [RoutePrefix.Tariffs]: ServiceName.Tariffs,
  [RoutePrefix.Orders]: ServiceName.Quotes,
  [RoutePrefix.Bookings]: ServiceName.Bookings,
};

const ONCE_PREFIXES = [RoutePrefix.Orders, RoutePrefix.Bookings];

/** Returns the path of the route that only one version has. */
export function probePath(version: number): string {
  return `/x${version}/`;
}

/** Returns the version of a path made by `probePath`; undefined for other paths. */
export function probedVersion(path: string): number | undefined {
  const digits = /^\/x(\d+)\//.exec(path)?.[1];
  return digits === undefined ? undefined : Number(digits);
}

function createRoute(prefix: string, service: string, kind: RouteKind): Route {
  return {
    name: `r${prefix.replaceAll("/", "-")}`,
    host: HOST_NAME,
    pathPrefix: prefix,
    kind,
    timeoutMs: ROUTE_TIMEOUT_MS,
    targetMs: TARGET_MS,
    priority: 1,
    attemptsMax: kind === RouteKind.Idempotent ? 2 : 1,
    shares: [{ service, weight: 1 }],
  };
}

function createManifest(version: number, bodyBytes: number): Manifest {
  const connectionsMax = version % 3 === 0 ? CONNECTIONS_FEW : CONNECTIONS_MAX;
  const routes = Object.values(RoutePrefix).map((prefix) => {
    const kind = ONCE_PREFIXES.includes(prefix) ? RouteKind.Once : RouteKind.Idempotent;
    return createRoute(prefix, SERVICE_OF[prefix], kind);
  });
  const probe = createRoute(probePath(version), ServiceName.Tariffs, RouteKind.Idempotent);
  return {
    version,
    routes: [...routes, probe],
    services: new Map(
      Object.values(ServiceName).map((name) => {
        const isKeyed = name === ServiceName.Bookings;
        return [name, { name, healthPath: "/healthz", connectionsMax, isKeyed }];
      }),
    ),
    limits: {
      headerBytes: 16_384,
      bodyBytes,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** A version that the operator wrote. Times are in milliseconds of the process's clock. */
export interface WrittenVersion {
  version: number;
  writtenAt: number;
  /** When the store had acknowledged it; infinite until then. */
  ackedAt: number;
}

/** Operator that writes manifests to the store. */
export class Operator {
  readonly #store: KeyedStoreService;
  readonly #outside: Outside;
  readonly #bodyBytesMax: number;
  /** All versions, oldest first. */
  readonly versions: WrittenVersion[] = [];

  constructor(
    store: KeyedStoreService,
    { outside, bodyBytesMax = BODY_BYTES_MAX }: { outside: Outside; bodyBytesMax?: number },
  ) {
    this.#store = store;
    this.#outside = outside;
    this.#bodyBytesMax = bodyBytesMax;
  }

  get newest(): number {
    return this.versions.at(-1)?.version ?? FIRST_VERSION;
  }

  /** Evacuates a data centre, or ends that; resolves once the store has acknowledged it. */
  async evacuate(dataCentre: string, isEvacuated: boolean): Promise<void> {
    const { topic } = this.#outside.manifestLocation;
    const key = this.#outside.evacuationKey(dataCentre);
    const value = Buffer.from(isEvacuated ? "{}" : "");
    await this.#store.connect().append(topic, { key, value }, { timeoutMs: STORE_TIMEOUT_MS });
  }

  /** Writes the next version, and resolves to it once the store has acknowledged it. */
  async publish(): Promise<number> {
    const version = this.versions.length === 0 ? FIRST_VERSION : this.newest + 1;
    const written = { version, writtenAt: now(), ackedAt: Infinity };
    this.versions.push(written);
    const { topic, key } = this.#outside.manifestLocation;
    const value = this.#outside.encodeManifest(createManifest(version, this.#bodyBytesMax));
    const limits = { timeoutMs: STORE_TIMEOUT_MS };
    const result = await this.#store.connect().append(topic, { key, value }, limits);
    if (result.isOk) {
      written.ackedAt = now();
    }
    return version;
  }
}
