/**
 * Sends requests and orders to the backend server beside this daemon. An answer counts only if it belongs
 * to the request, is whole and bears the server's mark.
 */
import type { Buffer } from "node:buffer";
import { Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { Result } from "true-myth";
import type {
  Endpoint,
  Order,
  ServerAnswer,
  ServerLoad,
  ServerWire,
} from "@bulrushwood/deployment";
import { callHttp, readWhole } from "@bulrushwood/http_client";
import type { OrderAnswer } from "@bulrushwood/lease_ranges";
import { type Header, type RequestHead } from "@bulrushwood/protocol";
import { now } from "@bulrushwood/types";

/** Idle connections are closed before the server does, in milliseconds. */
const IDLE_MS = 4_000;
/** An answer at the deadline is waited for a little longer, in milliseconds. */
const DEADLINE_GRACE_MS = 40;
/** Time limit of a health check, in milliseconds. */
const HEALTH_TIMEOUT_MS = 400;
const STATUS_OK = 200;
/** Statuses that promise that a request was not run; only the server's own word makes them true. */
const PROMISING = new Set([408, 421, 429, 503]);

/** What became of a request at the server. */
export enum ServerOutcome {
  Answered = "answered",
  /** Not sent, or the server vouches that it did not run. */
  NotRun = "not-run",
  /** As not-run; the server lacks the key, or is another one. */
  Misdirected = "misdirected",
  /** It may have run. */
  Unknown = "unknown",
}

/** The end of a request at the server. */
export interface ServerResult {
  outcome: ServerOutcome;
  /** Why there is no answer; empty where there is one. */
  detail: string;
  status: number;
  headers: Header[];
  body: Buffer | undefined;
  load: ServerLoad | undefined;
  /** Whether the server refused the connection. */
  isRefused: boolean;
  /** Whether only the end of the connection marked the end of the body. */
  isUnframed: boolean;
}

/** One request to the server. */
export interface ServerCall {
  head: RequestHead;
  /** Header names and values in turn. */
  headers: string[];
  body: Buffer | undefined;
  /** On this process's clock, in milliseconds. */
  deadline: number;
  signal: AbortSignal;
}

/** What a server client needs. */
export interface ServerClientOptions {
  endpoint: Endpoint;
  wire: ServerWire;
  /** Reads the headers to pass on from Node's flat list. */
  readHeaders: (flat: string[]) => Header[];
}

/** Connections to the server. */
export class ServerClient {
  readonly #options: ServerClientOptions;
  readonly #agent = new Agent({ keepAlive: true, timeout: IDLE_MS, scheduling: "lifo" });
  readonly #orders = new Agent({ keepAlive: true, timeout: IDLE_MS });

  constructor(options: ServerClientOptions) {
    this.#options = options;
    this.#agent.on("free", (socket: Socket) => socket.on("data", dropIdle));
  }

  /** Sends an order. */
  async order(
    order: Order,
    options: { timeoutMs: number },
  ): Promise<Result<OrderAnswer, Error>> {
    const { host, port } = this.#options.endpoint;
    return await callHttp({ agent: this.#orders, host, port, ...order, ...options });
  }

  /** Checks the server's health; gives the id of the server that answered that it is well. */
  async check(path: string): Promise<string | undefined> {
    const { endpoint, wire } = this.#options;
    const called = await callHttp({
      agent: this.#orders,
      ...endpoint,
      method: "GET",
      path,
      timeoutMs: HEALTH_TIMEOUT_MS,
    });
    return called.isOk && called.value.status === STATUS_OK
      ? wire.readHealth(called.value.headers)
      : undefined;
  }

  /** Sends a request and reads the whole answer. */
  async send(call: ServerCall): Promise<ServerResult> {
    const { head, headers, body, deadline, signal } = call;
    const { host, port } = this.#options.endpoint;
    const length = body === undefined ? [] : ["content-length", String(body.length)];
    const outgoing = request({
      agent: this.#agent,
      host,
      port,
      method: head.method,
      path: head.path,
      headers: [...headers, ...length],
      setDefaultHeaders: false,
    } as object);
    const abort = () => outgoing.destroy(new Error("cancelled"));
    const timer = setTimeout(
      () => outgoing.destroy(new Error("the deadline passed")),
      Math.max(0, deadline + DEADLINE_GRACE_MS - now()),
    );
    signal.addEventListener("abort", abort, { once: true });
    try {
      return await this.#exchange(outgoing, call, body);
    } finally {
      clearTimeout(timer);
      signal.removeEventListener("abort", abort);
    }
  }

  async #exchange(
    outgoing: ClientRequest,
    call: ServerCall,
    body: Buffer | undefined,
  ): Promise<ServerResult> {
    let isConnected = false;
    let used: Socket | undefined;
    outgoing.once("socket", (socket: Socket) => {
      used = socket;
      socket.off("data", dropIdle);
      isConnected = !socket.connecting;
      if (socket.connecting) {
        socket.once("connect", () => isConnected = true);
      }
    });
    try {
      const answered = new Promise<IncomingMessage>((resolve, reject) => {
        outgoing.once("response", resolve);
        outgoing.on("error", reject);
      });
      if (call.signal.aborted) {
        outgoing.destroy(new Error("cancelled"));
      }
      outgoing.end(body);
      const message = await answered;
      const status = message.statusCode ?? 0;
      const answer = this.#options.wire.readAnswer(status, message.headers);
      const refused = refuseHead(call, status, { answer });
      if (refused !== undefined) {
        // What follows on this connection may be the answer to an earlier request. Node.js takes the socket
        // from the message at its end, when the agent may give it to the next request.
        used?.destroy();
        return refused;
      }
      // Node.js takes an answer without a length for complete even where its connection was reset.
      const reset = new Promise<never>((_, reject) => outgoing.on("error", reject));
      const whole = await Promise.race([readWhole(message), reset]);
      const result = this.#judge(message, whole, { answer });
      if (!outgoing.writableFinished) {
        used?.destroy();
      }
      return result;
    } catch (error) {
      const { message, code } = error as NodeJS.ErrnoException;
      const outcome = isConnected ? ServerOutcome.Unknown : ServerOutcome.NotRun;
      return { ...noAnswer(outcome, message), isRefused: code === "ECONNREFUSED" };
    }
  }

  #judge(
    message: IncomingMessage,
    body: Buffer,
    options: { answer: ServerAnswer },
  ): ServerResult {
    const { readHeaders } = this.#options;
    const status = message.statusCode ?? 0;
    const { answer } = options;
    const { load } = answer;
    if (answer.isMisdirected) {
      return { ...noAnswer(ServerOutcome.Misdirected, `status ${status}`), load };
    }
    if (answer.isNotRun) {
      return { ...noAnswer(ServerOutcome.NotRun, `refused with status ${status}`), load };
    }
    const headers = readHeaders(message.rawHeaders);
    const outcome = ServerOutcome.Answered;
    const isUnframed = message.headers["content-length"] === undefined &&
      message.headers["transfer-encoding"] === undefined;
    return { outcome, detail: "", status, headers, body, load, isRefused: false, isUnframed };
  }

  /** Closes idle connections, and breaks off all that is under way. */
  close(): void {
    this.#agent.destroy();
    this.#orders.destroy();
  }
}

/** Why the head of an answer shows that the answer does not count; undefined where it may. */
function refuseHead(
  call: ServerCall,
  status: number,
  options: { answer: ServerAnswer },
): ServerResult | undefined {
  const { answer } = options;
  const isRefusal = answer.isMisdirected || answer.isNotRun;
  // A late answer to an earlier request may come where this one's is due, also a refusal.
  if (answer.id !== call.head.id && !(isRefusal && answer.id === undefined)) {
    return noAnswer(ServerOutcome.Unknown, `an answer to request ${answer.id ?? "without id"}`);
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && !answer.isMarked) {
    return noAnswer(ServerOutcome.Unknown, "a success that is not the server's");
  }
  return PROMISING.has(status) && !isRefusal
    ? noAnswer(ServerOutcome.Unknown, `status ${status} without a promise`)
    : undefined;
}

/** Bytes on a connection that waits for no answer belong to no request, nor does what follows them. */
function dropIdle(this: Socket): void {
  this.destroy();
}

function noAnswer(outcome: ServerOutcome, detail: string): ServerResult {
  return {
    outcome,
    detail,
    status: 0,
    headers: [],
    body: undefined,
    load: undefined,
    isRefused: false,
    isUnframed: false,
  };
}
