/**
 * Connections on which the backend server gets its grants. A grant may only reach the incarnation that it is for, but
 * an order names none, and the server at the address may be replaced at any moment, also by one with the same id. A
 * connection leads to one process for good, so the server is asked for its id on each new one before the first grant.
 * The id of an incarnation that started again does not change; that it started again shows in the end of connections,
 * or in grants without a response where connections go silent. After either, new connections count only if an earlier
 * one still responds or the server has reported since.
 */
import { Agent } from "node:http";
import type { Socket } from "node:net";
import { Subject } from "rxjs";
import {
  type Endpoint,
  incarnationName,
  type Order,
  type ServerIdentity,
  type ServerWire,
} from "@bulrushwood/deployment";
import { CallErrorKind, callHttp, type HttpResponse } from "@bulrushwood/http_client";
import type { OrderConnection } from "@bulrushwood/lease_ranges";
import { now, waitForChange } from "@bulrushwood/types";
import { closeIdleConnection, CONTROL_BODY_BYTES_MAX } from "./server_client.ts";

/** Largest number of open connections; each carries one grant at a time. */
const CONNECTIONS_MAX = 16;
/** Longest wait for a connection in use before another one is opened, in milliseconds. */
const SHARE_WAIT_MS = 30;
/** Timeout of the request that shows the server's id, in milliseconds. */
const IDENTIFY_TIMEOUT_MS = 400;
/** Idle timeout of connections, in milliseconds; shorter than the server's own. */
const IDLE_TIMEOUT_MS = 4_000;

export interface GrantConnectionsOptions {
  endpoint: Endpoint;
  wire: Pick<ServerWire, "readHealth">;
  /** Returns the path of the server's health check; undefined while it is not known. */
  healthPath: () => string | undefined;
  /** Returns when the newest report of the server was received, on this process's clock. */
  reportedAt: () => number;
  /** Called when a grant had no response. */
  onNoResponse?: () => void;
}

/** One connection, and the incarnation of the server at its other end. */
class GrantConnection {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1, timeout: IDLE_TIMEOUT_MS });
  readonly #endpoint: Endpoint;
  #socket: Socket | undefined;
  /** Whether a response has announced the end of the connection. */
  #isEnding = false;
  readonly incarnation: string;
  /** When the server last responded. */
  respondedAt = Number.NEGATIVE_INFINITY;
  /** Whether it is certain that the connection leads to its incarnation. */
  isCertain = false;

  constructor(endpoint: Endpoint, incarnation: string) {
    this.#endpoint = endpoint;
    this.incarnation = incarnation;
    this.#agent.on("free", (socket: Socket) => socket.on("data", closeIdleConnection));
  }

  /** Whether the connection can carry a grant. */
  get isUsable(): boolean {
    return this.isCertain && this.#isOpen;
  }

  get #isOpen(): boolean {
    return this.#socket !== undefined && !this.#socket.destroyed && !this.#isEnding;
  }

  /**
   * Opens the connection and asks the server for its id. `onEnd` is called when the connection has ended, with whether
   * the server ended it without an announcement.
   */
  async open(
    path: string,
    options: { readId: ServerWire["readHealth"]; onEnd: (isLost: boolean) => void },
  ): Promise<string | undefined> {
    const called = await callHttp({
      ...this.#endpoint,
      agent: this.#agent,
      method: "GET",
      path,
      timeoutMs: IDENTIFY_TIMEOUT_MS,
      bodyBytesMax: CONTROL_BODY_BYTES_MAX,
      mayUse: (socket) => {
        this.#socket = socket;
        let hasEnded = false;
        socket.once("end", () => hasEnded = true);
        socket.once("close", (hasFailed) => {
          // The caller of a response that announces the end has not handled it yet.
          setImmediate(() => options.onEnd((hasEnded || hasFailed) && !this.#isEnding));
        });
        return true;
      },
    });
    if (called.isErr) {
      return undefined;
    }
    this.#recordResponse(called.value);
    return this.#isOpen ? options.readId(called.value.headers) : undefined;
  }

  /** Sends an order; it is not sent if the connection has ended meanwhile. */
  async send(order: Order, limits: { timeoutMs: number }) {
    const called = await callHttp({
      ...this.#endpoint,
      ...order,
      ...limits,
      bodyBytesMax: CONTROL_BODY_BYTES_MAX,
      agent: this.#agent,
      mayUse: (socket) => {
        socket.off("data", closeIdleConnection);
        return socket === this.#socket;
      },
    });
    if (called.isErr) {
      // The response may still come, in place of that to the next order.
      this.close();
    } else {
      this.#recordResponse(called.value);
    }
    return called;
  }

  #recordResponse({ headers }: HttpResponse): void {
    this.respondedAt = now();
    this.#isEnding ||= headers.connection?.toLowerCase() === "close";
  }

  close(): void {
    this.#agent.destroy();
    this.#socket?.destroy();
  }
}

