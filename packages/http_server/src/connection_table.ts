/**
 * The connections of one server, and which of them may be closed to make room for others: one without an open request,
 * on which no part of a further request has arrived. New connections may take up to half of the table before they carry a
 * request, so that neither they nor the ones that are in use can drive out all of the others.
 */
import type { Clock } from "@bulrushwood/types";

/** Time in which a new connection is expected to carry a request, in milliseconds. */
const FIRST_REQUEST_MS = 1_000;
/** Share of the connections that may be new ones without a request while others are idle. */
const UNUSED_SHARE = 0.5;

/** What a table needs of a socket. */
export interface TrackedSocket {
  readonly bytesRead: number;
  destroy(): void;
}

interface Connection {
  hasRequest: boolean;
  /** Number of requests without a whole response. */
  open: number;
  idleSince: number;
  /** Bytes that had been read when the connection became idle. */
  bytesRead: number;
}

/** The connections of one server. */
export class ConnectionTable<Socket extends TrackedSocket> {
  readonly #now: Clock;
  readonly #connections = new Map<Socket, Connection>();
  /** Connections that have carried no request, the oldest first. */
  readonly #unused = new Set<Socket>();
  /** Connections without an open request that have carried one, the one that is idle longest first. */
  readonly #idle = new Set<Socket>();
  #isClosing = false;

  constructor(options: { now: Clock }) {
    this.#now = options.now;
  }

  /** Number of connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Adds a new connection, which is not closed before `settle`. */
  add(socket: Socket): void {
    const { bytesRead } = socket;
    this.#connections.set(socket, {
      hasRequest: false,
      open: 0,
      idleSince: this.#now(),
      bytesRead,
    });
  }

  /** Records that what arrived together with a new connection was read. */
  settle(socket: Socket): void {
    if (this.#connections.get(socket)?.hasRequest === false) {
      this.#unused.add(socket);
    }
  }

  /** Removes a connection that has closed or that serves no requests any more. */
  remove(socket: Socket): void {
    this.#connections.delete(socket);
    this.#unused.delete(socket);
    this.#idle.delete(socket);
  }

  /** Records that a request was read. */
  begin(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) {
      connection.hasRequest = true;
      connection.open++;
      this.#unused.delete(socket);
      this.#idle.delete(socket);
    }
  }

  /** Records that the response to a request was sent. */
  end(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.open--;
    if (connection.open === 0) {
      connection.idleSince = this.#now();
      connection.bytesRead = socket.bytesRead;
      this.#idle.add(socket);
      this.#closeIdle();
    }
  }

  /** Closes idle connections that have carried a request, and the others once they are idle after one. */
  close(): void {
    this.#isClosing = true;
    this.#closeIdle();
  }

  #closeIdle(): void {
    while (this.#isClosing) {
      const socket = this.#firstSilent(this.#idle);
      if (socket === undefined) {
        break;
      }
      this.#destroy(socket);
    }
  }

  /** Closes idle connections while there are more than a number; returns how many it closed. */
  makeRoom(sizeMax: number): number {
    let closed = 0;
    while (this.size > sizeMax) {
      const socket = this.#choose();
      if (socket === undefined) {
        break;
      }
      this.#destroy(socket);
      closed++;
    }
    return closed;
  }

  #destroy(socket: Socket): void {
    this.remove(socket);
    socket.destroy();
  }

  /** Chooses the connection to close next. */
  #choose(): Socket | undefined {
    const unused = this.#firstSilent(this.#unused);
    const isExpendable = unused !== undefined &&
      (this.#unused.size > this.size * UNUSED_SHARE ||
        this.#now() - this.#connections.get(unused)!.idleSince >= FIRST_REQUEST_MS);
    return isExpendable ? unused : this.#firstSilent(this.#idle) ?? unused;
  }

  /** Returns the first connection on which no part of a further request has arrived. */
  #firstSilent(sockets: Set<Socket>): Socket | undefined {
    for (const socket of sockets) {
      if (socket.bytesRead === this.#connections.get(socket)!.bytesRead) {
        return socket;
      }
    }
    return undefined;
  }
}
