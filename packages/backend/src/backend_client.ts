/**
 * Sends requests to the backend server beside this daemon. The lease is checked on a connection that is
 * already open, as the last step before the first byte, so that nothing waits between check and send.
 */
import type { Buffer } from "node:buffer";
import { Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { Result } from "true-myth";
import { BackendError, BackendErrorKind } from "./errors.ts";
import type { Neighbour } from "./announcements.ts";
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

const GRANT_TIMEOUT_MS = 1_000;
const STOP_TIMEOUT_MS = 250;

/** A lease that covers a request. */
export interface Cover {
  group: number;
  token: string;
  /** End of the lease on this process's clock, in milliseconds. */
  heldUntil: () => number;
}

/** One request to the server. */
export interface BackendRequest {
  id: string;
  method: string;
  path: string;
  /** Header names and values in turn. */
  headers: string[];
  key: string;
  /** Time on this process's clock after which nobody waits for the answer, in milliseconds. */
  deadline: number;
  /** The last check before the first byte; what it refuses was not sent. */
  mayStart: () => boolean;
  /** The lease for a keyed request; absent in a pool without keys. */
  cover?: Cover;
  /** The whole body, or its parts as they come. */
  body: Buffer | AsyncIterable<Buffer> | undefined;
  signal: AbortSignal;
}

/** What a client needs. */
export interface BackendClientOptions {
  /** Connections to open at most. */
  connections: number;
}

/** Connections to one life of a backend server. */
export class BackendClient {
  readonly #neighbour: () => Neighbour | undefined;
  readonly #agent: Agent;

  constructor(
    neighbour: () => Neighbour | undefined,
    options: BackendClientOptions,
  ) {
    this.#neighbour = neighbour;
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: options.connections,
      maxFreeSockets: options.connections,
      scheduling: "fifo",
    });
  }

  /** Opens connections ahead of need. */
  async warm(count: number): Promise<void> {
    const neighbour = this.#neighbour();
    if (neighbour === undefined) {
      return;
    }
    const probes = Array.from({ length: count }, () => this.#probe(neighbour));
    await Promise.all(probes);
  }

  #probe(neighbour: Neighbour): Promise<void> {
    return new Promise((resolve) => {
      const probe = request({
        agent: this.#agent,
        host: neighbour.host,
        port: neighbour.port,
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

  /** Sends a request; gives the head of the server's own answer, with its body still to read. */
  async send(
    options: BackendRequest,
  ): Promise<Result<IncomingMessage, BackendError>> {
    const neighbour = this.#neighbour();
    if (neighbour === undefined) {
      return notSent("No backend server is beside this daemon");
    }
    const call = this.#open(options, neighbour);
    const failed = new Promise<Error>((resolve) => call.once("error", resolve));
    const socket = await Promise.race([connectedSocket(call), failed]);
    if (socket instanceof Error) {
      return notSent(`The backend server cannot be reached: ${socket.message}`);
    }
    const refusal = checkLast(options);
    if (refusal !== undefined) {
      call.destroy();
      return Result.err(refusal);
    }
    return await this.#exchange(call, options, failed);
  }

  #open(options: BackendRequest, neighbour: Neighbour): ClientRequest {
    const { cover, deadline } = options;
    const headers = [...options.headers, REQUEST_ID_HEADER, options.id];
    headers.push("host", `${neighbour.host}:${neighbour.port}`);
    headers.push(
      DEADLINE_HEADER,
      String(Math.max(0, Math.floor(deadline - performance.now()))),
    );
    if (cover !== undefined) {
      const { life } = neighbour.announcement;
      const untilMs = neighbour.clock.toServer(cover.heldUntil());
      const { group, token } = cover;
      headers.push(GRANT_HEADER, formatGrant({ life, group, token, untilMs }));
      headers.push(KEY_HEADER, encodeURIComponent(options.key));
    }
    return request({
      agent: this.#agent,
      host: neighbour.host,
      port: neighbour.port,
      method: options.method,
      path: options.path,
      headers,
      setDefaultHeaders: false,
    } as object);
  }

  /** Sends the request on its open connection and waits for the head of the answer. */
  async #exchange(
    call: ClientRequest,
    options: BackendRequest,
    failed: Promise<Error>,
  ): Promise<Result<IncomingMessage, BackendError>> {
    const answered = new Promise<IncomingMessage>((resolve) => call.once("response", resolve));
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
    const answer = await Promise.race([answered, failed]);
    clearTimeout(timer);
    if (answer instanceof Error) {
      return Result.err(brokenOff(answer, options.signal));
    }
    answer.once(
      "close",
      () => options.signal.removeEventListener("abort", abort),
    );
    return judgeAnswer(answer, call);
  }

  /** Tells the server that the leases of running work have been renewed. */
  extendGrants(grants: { group: number; heldUntil: number }[]): void {
    const neighbour = this.#neighbour();
    if (neighbour === undefined) {
      return;
    }
    const extension: GrantExtension = {
      life: neighbour.announcement.life,
      grants: grants.map(({ group, heldUntil }) => ({
        group,
        untilMs: neighbour.clock.toServer(heldUntil),
      })),
    };
    const call = request({
      agent: this.#agent,
      host: neighbour.host,
      port: neighbour.port,
      method: "POST",
      path: GRANTS_PATH,
      timeout: GRANT_TIMEOUT_MS,
    });
    call.on("response", (response) => response.resume());
    call.on("error", () => {});
    call.on("timeout", () => call.destroy());
    call.end(JSON.stringify(extension));
  }

  /** Asks the server to stop a request; true once it is sure that the request does not run. */
  stop(id: string): Promise<boolean> {
    const neighbour = this.#neighbour();
    if (neighbour === undefined) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      const call = request({
        agent: this.#agent,
        host: neighbour.host,
        port: neighbour.port,
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
        () => call.destroy(new Error("The server did not answer")),
      );
      call.end();
    });
  }

  /** Breaks off all that is under way; later requests open new connections. */
  dropConnections(): void {
    this.#agent.destroy();
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }
}

/** Resolves once the request has an open connection. */
function connectedSocket(call: ClientRequest): Promise<Socket> {
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

function checkLast(options: BackendRequest): BackendError | undefined {
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
  parts: AsyncIterable<Buffer>,
): Promise<void> {
  call.flushHeaders();
  for await (const part of parts) {
    if (call.destroyed) {
      return;
    }
    if (!call.write(part)) {
      await drained(call);
    }
  }
  call.end();
}

function drained(call: ClientRequest): Promise<void> {
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

/** A server may refuse a request before it has its whole body; the rest is then not sent. */
function judgeAnswer(
  answer: IncomingMessage,
  call: ClientRequest,
): Result<IncomingMessage, BackendError> {
  const refused = answer.headers[REFUSED_HEADER];
  if (refused === undefined) {
    return Result.ok(answer);
  }
  answer.resume();
  if (!call.writableFinished) {
    call.destroy();
  }
  const message = `The backend server refused the request without running it: ${refused}`;
  return Result.err(new BackendError(BackendErrorKind.Refused, message));
}

function brokenOff(error: Error, signal: AbortSignal): BackendError {
  const kind = signal.aborted ? BackendErrorKind.Cancelled : BackendErrorKind.BrokenOff;
  return new BackendError(
    kind,
    `The backend server did not answer: ${error.message}`,
  );
}

function notSent(message: string): Result<never, BackendError> {
  return Result.err(new BackendError(BackendErrorKind.NotSent, message));
}
