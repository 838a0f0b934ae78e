/**
 * HTTP server for callers. Malformed requests are rejected with an error that names the field. A
 * response whose body turns out to be incomplete ends in a connection reset, so that it never looks
 * complete.
 */
import { Buffer } from "node:buffer";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Result } from "true-myth";
import type { Shutdown } from "@bulrushwood/admission";
import {
  closeGracefully,
  type ConnectionTable,
  endAfterRequest,
  endWithBody,
  EventLoop,
  limitConnections,
} from "@bulrushwood/http_server";
import type { Ledger } from "@bulrushwood/ledger";
import { Reason, type RequestHead } from "@bulrushwood/protocol";
import {
  notRun,
  OpenRequests,
  type RoutedResponse,
  type RouteMatch,
  RouteTable,
  type ShardOf,
  unknown,
} from "@bulrushwood/routing";
import type { Configuration, DaemonSettings, Route } from "@bulrushwood/settings";
import { now, Outcome } from "@bulrushwood/types";
import { readHeaders, toRawHeaders } from "./headers.ts";
import type { RequestBody } from "./holder.ts";
import type { Ingress, RoutedRequest } from "./ingress.ts";
import { type Log, LogLevel } from "./logger.ts";
import type { Metrics } from "./metrics.ts";
import { readBody } from "./read_body.ts";

/**
 * Largest body that is buffered before the request is forwarded, in bytes; larger ones are
 * streamed.
 */
const BUFFERED_BODY_BYTES_MAX = 64 * 1024;
const IDEMPOTENCY_KEY_CHARACTERS_MAX = 256;

/** Outcome label in metrics for a response of the backend server. */
const ANSWERED = "answered";

/** Response header: outcome of a request that has no response of the backend server. */
export const OUTCOME_HEADER = "bulrushwood-outcome";
/** Response header: reason for the outcome. */
export const REASON_HEADER = "bulrushwood-reason";
/** Response header: id of the request, as in logs. */
export const REQUEST_ID_HEADER = "bulrushwood-request-id";
/** Request header: time that the caller waits for a response, in milliseconds. */
export const DEADLINE_HEADER = "bulrushwood-deadline-ms";
/** Request header: number of the attempt with this idempotency key, counted from 1. */
export const ATTEMPT_HEADER = "bulrushwood-attempt";

/** Dependencies of a `CallerServer`. */
export interface CallerServerOptions {
  ledger: Ledger;
  ingress: Ingress;
  metrics: Metrics;
  settings: DaemonSettings;
  shardOf: ShardOf;
  /** Prefix of request ids, unique to this incarnation of the daemon. */
  idPrefix: string;
  log: Log;
  /** Progress of the daemon's stop, during which connections are closed after their response. */
  shutdown: Shutdown;
  /** Shares this process's event loop between new connections and work. */
  eventLoop?: EventLoop;
}

/** Reason why a request is rejected before it is forwarded. */
interface Rejection {
  status: number;
  field: string;
  message: string;
}

/** Route and validated fields of a request. */
interface ParsedRequest {
  match: RouteMatch;
  configuration: Configuration;
  tenant: string;
  key: string;
  deadlineMs: number;
  idempotencyKey: string;
  firstAttempt: boolean;
}

function rejectWith(
  status: number,
  field: string,
  message: string,
): Result<never, Rejection> {
  return Result.err({ status, field, message });
}

