/**
 * The wire to callers: HTTP requests in, answers out. What cannot be understood is refused with an error
 * that names the field; an answer whose rest is missing ends in a reset, never as if it were whole.
 */
import { Buffer } from "node:buffer";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { Ledger } from "@bulrushwood/ledger";
import type { RequestHead } from "@bulrushwood/protocol";
import {
  type RoutedResponse,
  type RouteMatch,
  RouteTable,
  type ShardOf,
} from "@bulrushwood/routing";
import type { Configuration, DaemonSettings, Route } from "@bulrushwood/settings";
import { now, Outcome } from "@bulrushwood/types";
import { readHeaders, toFlatHeaders } from "./headers.ts";
import type { RequestBody } from "./holder.ts";
import type { Call, Ingress } from "./ingress.ts";
import { type Log, LogLevel } from "./logger.ts";
import type { Measures } from "./measures.ts";
import { readWhole } from "./whole_body.ts";

/** Bodies up to this size are read whole before the request is forwarded, in bytes. */
const SMALL_BODY_BYTES = 64 * 1024;
const IDEMPOTENCY_KEY_CHARACTERS_MAX = 256;

/** What metrics call the outcome of a request that a backend server answered. */
const ANSWERED = "answered";

/** Header of an answer: what became of the request, when the backend server did not answer it. */
export const OUTCOME_HEADER = "bulrushwood-outcome";
/** Header of an answer: why. */
export const REASON_HEADER = "bulrushwood-reason";
/** Header of an answer: the system's name for the request, as it stands in logs. */
export const REQUEST_ID_HEADER = "bulrushwood-request-id";
/** Header of a request: how long the caller waits, in milliseconds. */
export const DEADLINE_HEADER = "bulrushwood-deadline-ms";
/** Header of a request: which attempt this is with its idempotency key, counted from 1. */
export const ATTEMPT_HEADER = "bulrushwood-attempt";

/** What the callers' side needs. */
export interface CallersOptions {
  ledger: Ledger;
  ingress: Ingress;
  measures: Measures;
  settings: DaemonSettings;
  shardOf: ShardOf;
  /** Prefix of request ids; unique to this life of the daemon. */
  idPrefix: string;
  log: Log;
  /** Whether the daemon ends; connections are closed after their answer. */
  isEnding: () => boolean;
}

/** Why a request is refused before it goes anywhere. */
interface Refusal {
  status: number;
  field: string;
  message: string;
}

/** A request that was understood. */
interface Understood {
  match: RouteMatch;
  configuration: Configuration;
  tenant: string;
  key: string;
  deadlineMs: number;
  idempotencyKey: string;
  firstAttempt: boolean;
}

function refuse(
  status: number,
  field: string,
  message: string,
): Result<never, Refusal> {
  return Result.err({ status, field, message });
}

/** Listens for callers. */
export class Callers {
  readonly #options: CallersOptions;
  readonly #server: Server;
  #routes: RouteTable | undefined;
  #routesOf: Configuration | undefined;
  #nextId = 1;

