/**
 * Sends requests to the backend server beside this daemon. The lease is checked once the connection is open,
 * as the last step before the first byte is sent, so that nothing can delay the request after the check.
 */
import type { Buffer } from "node:buffer";
import { Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { Result } from "true-myth";
import { observeEnd } from "@bulrushwood/http_client";
import { BackendError, BackendErrorKind } from "./errors.ts";
import type { AnnouncedServer } from "./announcements.ts";
import {
  DEADLINE_HEADER,
  formatGrant,
  GRANT_HEADER,
  type GrantExtension,
  GRANTS_PATH,
  KEY_HEADER,
  REFUSED_HEADER,
  REQUEST_ID_HEADER,
  REQUESTS_PATH,
} from "./wire.ts";

/** Timeout of a call that extends grants. */
const GRANT_TIMEOUT_MS = 1_000;
/** Timeout of a call that stops a request. */
const STOP_TIMEOUT_MS = 250;

/** The lease under which a keyed request is sent. */
export interface RequestLease {
  group: number;
  token: string;
  /** End of the lease on this process's clock, in milliseconds. */
  heldUntil: () => number;
}

/** A request to the backend server. */
export interface BackendRequest {
  id: string;
  method: string;
  path: string;
  /** Alternating header names and values. */
  headers: string[];
  key: string;
  /** Time on this process's clock until which the caller waits for the response, in milliseconds. */
  deadline: number;
  /** Final check before the first byte is sent; when it returns false, nothing is sent. */
  mayStart: () => boolean;
  /** Absent in a pool without keys. */
  lease?: RequestLease;
  /** The whole body, or its chunks as they arrive. */
  body: Buffer | AsyncIterable<Buffer> | undefined;
  signal: AbortSignal;
}

/** Options of a `BackendClient`. */
export interface BackendClientOptions {
  /** Largest number of open connections. */
  connections: number;
}

/** HTTP client of one incarnation of a backend server, with its own connection pool. */
export class BackendClient {
  readonly #currentServer: () => AnnouncedServer | undefined;
  readonly #agent: Agent;

  constructor(
    currentServer: () => AnnouncedServer | undefined,
    options: BackendClientOptions,
  ) {
    this.#currentServer = currentServer;
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: options.connections,
      maxFreeSockets: options.connections,
      scheduling: "fifo",
    });
  }

  /** Opens connections before the first requests need them. */
  async openConnections(count: number): Promise<void> {
    const server = this.#currentServer();
    if (server === undefined) {
      return;
    }
    const probes = Array.from({ length: count }, () => this.#probe(server));
    await Promise.all(probes);
  }

  #probe(server: AnnouncedServer): Promise<void> {
    return new Promise((resolve) => {
      const probe = request({
        agent: this.#agent,
        host: server.host,
        port: server.port,
        method: "OPTIONS",
        path: GRANTS_PATH,
      });
      probe.on(
        "response",
        (response) => response.resume().on("close", resolve),
      );
      probe.on("error", () => resolve());
      probe.end();
    });
  }

  /** Sends a request and returns the server's response once its head has arrived, with the body unread. */
  async send(
    options: BackendRequest,
  ): Promise<Result<IncomingMessage, BackendError>> {
    const server = this.#currentServer();
    if (server === undefined) {
      return notSent("No backend server is beside this daemon");
    }
    const call = this.#createRequest(options, server);
    const failed = new Promise<Error>((resolve) => call.once("error", resolve));
    const socket = await Promise.race([waitForConnection(call), failed]);
    if (socket instanceof Error) {
      return notSent(`The backend server cannot be reached: ${socket.message}`);
    }
    const error = checkBeforeSend(options);
    if (error !== undefined) {
      call.destroy();
      return Result.err(error);
    }
    return await this.#exchange(call, options, failed);
  }

  #createRequest(options: BackendRequest, server: AnnouncedServer): ClientRequest {
    const { lease, deadline } = options;
    const headers = [...options.headers, REQUEST_ID_HEADER, options.id];
    headers.push("host", `${server.host}:${server.port}`);
    headers.push(
      DEADLINE_HEADER,
      String(Math.max(0, Math.floor(deadline - performance.now()))),
    );
    if (lease !== undefined) {
      const { life } = server.announcement;
      const untilMs = server.clock.toServerTime(lease.heldUntil());
      const { group, token } = lease;
      headers.push(GRANT_HEADER, formatGrant({ life, group, token, untilMs }));
      headers.push(KEY_HEADER, encodeURIComponent(options.key));
    }
    const call = request({
      agent: this.#agent,
      host: server.host,
      port: server.port,
      method: options.method,
      path: options.path,
      headers,
      setDefaultHeaders: false,
    } as object);
    return call.once("socket", observeEnd);
  }

  /** Sends the request on its open connection and waits for the head of the response. */
  async #exchange(
    call: ClientRequest,
    options: BackendRequest,
    failed: Promise<Error>,
  ): Promise<Result<IncomingMessage, BackendError>> {
    const responded = new Promise<IncomingMessage>((resolve) => call.once("response", resolve));
    const abort = () => call.destroy(new Error("The request was cancelled"));
    options.signal.addEventListener("abort", abort, { once: true });
    if (options.signal.aborted) {
      abort();
    }
    const timer = setTimeout(
      () => call.destroy(new Error("The deadline passed")),
      options.deadline - performance.now(),
    );
    sendBody(call, options.body);
    const response = await Promise.race([responded, failed]);
    clearTimeout(timer);
    if (response instanceof Error) {
      return Result.err(toBackendError(response, options.signal));
    }
    response.once(
      "close",
      () => options.signal.removeEventListener("abort", abort),
    );
    return classifyResponse(response, call);
  }

  /** Extends the server's grants for running work whose leases have been renewed. */
  extendGrants(grants: { group: number; heldUntil: number }[]): void {
    const server = this.#currentServer();
    if (server === undefined) {
      return;
    }
    const extension: GrantExtension = {
      life: server.announcement.life,
      grants: grants.map(({ group, heldUntil }) => ({
        group,
        untilMs: server.clock.toServerTime(heldUntil),
      })),
    };
    const call = request({
      agent: this.#agent,
      host: server.host,
      port: server.port,
      method: "POST",
      path: GRANTS_PATH,
      timeout: GRANT_TIMEOUT_MS,
    });
    call.on("response", (response) => response.resume());
    call.on("error", () => {});
    call.on("timeout", () => call.destroy());
    call.end(JSON.stringify(extension));
  }

  /**
   * Asks the server to stop a request. Resolves to true when the request is certain not to run any more: the
   * server confirms it, or no process accepts connections.
   */
  stop(id: string): Promise<boolean> {
    const server = this.#currentServer();
    if (server === undefined) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      const call = request({
        agent: this.#agent,
        host: server.host,
        port: server.port,
        method: "DELETE",
        path: `${REQUESTS_PATH}/${encodeURIComponent(id)}`,
        timeout: STOP_TIMEOUT_MS,
      });
      call.on("response", (response) => {
        response.resume();
        resolve(response.statusCode === 204);
      });
      call.on("error", (error) => {
        resolve((error as NodeJS.ErrnoException).code === "ECONNREFUSED");
      });
      call.on(
        "timeout",
        () => call.destroy(new Error("The server did not respond")),
      );
      call.end();
    });
  }

  /** Aborts all requests in flight; later requests open new connections. */
  dropConnections(): void {
    this.#agent.destroy();
  }

  close(): void {
    this.#agent.destroy();
  }
}

