/**
 * Test fixture: the HTTP server for callers, with a given dispatcher.
 */
import { connect, type Socket } from "node:net";
import { BodyMemory, LoadShedder, Shutdown } from "@bulrushwood/admission";
import { type Manifest, RouteKind } from "@bulrushwood/deployment";
import { EventLoop } from "@bulrushwood/http_server";
import { now } from "@bulrushwood/types";
import { CallerServer } from "./caller_server.ts";
import type { Dispatcher } from "./dispatcher.ts";

export const HOST = "127.0.0.1";
const MANIFEST: Manifest = {
  version: 1,
  routes: [{
    name: "look",
    host: "h",
    pathPrefix: "/",
    kind: RouteKind.Idempotent,
    timeoutMs: 2_000,
    targetMs: 1_000,
    priority: 0,
    attemptsMax: 2,
    shares: [{ service: "s", weight: 1 }],
  }],
  services: new Map(),
  limits: { headerBytes: 1e4, bodyBytes: 1e6, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
};

/** A caller's connection, with what was received on it. */
export class CallerSocket {
  readonly socket: Socket;
  received = "";
  isClosed = false;

  /** With `allowHalfOpen`, the caller keeps its side open when the server closes. */
  constructor(port: number, { allowHalfOpen = false } = {}) {
    this.socket = connect({ port, host: HOST, allowHalfOpen }).setNoDelay(true);
    this.socket.on("data", (part) => this.received += part.toString()).on("error", () => {});
    this.socket.on("close", () => this.isClosed = true);
  }

  /** Number of responses with status 200. */
  get responses(): number {
    return this.received.split("HTTP/1.1 200 OK").length - 1;
  }
}

/** Starts a server that hands all requests to a dispatcher. */
export function listenForCallers(
  dispatcher: Dispatcher,
  options: {
    port: number;
    shutdown?: Shutdown;
    bodyMemoryBytes?: number;
    connectionsMax?: number;
    limits?: Partial<Manifest["limits"]>;
    onUnread?: () => void;
    onAccepted?: (socket: Socket) => boolean;
  },
): Promise<CallerServer> {
  const { port, shutdown = new Shutdown({ now, shutdownMs: 6_000 }) } = options;
  const shedder = new LoadShedder({ now, random: Math.random, onOverload: () => {} });
  return CallerServer.listen({
    endpoint: { host: HOST, port },
    wire: {
      readRequest: (headers) => ({ id: headers.id as string, deadlineMs: 1_000, key: undefined }),
      idHeader: "id",
      systemHeaders: new Set(),
    },
    service: "s",
    manifest: () => ({ ...MANIFEST, limits: { ...MANIFEST.limits, ...options.limits } }),
    dispatcher,
    log: () => {},
    shutdown,
    eventLoop: new EventLoop({ now, onRelease: (_ms, oldestMs) => shedder.recordWait(oldestMs) }),
    shedder,
    bodyMemory: new BodyMemory({ bytesMax: options.bodyMemoryBytes ?? 100e6 }),
    connectionLimit: { max: () => options.connectionsMax ?? 1_000, onClosed: () => {} },
    onAccepted: options.onAccepted,
    onFirstRequest: () => {},
    onUnread: options.onUnread ?? (() => {}),
    onResponse: () => {},
  });
}
