/**
 * Limits the connections of an HTTP server, so that descriptors remain for all else that the process does.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import { now } from "@bulrushwood/types";
import { ConnectionTable } from "./connection_table.ts";

/** Connections beyond which idle ones are closed, as a share of the limit; the rest is for those with open requests. */
const IDLE_SHARE = 0.9;

/** Why connections were closed. */
export enum ClosedConnection {
  /** Idle ones, to make room for others. */
  Idle = "idle",
  /** New ones, since the limit was reached and none was idle. */
  New = "new",
}

/** Options of `limitConnections`. */
export interface ConnectionLimitOptions {
  /** Largest number of connections at this time. */
  max: () => number;
  /** Called with the number of connections that were closed. */
  onClosed: (closed: ClosedConnection, count: number) => void;
}

/**
 * Limits the connections of a server. Beyond the limit it closes idle connections, and new ones only where all others
 * have open requests; a connection with an open request is never closed. Connections that switch protocols do not count.
 */
export function limitConnections(
  server: Server,
  options: ConnectionLimitOptions,
): ConnectionTable<Socket> {
  const { max, onClosed } = options;
  const table = new ConnectionTable<Socket>({ now });
  const makeRoom = (sizeMax: number) => {
    const closed = table.makeRoom(sizeMax);
    if (closed > 0) {
      onClosed(ClosedConnection.Idle, closed);
    }
  };
  const settle = (socket: Socket) => {
    table.settle(socket);
    makeRoom(Math.floor(max() * IDLE_SHARE));
  };
  server.on("connection", (socket: Socket) => {
    const connectionsMax = max();
    makeRoom(connectionsMax - 1);
    if (table.size >= connectionsMax) {
      socket.destroy();
      onClosed(ClosedConnection.New, 1);
      return;
    }
    table.add(socket);
    socket.once("close", () => table.remove(socket));
    // Node.js reads from a new connection in the next poll.
    setImmediate(() => setImmediate(settle, socket));
  });
  server.prependListener("request", ({ socket }: IncomingMessage, response: ServerResponse) => {
    table.begin(socket);
    response.once("close", () => table.end(socket));
  });
  server.on("upgrade", (_request, socket: Duplex) => table.remove(socket as Socket));
  return table;
}