/** Waits until the request has an open connection. */
function waitForConnection(call: ClientRequest): Promise<Socket> {
  return new Promise((resolve) => {
    call.once("socket", (socket: Socket) => {
      if (socket.connecting) {
        socket.once("connect", () => resolve(socket));
      } else {
        resolve(socket);
      }
    });
  });
}

/** Checks whether a request may be sent; returns the error if it may not. */
function checkBeforeSend(options: BackendRequest): BackendError | undefined {
  if (options.signal.aborted) {
    return new BackendError(
      BackendErrorKind.NotSent,
      "The request was cancelled",
    );
  }
  if (performance.now() >= options.deadline) {
    return new BackendError(
      BackendErrorKind.NotSent,
      "The deadline passed before the request ran",
    );
  }
  if (!options.mayStart()) {
    const message = "The lease ran out or the request was barred before it was sent";
    return new BackendError(BackendErrorKind.MayNotStart, message);
  }
  return undefined;
}

function sendBody(call: ClientRequest, body: BackendRequest["body"]): void {
  if (body === undefined || !(Symbol.asyncIterator in body)) {
    call.end(body);
    return;
  }
  streamBody(call, body).catch((error) => call.destroy(error as Error));
}

async function streamBody(
  call: ClientRequest,
  chunks: AsyncIterable<Buffer>,
): Promise<void> {
  call.flushHeaders();
  for await (const chunk of chunks) {
    if (call.destroyed) {
      return;
    }
    if (!call.write(chunk)) {
      await waitForDrain(call);
    }
  }
  call.end();
}

/** Waits until the request accepts more of its body, or is closed. */
function waitForDrain(call: ClientRequest): Promise<void> {
  return new Promise((resolve) => {
    const settle = () => {
      call.off("drain", settle);
      call.off("close", settle);
      resolve();
    };
    call.on("drain", settle);
    call.on("close", settle);
  });
}

/**
 * Turns a rejection by the server into an error. Its connection is closed: responses name no request, so a repeated
 * rejection would look like that of the next request. A server may also reject a request before it has the whole
 * body; the rest is then not sent.
 */
function classifyResponse(
  response: IncomingMessage,
  call: ClientRequest,
): Result<IncomingMessage, BackendError> {
  const reason = response.headers[REFUSED_HEADER];
  if (reason === undefined) {
    return Result.ok(response);
  }
  call.destroy();
  const message = `The backend server refused the request without running it: ${reason}`;
  return Result.err(new BackendError(BackendErrorKind.Rejected, message));
}

function toBackendError(error: Error, signal: AbortSignal): BackendError {
  const kind = signal.aborted ? BackendErrorKind.Cancelled : BackendErrorKind.NoResponse;
  return new BackendError(
    kind,
    `The backend server did not answer: ${error.message}`,
  );
}

function notSent(message: string): Result<never, BackendError> {
  return Result.err(new BackendError(BackendErrorKind.NotSent, message));
}