/** Open connections to the backend server for its grants. */
export class GrantConnections {
  readonly #options: GrantConnectionsOptions;
  /** Connections that are open or being opened. */
  readonly #open = new Set<GrantConnection>();
  #idle: GrantConnection[] = [];
  /** Whether a connection is being opened; one is at a time. */
  #isOpening = false;
  /** Emits when a connection is not used any more, or could not be opened. */
  readonly #released = new Subject<void>();
  /** When a connection last ended unannounced, or a grant last had no response. */
  #lostAt = Number.NEGATIVE_INFINITY;
  #isClosed = false;

  constructor(options: GrantConnectionsOptions) {
    this.#options = options;
  }

  /** Whether a connection to the server is open or being opened. */
  get isConnected(): boolean {
    return this.#open.size > 0;
  }

  /** Returns a connection that certainly leads to an incarnation; undefined while there is none. */
  async connect(server: ServerIdentity): Promise<OrderConnection | undefined> {
    const name = incarnationName(server);
    let sharedUntil = now() + SHARE_WAIT_MS;
    let connection = this.#takeIdle(name);
    while (connection === undefined && this.#mayBeShared(name, sharedUntil)) {
      const waitsForOpening = this.#isOpening;
      const ms = waitsForOpening ? IDENTIFY_TIMEOUT_MS : sharedUntil - now();
      await waitForChange(this.#released, { ms });
      sharedUntil = waitsForOpening ? now() + SHARE_WAIT_MS : sharedUntil;
      connection = this.#takeIdle(name);
    }
    connection ??= await this.#openTo(server);
    return connection && this.#lend(connection);
  }

  /** Whether a connection may become free soon, so that no further one is opened. */
  #mayBeShared(incarnation: string, until: number): boolean {
    return this.#isOpening || (this.#isConnectedTo(incarnation) && now() < until);
  }

  #takeIdle(incarnation: string): GrantConnection | undefined {
    this.#idle = this.#idle.filter(({ isUsable }) => isUsable);
    const found = this.#idle.find((connection) => connection.incarnation === incarnation);
    this.#idle = this.#idle.filter((connection) => connection !== found);
    return found;
  }

  #isConnectedTo(incarnation: string): boolean {
    return [...this.#open].some((open) => open.incarnation === incarnation && open.isUsable);
  }

  async #openTo(server: ServerIdentity): Promise<GrantConnection | undefined> {
    const { endpoint, wire, healthPath } = this.#options;
    const path = healthPath();
    const name = incarnationName(server);
    const mayOpen = this.#open.size < CONNECTIONS_MAX && !this.#isClosed && this.#isContinued(name);
    if (path === undefined || !mayOpen) {
      return undefined;
    }
    const connection = new GrantConnection(endpoint, name);
    this.#open.add(connection);
    this.#isOpening = true;
    const id = await connection.open(path, {
      readId: (headers) => wire.readHealth(headers),
      onEnd: (isLost) => {
        this.#open.delete(connection);
        this.#lostAt = isLost ? now() : this.#lostAt;
      },
    });
    this.#isOpening = false;
    connection.isCertain = id === server.id && this.#isContinued(name);
    if (connection.isUsable) {
      return connection;
    }
    connection.close();
    this.#open.delete(connection);
    this.#released.next();
    return undefined;
  }

  /** Whether the incarnation cannot have ended and started again under its id since its last report. */
  #isContinued(incarnation: string): boolean {
    const hasResponded = [...this.#open].some((open) =>
      open.incarnation === incarnation && open.isUsable && open.respondedAt > this.#lostAt
    );
    return hasResponded || this.#lostAt < this.#options.reportedAt();
  }

  #lend(connection: GrantConnection): OrderConnection {
    return {
      send: async (order, limits) => {
        const called = await connection.send(order, limits);
        if (called.isErr && called.error.kind === CallErrorKind.NoResponse) {
          this.#lostAt = now();
          this.#options.onNoResponse?.();
        }
        return called;
      },
      release: () => {
        if (connection.isUsable) {
          this.#idle.push(connection);
        }
        this.#released.next();
      },
    };
  }

  /** Closes all connections. */
  close(): void {
    this.#isClosed = true;
    this.#open.forEach((connection) => connection.close());
    this.#released.complete();
  }
}