  private constructor(options: CallersOptions) {
    this.#options = options;
    const maxHeaderSize = options.settings.limits.headerBytes;
    this.#server = createServer(
      { maxHeaderSize, keepAliveTimeout: 60_000 },
      (request, response) => {
        this.#answer(request, response).catch(() => response.destroy());
      },
    );
    this.#server.on("clientError", (error, socket) => {
      options.measures.noteMalformed("caller");
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
    options: CallersOptions,
    address: { host: string; port: number },
  ): Promise<Callers> {
    const callers = new Callers(options);
    await new Promise<void>((resolve, reject) => {
      callers.#server.once("error", reject);
      callers.#server.listen(address.port, address.host, resolve);
    });
    return callers;
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = now();
    const id = `${this.#options.idPrefix}-${this.#nextId++}`;
    const understood = this.#understand(request);
    if (understood.isErr) {
      this.#options.measures.noteMalformed("caller");
      request.resume();
      sendRefusal(response, id, understood.error);
      return;
    }
    await this.#serve(request, response, {
      id,
      arrivedAt,
      understood: understood.value,
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    options: { id: string; arrivedAt: number; understood: Understood },
  ): Promise<void> {
    const { id, arrivedAt, understood } = options;
    const gone = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) {
        gone.abort();
      }
    });
    const body = await this.#readBody(request);
    if (body.isErr) {
      sendRefusal(response, id, body.error);
      return;
    }
    const call = this.#toCall(request, {
      id,
      arrivedAt,
      understood,
      body: body.value,
    });
    const answer = await this.#options.ingress.handle({
      ...call,
      signal: gone.signal,
    });
    const isWhole = await this.#send(response, id, answer);
    request.resume();
    const durationMs = now() - arrivedAt;
    this.#observe(answer, understood, { id, isWhole, durationMs });
  }

  #observe(
    answer: RoutedResponse,
    understood: Understood,
    options: { id: string; isWhole: boolean; durationMs: number },
  ): void {
    const { match, configuration, tenant } = understood;
    const { id, isWhole, durationMs } = options;
    const workClass = match.route.class;
    const outcome = answer.head.outcome ?? (isWhole ? ANSWERED : Outcome.Unknown);
    const { withinMs } = configuration.classes[workClass].target;
    this.#options.measures.observe({ tenant, workClass, outcome, durationMs, withinMs });
    if (outcome !== ANSWERED) {
      const { reason, detail } = answer.head;
      const level = outcome === Outcome.Unknown ? LogLevel.Warn : LogLevel.Debug;
      const fields = { id, tenant, workClass, outcome, reason, detail };
      this.#options.log(level, "A caller got no answer of a backend server", fields);
    }
  }

  #understand(request: IncomingMessage): Result<Understood, Refusal> {
    const configuration = this.#options.ledger.configuration?.configuration;
    if (configuration === undefined) {
      return refuse(
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
      return refuse(404, "path", message);
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
  ): Result<Understood, Refusal> {
    const key = this.#readKey(request, match);
    if (key.isErr) {
      return Result.err(key.error);
    }
    const deadlineMs = readDeadline(
      request,
      configuration.classes[match.route.class].deadlineMs,
    );
    if (deadlineMs === undefined) {
      return refuse(
        400,
        DEADLINE_HEADER,
        "The header must be a whole number of milliseconds above 0",
      );
    }
    const idempotencyKey = single(request, "idempotency-key");
    if (idempotencyKey.length > IDEMPOTENCY_KEY_CHARACTERS_MAX) {
      const message = `The header must have at most ${IDEMPOTENCY_KEY_CHARACTERS_MAX} characters`;
      return refuse(400, "idempotency-key", message);
    }
    const attempt = single(request, ATTEMPT_HEADER);
    if (!/^\d{0,6}$/.test(attempt)) {
      return refuse(
        400,
        ATTEMPT_HEADER,
        "The header must be a whole number, 1 for the first attempt",
      );
    }
    const tenant = single(request, configuration.tenantHeader.toLowerCase()) ||
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
  ): Result<string, Refusal> {
    const source = match.route.key;
    if (source === undefined) {
      return Result.ok("");
    }
    const isHeader = "header" in source;
    const field = isHeader ? source.header : `path part ${source.pathPart}`;
    const key = isHeader
      ? single(request, source.header.toLowerCase())
      : match.captures.get(source.pathPart) ?? "";
    const { keyBytes } = this.#options.settings.limits;
    if (key === "") {
      return refuse(400, field, "The key of the request is missing");
    }
    if (Buffer.byteLength(key) > keyBytes) {
      return refuse(400, field, `The key must have at most ${keyBytes} bytes`);
    }
    return Result.ok(key);
  }

  /** Reads a short body whole; a long one is passed on in parts. */
  async #readBody(
    request: IncomingMessage,
  ): Promise<Result<RequestBody, Refusal>> {
    const { bodyBytes } = this.#options.settings.limits;
    const length = request.headers["content-length"];
    const isChunked = request.headers["transfer-encoding"] !== undefined;
    if (length === undefined && !isChunked) {
      return Result.ok(undefined);
    }
    if (length !== undefined && Number(length) > bodyBytes) {
      const message = `The body must have at most ${bodyBytes} bytes`;
      return refuse(413, "content-length", message);
    }
    if (isChunked || Number(length) > SMALL_BODY_BYTES) {
      return Result.ok(limitParts(request, bodyBytes));
    }
    const body = await readWhole(request);
    return body === undefined ? refuse(400, "body", "The body was cut short") : Result.ok(body);
  }

  #toCall(
    request: IncomingMessage,
    options: {
      id: string;
      arrivedAt: number;
      understood: Understood;
      body: RequestBody;
    },
  ): Omit<Call, "signal"> {
    const { id, arrivedAt, understood, body } = options;
    const { match, configuration, key, tenant, idempotencyKey, firstAttempt } = understood;
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
      remainingMs: understood.deadlineMs,
      idempotencyKey,
      firstAttempt,
    };
    const workClass = configuration.classes[route.class];
    return {
      head,
      workClass,
      body,
      deadline: arrivedAt + understood.deadlineMs,
    };
  }

  #shardOf(configuration: Configuration, route: Route, key: string): number {
    const pool = configuration.pools[route.pool];
    return pool.keyed ? this.#options.shardOf(key, pool.shards) : -1;
  }

  /** Sends an answer; tells whether the caller got all of it. */
  async #send(
    response: ServerResponse,
    id: string,
    answer: RoutedResponse,
  ): Promise<boolean> {
    if (response.destroyed) {
      discard(answer);
      return false;
    }
    const { head, body } = answer;
    const headers = toFlatHeaders(head.headers);
    headers.push(REQUEST_ID_HEADER, id);
    if (this.#options.isEnding()) {
      headers.push("connection", "close");
    }
    if (head.outcome !== undefined) {
      return sendOutcome(response, answer, headers);
    }
    response.writeHead(head.status, headers);
    if (body === undefined || Buffer.isBuffer(body)) {
      response.end(body);
      return true;
    }
    return await sendParts(response, body);
  }

  /** Stops taking connections; resolves when the open requests are answered or time is up. */
  async close(options: { timeoutMs: number }): Promise<void> {
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()));
    this.#server.closeIdleConnections();
    const timer = setTimeout(
      () => this.#server.closeAllConnections(),
      options.timeoutMs,
    );
    await closed;
    clearTimeout(timer);
  }
}

