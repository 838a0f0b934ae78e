/**
 * HTTP calls with a timeout, whose errors show whether the call may have taken effect.
 */
import type { Buffer } from "node:buffer";
import {
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request,
} from "node:http";
import type { Socket } from "node:net";
import { Result } from "true-myth";
import { BodyCollector, BodyFailure } from "./body_collector.ts";
import { isUnframed, observeEnd, resetOf } from "./connection_end.ts";

export { isUnframed, observeEnd, resetOf, streamBody } from "./connection_end.ts";
export { BodyCollector, type BodyCollectorOptions, BodyFailure } from "./body_collector.ts";

/** Largest body that is read, in bytes; far above any response, and a fraction of a small instance's memory. */
const BODY_BYTES_MAX = 32 * 1024 * 1024;
/** Largest number of informational responses before the response. */
const INFORMATION_MAX = 16;

/** Whether a failed call may have taken effect. */
export enum CallErrorKind {
  /** No byte of the call was sent. */
  NotSent = "not-sent",
  /** The call may have taken effect, now or later. */
  NoResponse = "no-answer",
}

/** Failure of a call that got no complete response. */
export class CallError extends Error {
  readonly kind: CallErrorKind;

  constructor(kind: CallErrorKind, message: string) {
    super(message);
    this.name = "CallError";
    this.kind = kind;
  }
}

/** Options of `callHttp`. */
export interface HttpCall {
  /** Pool of connections; false for a connection of its own. */
  agent: Agent | false;
  host: string;
  port: number;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Buffer;
  timeoutMs: number;
  /** Largest body of the response, in bytes. */
  bodyBytesMax?: number;
  signal?: AbortSignal;
  /** Returns whether the call may use the connection that it got; it is not sent otherwise. By default it may. */
  mayUse?: (socket: Socket) => boolean;
}

/** Response with its whole body. */
export interface HttpResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** Makes a call and reads the whole response; fails on a timeout, an abort or an incomplete response. */
export function callHttp(call: HttpCall): Promise<Result<HttpResponse, CallError>> {
  const { agent, host, port, method, path, timeoutMs, signal } = call;
  const headers: Record<string, string> = { ...call.headers };
  if (call.body !== undefined) {
    headers["content-length"] = String(call.body.length);
  }
  return new Promise((resolve) => {
    const outgoing = request({ agent, host, port, method, path, headers });
    let isConnected = false;
    let isSettled = false;
    const settle = (result: Result<HttpResponse, CallError>) => {
      if (isSettled) {
        return;
      }
      isSettled = true;
      clearTimeout(timer);
      signal?.removeEventListener("abort", abort);
      resolve(result);
    };
    const fail = (message: string) => {
      const kind = isConnected ? CallErrorKind.NoResponse : CallErrorKind.NotSent;
      settle(Result.err(new CallError(kind, `${method} ${path}: ${message}`)));
      outgoing.destroy();
    };
    const abort = () => fail("cancelled");
    const timer = setTimeout(() => fail(`no answer within ${timeoutMs} ms`), timeoutMs);
    signal?.addEventListener("abort", abort, { once: true });
    if (signal?.aborted) {
      abort();
    }
    outgoing.on("socket", (socket: Socket) => {
      observeEnd(socket);
      if (call.mayUse?.(socket) === false) {
        fail("the connection may not be used");
        return;
      }
      isConnected = !socket.connecting;
      if (socket.connecting) {
        socket.once("connect", () => isConnected = true);
      }
    });
    outgoing.on("error", (error) => fail(error.message));
    limitInformation(outgoing);
    let hasResponse = false;
    // A response that switches protocols ends the call without any other event.
    outgoing.on("close", () => hasResponse || fail("the connection ended without a response"));
    outgoing.on("response", (message) => {
      hasResponse = true;
      const { socket } = message;
      readBody(message, { bytesMax: call.bodyBytesMax }).then(
        async (body) => {
          const { statusCode = 0, headers: responseHeaders } = message;
          const reset = isUnframed(message) ? await resetOf(socket) : undefined;
          if (reset !== undefined) {
            fail(reset.message);
            return;
          }
          settle(Result.ok({ status: statusCode, headers: responseHeaders, body }));
        },
        (error: Error) => fail(error.message),
      );
    });
    outgoing.end(call.body);
  });
}

/** Closes the idle connections of an agent; those with a call in flight go on. */
export function closeIdleConnections(agent: Agent): void {
  Object.values(agent.freeSockets).flatMap((sockets) => sockets ?? [])
    .forEach((socket) => socket.destroy());
}

/** Options of `collectBody`. */
export interface CollectOptions {
  /** Largest length, in bytes. */
  bytesMax?: number;
  /** Takes memory for some bytes; returns false where there is none. By default there always is. */
  take?: (bytes: number) => boolean;
  /** Longest wait for the whole body, in milliseconds; by default there is no limit. */
  timeoutMs?: number;
}

/** Collects the whole body of a message. After a failure, what still arrives of it is discarded. */
export function collectBody(
  message: IncomingMessage,
  options: CollectOptions = {},
): Promise<Result<Buffer, BodyFailure>> {
  const { bytesMax = BODY_BYTES_MAX, take, timeoutMs } = options;
  const body = new BodyCollector({ length: lengthOf(message), bytesMax, take });
  return new Promise((resolve) => {
    const settle = (result: Result<Buffer, BodyFailure>) => {
      clearTimeout(timer);
      message.off("data", add);
      resolve(result);
    };
    const fail = (failure: BodyFailure) => {
      body.forget();
      settle(Result.err(failure));
    };
    const add = (part: Buffer) => {
      if (!body.add(part)) {
        fail(body.failure!);
      }
    };
    const timer = timeoutMs === undefined
      ? undefined
      : setTimeout(() => fail(BodyFailure.Late), timeoutMs);
    if (body.failure !== undefined) {
      fail(body.failure);
      return;
    }
    message.on("data", add);
    message.on(
      "end",
      () => message.complete ? settle(Result.ok(body.end())) : fail(BodyFailure.CutShort),
    );
    message.on("error", () => fail(BodyFailure.CutShort));
    message.on("close", () => fail(BodyFailure.CutShort));
  });
}

/**
 * Reads the whole body of a message. Rejects when the body is incomplete, and destroys the message when it is
 * too large, since a faulty sender may send without end.
 */
export async function readBody(
  message: IncomingMessage,
  options: CollectOptions = {},
): Promise<Buffer> {
  const collected = await collectBody(message, options);
  if (collected.isOk) {
    return collected.value;
  }
  message.destroy();
  throw new Error(`the body cannot be read: ${collected.error}`);
}

/** Whether a message has a body, which may be empty. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

/** Returns the length that a message announces for its body; undefined where it announces none. */
function lengthOf(message: IncomingMessage): number | undefined {
  const { headers } = message;
  const { req: request } = message as { req?: ClientRequest };
  if (request?.method === "HEAD") {
    return undefined;
  }
  const length = headers["transfer-encoding"] === undefined ? headers["content-length"] : undefined;
  return length === undefined ? undefined : Number(length);
}

/** Ends a call whose server sends informational responses without end, in place of the response. */
export function limitInformation(outgoing: ClientRequest): void {
  let count = 0;
  outgoing.on("information", () => {
    if (++count > INFORMATION_MAX) {
      outgoing.destroy(new Error("too many informational responses"));
    }
  });
}
