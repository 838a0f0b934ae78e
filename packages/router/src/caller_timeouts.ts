/**
 * Ends connections whose callers take too long over a head or stay idle, and those with malformed input.
 */
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Manifest } from "@bulrushwood/deployment";
import type { CallerConnection, Exchange } from "./caller_connection.ts";

/** Idle connections are kept this much longer than callers keep them, in milliseconds. */
const IDLE_MARGIN_MS = 2_000;
/** Time for which a connection stays open after its last response so that the caller can read it, in milliseconds. */
const LINGER_MS = 2_000;
const TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
/** Status lines for malformed requests, by Node.js error code. */
const MALFORMED_STATUS: Record<string, string> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  [TIMEOUT_CODE]: "408 Request Timeout",
};

/** Time between checks for heads that take too long, in milliseconds. */
export const HEAD_CHECK_INTERVAL_MS = 500;

/** Applies the timeouts of the manifest in force. */
export function applyTimeouts(server: Server, limits: Manifest["limits"]): void {
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  server.headersTimeout = limits.headerTimeoutMs;
}

/** Ends the connections of a server whose callers take too long or send malformed input. */
export function enforceTimeouts(
  server: Server,
  connectionOf: (socket: Socket) => CallerConnection,
): void {
  server.on("connection", (socket: Socket) => socket.setTimeout(server.keepAliveTimeout));
  server.on("clientError", (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    const { code = "" } = error;
    const connection = connectionOf(socket);
    if (code !== TIMEOUT_CODE) {
      closeMalformed(socket, connection, code);
    } else if (socket.bytesRead > 0) {
      const { requests } = connection;
      const check = () => {
        if (connection.requests > requests || socket.destroyed) {
          return;
        }
        if (connection.isIdle) {
          closeMalformed(socket, connection, code);
        } else {
          setTimeout(check, HEAD_CHECK_INTERVAL_MS);
        }
      };
      // The rest of the head may have arrived while this process was suspended, and is read in the next poll.
      setImmediate(check);
    }
  });
}

/** Ends the connection of a response of which the caller takes nothing for as long as it may stay idle. */
export function endUnlessTaken(server: Server, response: ServerResponse, exchange: Exchange): void {
  const start = (socket: Socket) => {
    socket.setTimeout(server.keepAliveTimeout);
    response.once("finish", () => {
      // Otherwise Node.js has set the idle timeout.
      if (!exchange.isLast) {
        socket.setTimeout(0);
      }
    });
  };
  // A response gets its socket once all responses before it were sent.
  if (response.socket === null) {
    response.once("socket", start);
  } else {
    start(response.socket);
  }
}

/** Closes a connection after malformed input, once all earlier requests on it have their responses. */
function closeMalformed(socket: Socket, connection: CallerConnection, code: string): void {
  const status = MALFORMED_STATUS[code] ?? "400 Bad Request";
  connection.closeWhenDone(() => {
    if (socket.writable) {
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
      const timer = setTimeout(() => socket.destroy(), LINGER_MS);
      socket.once("close", () => clearTimeout(timer));
    } else {
      socket.destroy();
    }
  });
}