function single(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? "";
}

function readDeadline(
  request: IncomingMessage,
  classMs: number,
): number | undefined {
  const text = single(request, DEADLINE_HEADER);
  if (text === "") {
    return classMs;
  }
  const wanted = /^\d{1,9}$/.test(text) ? Number(text) : 0;
  return wanted > 0 ? Math.min(wanted, classMs) : undefined;
}

function sendRefusal(
  response: ServerResponse,
  id: string,
  refusal: Refusal,
): void {
  const body = Buffer.from(`${refusal.field}: ${refusal.message}\n`);
  response.writeHead(refusal.status, {
    "content-type": "text/plain",
    "content-length": body.length,
    [REQUEST_ID_HEADER]: id,
    [OUTCOME_HEADER]: Outcome.NotRun,
    [REASON_HEADER]: "malformed",
  });
  response.end(body);
}

function sendOutcome(
  response: ServerResponse,
  answer: RoutedResponse,
  headers: string[],
): boolean {
  const { head } = answer;
  const body = Buffer.from(`${head.detail ?? ""}\n`);
  headers.push(
    "content-type",
    "text/plain",
    "content-length",
    String(body.length),
  );
  headers.push(OUTCOME_HEADER, head.outcome!, REASON_HEADER, head.reason ?? "");
  response.writeHead(head.status, headers);
  response.end(body);
  return true;
}

async function sendParts(
  response: ServerResponse,
  body: AsyncIterable<Buffer>,
): Promise<boolean> {
  try {
    for await (const part of body) {
      if (response.destroyed) {
        return false;
      }
      if (!response.write(part)) {
        await drainedOrClosed(response);
      }
    }
    response.end();
    return true;
  } catch {
    response.destroy();
    return false;
  }
}

function drainedOrClosed(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const settle = () => {
      response.off("drain", settle);
      response.off("close", settle);
      resolve();
    };
    response.on("drain", settle);
    response.on("close", settle);
  });
}

/** Lets go of an answer that nobody takes. */
function discard(answer: RoutedResponse): void {
  const body = answer.body as { destroy?: () => void } | undefined;
  if (body !== undefined && !Buffer.isBuffer(body)) {
    body.destroy?.();
  }
}

async function* limitParts(
  request: IncomingMessage,
  bytesMax: number,
): AsyncGenerator<Buffer> {
  let bytes = 0;
  for await (const part of request.iterator({ destroyOnReturn: false })) {
    bytes += part.length;
    if (bytes > bytesMax) {
      throw new Error(`The body has more than ${bytesMax} bytes`);
    }
    yield part;
  }
  if (!request.complete) {
    throw new Error("The body was cut short");
  }
}
