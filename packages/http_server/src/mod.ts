/**
 * Lets HTTP servers listen, ends their responses, and closes them. A response that closes its connection ends only when the
 * whole request has arrived: ending it earlier would reset the connection, and a caller that still sends would fail
 * before it reads the response.
 */
import type { Buffer } from "node:buffer";
import type { Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { now } from "@bulrushwood/types";
import type { ConnectionTable } from "./connection_table.ts";

export { listen, type ListenAddress, type ListenOptions } from "./listen.ts";
export { EventLoop, type EventLoopOptions } from "./event_loop.ts";
export {
  ClosedConnection,
  type ConnectionLimitOptions,
  limitConnections,
} from "./connection_limit.ts";
export type { ConnectionTable } from "./connection_table.ts";
export {
  countDescriptors,
  openDescriptorsMax,
  SocketLimit,
  type SocketLimitOptions,
} from "./socket_limit.ts";

/** Longest wait for the rest of a request that has its response already, in milliseconds. */
const UNREAD_BODY_TIMEOUT_MS = 2_000;
/** Longest time for which a server that closes accepts the connections that wait, in milliseconds. */
const ACCEPT_TIMEOUT_MS = 200;
/** Rounds of the event loop that read the requests on the connections accepted last. */
const READ_ROUNDS = 2;

/** Sends the body of a response at once, and ends the response once the whole request has arrived. */
export function endWithBody(response: ServerResponse, body: Buffer | undefined): void {
  if (response.req.complete) {
    response.end(body);
    return;
  }
  response.flushHeaders();
  if (body !== undefined) {
    response.write(body);
  }
  endAfterRequest(response);
}

/** Ends a response once the whole request has arrived; discards the rest of the request. */
export function endAfterRequest(response: ServerResponse): void {
  const request = response.req;
  if (request.complete) {
    response.end();
    return;
  }
  const end = () => {
    clearTimeout(timer);
    request.off("end", end).off("close", end);
    response.end();
  };
  const timer = setTimeout(end, UNREAD_BODY_TIMEOUT_MS);
  request.once("end", end).once("close", end).resume();
}

/** Timing of the close of a server. */
export interface CloseOptions {
  /** Time after which all connections are closed, in milliseconds. */
  timeoutMs: number;
  /** Time after which the open requests get a response, in milliseconds; at most the timeout. */
  respondAfterMs: number;
  /** Responds to the open requests. */
  respondToOpen: () => void;
}

/** Resolves when the connections and requests that arrived while the event loop was blocked have been read. */
async function readArrived(server: Server, timeoutMs: number): Promise<void> {
  let accepted = 0;
  const count = () => accepted++;
  server.on("connection", count);
  const until = now() + timeoutMs;
  do {
    accepted = 0;
    // A round accepts one connection at most.
    for (let round = 0; round < READ_ROUNDS; round++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  } while (accepted > 0 && now() < until);
  server.off("connection", count);
}

/** Stops accepting connections; resolves when all requests have their responses or the timeout has passed. */
export async function closeGracefully(
  server: Server,
  connections: ConnectionTable<Socket>,
  options: CloseOptions,
): Promise<void> {
  const { respondToOpen } = options;
  const startedAt = now();
  await readArrived(server, Math.min(ACCEPT_TIMEOUT_MS, options.timeoutMs));
  const elapsedMs = now() - startedAt;
  const timeoutMs = options.timeoutMs - elapsedMs;
  const respondAfterMs = options.respondAfterMs - elapsedMs;
  // The close of a Node.js HTTP server destroys connections whose responses are written but not sent yet.
  const closed = new Promise<void>((resolve) =>
    NetServer.prototype.close.call(server, () => resolve())
  );
  connections.close();
  const timers = [
    setTimeout(respondToOpen, Math.min(timeoutMs, respondAfterMs)),
    setTimeout(() => server.closeAllConnections(), timeoutMs),
  ];
  await closed;
  timers.forEach((timer) => clearTimeout(timer));
  // Ends the server's checks for late heads.
  server.close();
}