/** Accepts callers' requests and sends the responses. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #connections: ConnectionTable<Socket>;
  readonly #eventLoop: EventLoop;
  #routes: RouteTable | undefined;
  #routesOf: Configuration | undefined;
  #nextId = 1;
  /** Forwarded requests without a response yet. */
  readonly #open = new OpenRequests();

  private constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#eventLoop = options.eventLoop ?? new EventLoop({ now });
    const maxHeaderSize = options.settings.limits.headerBytes;
    this.#server = createServer(
      { maxHeaderSize, keepAliveTimeout: 60_000 },
      (request, response) => {
        this.#handle(request, response).catch(() => response.destroy());
      },
    );
    this.#connections = limitConnections(this.#server, { max: () => Infinity, onClosed: () => {} });
    this.#server.on("connection", () => this.#eventLoop.recordAccepted());
    this.#server.on("clientError", (error, socket) => {
      options.metrics.countMalformed("caller");
      const code = (error as NodeJS.ErrnoException).code;
      const status = code === "HPE_HEADER_OVERFLOW"
        ? "431 Request Header Fields Too Large"
        : "400 Bad Request";
      if (socket.writable) {
        const body = `The request is malformed: ${code}\n`;
        const head = [
          `HTTP/1.1 ${status}`,
          `${OUTCOME_HEADER}: ${Outcome.NotRun}`,
          `content-length: ${Buffer.byteLength(body)}`,
          "connection: close",
        ];
        socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
      }
    });
  }

  /** Starts listening on an address. */
  static async listen(
    options: CallerServerOptions,
    address: { host: string; port: number },
  ): Promise<CallerServer> {
    const callerServer = new CallerServer(options);
    await new Promise<void>((resolve, reject) => {
      callerServer.#server.once("error", reject);
      callerServer.#server.listen(address.port, address.host, resolve);
    });
    return callerServer;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = now();
    const id = `${this.#options.idPrefix}-${this.#nextId++}`;
    const parsed = this.#parseRequest(request);
    if (parsed.isErr) {
      this.#options.metrics.countMalformed("caller");
      request.resume();
      sendRejection(response, id, parsed.error);
      return;
    }
    await this.#serve(request, response, {
      id,
      arrivedAt,
      parsed: parsed.value,
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    options: { id: string; arrivedAt: number; parsed: ParsedRequest },
  ): Promise<void> {
    const { id, arrivedAt, parsed } = options;
    const callerLeft = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) {
        callerLeft.abort();
      }
    });
    const body = await this.#readBody(request);
    if (body.isErr) {
      sendRejection(response, id, body.error);
      return;
    }
    const routedRequest = this.#toRoutedRequest(request, {
      id,
      arrivedAt,
      parsed,
      body: body.value,
    });
    await this.#eventLoop.nextPoll();
    const routedResponse = await this.#route({ ...routedRequest, signal: callerLeft.signal });
    const isComplete = await this.#send(response, id, routedResponse);
    request.resume();
    const durationMs = now() - arrivedAt;
    this.#observe(routedResponse, parsed, { id, isComplete, durationMs });
  }

  /** Forwards a request, unless the daemon stops before its deadline. */
  async #route(request: RoutedRequest): Promise<RoutedResponse> {
    const { ingress, shutdown } = this.#options;
    if (!shutdown.mayAccept(request.deadline)) {
      return notRun(Reason.Draining, "This daemon stops before the request's deadline");
    }
    const pending = ingress.handle(request);
    const routedResponse = await this.#open.waitFor(pending);
    pending.then(
      (late) => late === routedResponse || discard(late),
      () => undefined,
    );
    return routedResponse;
  }

  #observe(
    routedResponse: RoutedResponse,
    parsed: ParsedRequest,
    options: { id: string; isComplete: boolean; durationMs: number },
  ): void {
    const { match, configuration, tenant } = parsed;
    const { id, isComplete, durationMs } = options;
    const workClass = match.route.class;
    const outcome = routedResponse.head.outcome ?? (isComplete ? ANSWERED : Outcome.Unknown);
    const { withinMs } = configuration.classes[workClass].target;
    this.#options.metrics.observe({ tenant, workClass, outcome, durationMs, withinMs });
    if (outcome !== ANSWERED) {
      const { reason, detail } = routedResponse.head;
      const level = outcome === Outcome.Unknown ? LogLevel.Warn : LogLevel.Debug;
      const fields = { id, tenant, workClass, outcome, reason, detail };
      this.#options.log(level, "The caller got no response of a backend server", fields);
    }
  }

  #parseRequest(request: IncomingMessage): Result<ParsedRequest, Rejection> {
    const configuration = this.#options.ledger.configuration?.configuration;
    if (configuration === undefined) {
      return rejectWith(
        503,
        "configuration",
        "No configuration has been published yet",
      );
    }
    const path = (request.url ?? "/").split("?", 1)[0];
    const match = this.#matchRoute(
      configuration,
      request.method ?? "GET",
      path,
    );
    if (match === undefined) {
      const message = `No route matches ${request.method} ${path}; see the routes published`;
      return rejectWith(404, "path", message);
    }
    return this.#readFields(request, match, configuration);
  }

  #matchRoute(
    configuration: Configuration,
    method: string,
    path: string,
  ): RouteMatch | undefined {
    if (this.#routesOf !== configuration) {
      this.#routesOf = configuration;
      this.#routes = new RouteTable(configuration);
    }
    return this.#routes!.match(method, path);
  }

  #readFields(
    request: IncomingMessage,
    match: RouteMatch,
    configuration: Configuration,
  ): Result<ParsedRequest, Rejection> {
    const key = this.#readKey(request, match);
    if (key.isErr) {
      return Result.err(key.error);
    }
    const deadlineMs = readDeadline(
      request,
      configuration.classes[match.route.class].deadlineMs,
    );
    if (deadlineMs === undefined) {
      return rejectWith(
        400,
        DEADLINE_HEADER,
        "The header must be a whole number of milliseconds above 0",
      );
    }
    const idempotencyKey = readHeader(request, "idempotency-key");
    if (idempotencyKey.length > IDEMPOTENCY_KEY_CHARACTERS_MAX) {
      const message = `The header must have at most ${IDEMPOTENCY_KEY_CHARACTERS_MAX} characters`;
      return rejectWith(400, "idempotency-key", message);
    }
    const attempt = readHeader(request, ATTEMPT_HEADER);
    if (!/^\d{0,6}$/.test(attempt)) {
      return rejectWith(
        400,
        ATTEMPT_HEADER,
        "The header must be a whole number, 1 for the first attempt",
      );
    }
    const tenant = readHeader(request, configuration.tenantHeader.toLowerCase()) ||
      "none";
    const firstAttempt = attempt === "1";
    const fields = {
      tenant,
      key: key.value,
      deadlineMs,
      idempotencyKey,
      firstAttempt,
    };
    return Result.ok({ match, configuration, ...fields });
  }

  #readKey(
    request: IncomingMessage,
    match: RouteMatch,
  ): Result<string, Rejection> {
    const source = match.route.key;
    if (source === undefined) {
      return Result.ok("");
    }
    const isHeader = "header" in source;
    const field = isHeader ? source.header : `path part ${source.pathPart}`;
    const key = isHeader
      ? readHeader(request, source.header.toLowerCase())
      : match.captures.get(source.pathPart) ?? "";
    const { keyBytes } = this.#options.settings.limits;
    if (key === "") {
      return rejectWith(400, field, "The key of the request is missing");
    }
    if (Buffer.byteLength(key) > keyBytes) {
      return rejectWith(400, field, `The key must have at most ${keyBytes} bytes`);
    }
    return Result.ok(key);
  }

  /** Reads a small body whole; a large or chunked one is streamed. */
  async #readBody(
    request: IncomingMessage,
  ): Promise<Result<RequestBody, Rejection>> {
    const { bodyBytes } = this.#options.settings.limits;
    const length = request.headers["content-length"];
    const isChunked = request.headers["transfer-encoding"] !== undefined;
    if (length === undefined && !isChunked) {
      return Result.ok(undefined);
    }
    if (length !== undefined && Number(length) > bodyBytes) {
      const message = `The body must have at most ${bodyBytes} bytes`;
      return rejectWith(413, "content-length", message);
    }
    if (isChunked || Number(length) > BUFFERED_BODY_BYTES_MAX) {
      return Result.ok(limitBody(request, bodyBytes));
    }
    const body = await readBody(request);
    return body === undefined ? rejectWith(400, "body", "The body was cut short") : Result.ok(body);
  }

  #toRoutedRequest(
    request: IncomingMessage,
    options: {
      id: string;
      arrivedAt: number;
      parsed: ParsedRequest;
      body: RequestBody;
    },
  ): Omit<RoutedRequest, "signal"> {
    const { id, arrivedAt, parsed, body } = options;
    const { match, configuration, key, tenant, idempotencyKey, firstAttempt } = parsed;
    const route = match.route;
    const head: RequestHead = {
      id,
      pool: route.pool,
      shard: this.#shardOf(configuration, route, key),
      group: 0,
      move: 0,
      workClass: route.class,
      tenant,
      key,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: readHeaders(request.rawHeaders),
      remainingMs: parsed.deadlineMs,
      idempotencyKey,
      firstAttempt,
    };
    const workClass = configuration.classes[route.class];
    return {
      head,
      workClass,
      body,
      deadline: arrivedAt + parsed.deadlineMs,
    };
  }

  #shardOf(configuration: Configuration, route: Route, key: string): number {
    const pool = configuration.pools[route.pool];
    return pool.keyed ? this.#options.shardOf(key, pool.shards) : -1;
  }

  /** Sends a response; returns whether all of it was written. */
  async #send(
    response: ServerResponse,
    id: string,
    routedResponse: RoutedResponse,
  ): Promise<boolean> {
    if (response.destroyed) {
      discard(routedResponse);
      return false;
    }
    const { head, body } = routedResponse;
    const headers = toRawHeaders(head.headers);
    headers.push(REQUEST_ID_HEADER, id);
    if (this.#options.shutdown.isEnding) {
      headers.push("connection", "close");
    }
    if (head.outcome !== undefined) {
      return sendOutcome(response, routedResponse, headers);
    }
    response.writeHead(head.status, headers);
    if (body === undefined || Buffer.isBuffer(body)) {
      endWithBody(response, body);
      return true;
    }
    return await sendBody(response, body);
  }

  /** Responds to all open requests, which may have run. */
  #respondToOpen(): void {
    const detail = "This daemon stops before the backend server has responded";
    this.#open.respondToAll(unknown(Reason.LinkBroken, detail));
  }

  /**
   * Stops accepting connections and waits until the open requests have responses. Requests that still run
   * shortly before the end of the timeout get a response that says so.
   */
  async close(options: { timeoutMs: number }): Promise<void> {
    await closeGracefully(this.#server, this.#connections, {
      ...options,
      respondAfterMs: this.#options.shutdown.lastResponsesAt - now(),
      respondToOpen: () => this.#respondToOpen(),
    });
  }
}

function readHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? "";
}

function readDeadline(
  request: IncomingMessage,
  classDeadlineMs: number,
): number | undefined {
  const text = readHeader(request, DEADLINE_HEADER);
  if (text === "") {
    return classDeadlineMs;
  }
  const requested = /^\d{1,9}$/.test(text) ? Number(text) : 0;
  return requested > 0 ? Math.min(requested, classDeadlineMs) : undefined;
}

function sendRejection(
  response: ServerResponse,
  id: string,
  rejection: Rejection,
): void {
  const body = Buffer.from(`${rejection.field}: ${rejection.message}\n`);
  response.writeHead(rejection.status, {
    "content-type": "text/plain",
    "content-length": body.length,
    [REQUEST_ID_HEADER]: id,
    [OUTCOME_HEADER]: Outcome.NotRun,
    [REASON_HEADER]: "malformed",
  });
  endWithBody(response, body);
}

function sendOutcome(
  response: ServerResponse,
  routedResponse: RoutedResponse,
  headers: string[],
): boolean {
  const { head } = routedResponse;
  const body = Buffer.from(`${head.detail ?? ""}\n`);
  headers.push(
    "content-type",
    "text/plain",
    "content-length",
    String(body.length),
  );
  headers.push(OUTCOME_HEADER, head.outcome!, REASON_HEADER, head.reason ?? "");
  response.writeHead(head.status, headers);
  endWithBody(response, body);
  return true;
}

async function sendBody(
  response: ServerResponse,
  body: AsyncIterable<Buffer>,
): Promise<boolean> {
  try {
    for await (const chunk of body) {
      if (response.destroyed) {
        return false;
      }
      if (!response.write(chunk)) {
        await waitForDrain(response);
      }
    }
    endAfterRequest(response);
    return true;
  } catch {
    response.destroy();
    return false;
  }
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      response.off("drain", finish);
      response.off("close", finish);
      resolve();
    };
    response.on("drain", finish);
    response.on("close", finish);
  });
}

/** Destroys the streamed body of a response whose caller has disconnected. */
function discard(routedResponse: RoutedResponse): void {
  const body = routedResponse.body as { destroy?: () => void } | undefined;
  if (body !== undefined && !Buffer.isBuffer(body)) {
    body.destroy?.();
  }
}

async function* limitBody(
  request: IncomingMessage,
  bytesMax: number,
): AsyncGenerator<Buffer> {
  let bytes = 0;
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    bytes += chunk.length;
    if (bytes > bytesMax) {
      throw new Error(`The body has more than ${bytesMax} bytes`);
    }
    yield chunk;
  }
  if (!request.complete) {
    throw new Error("The body was cut short");
  }
}
