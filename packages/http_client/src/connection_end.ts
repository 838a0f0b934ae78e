/**
 * Tells how the connection of a response ended. A response without a length is whole when its connection ends, unless
 * the connection was reset. Node.js reports a reset as an ordinary end if it arrives together with the last data: it ends
 * the stream when the system says that the connection is over, without a further read, which would fail. A write of no
 * bytes fails as that read would, and sends nothing.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { pipeline, type Readable, Transform } from "node:stream";

const NO_BYTES = Buffer.alloc(0);
/** Error of a connection that was reset after the peer had ended it in order, so that everything had arrived. */
const RESET_AFTER_END = "EPIPE";

/** How connections ended; undefined for a connection that is observed and has not. */
const ends = new WeakMap<Socket, Promise<Error | undefined> | undefined>();

/** Observes how a connection ends, from now on. */
export function observeEnd(socket: Socket): void {
  if (ends.has(socket)) {
    return;
  }
  ends.set(socket, undefined);
  // Before the HTTP client's own listener, which ends the other direction.
  socket.prependOnceListener("end", () => {
    const written = new Promise<Error | undefined>((resolve) => {
      socket.write(
        NO_BYTES,
        (error?: NodeJS.ErrnoException | null) =>
          resolve(error?.code === RESET_AFTER_END ? undefined : error ?? undefined),
      );
    });
    ends.set(socket, written);
  });
  // The failed write is an error of the connection, too, after the HTTP client has stopped to listen for them.
  socket.on("error", () => {});
}

/** Whether a response has neither a length nor chunks, so that it ends with its connection. */
export function isUnframed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}

/** Returns the body of a response on an observed connection as a stream, which fails at its end after a reset. */
export function streamBody(message: IncomingMessage): Readable {
  if (!isUnframed(message)) {
    return message;
  }
  const { socket } = message;
  const body = new Transform({
    transform: (chunk, _encoding, done) => done(null, chunk),
    flush: (done) => {
      resetOf(socket).then(done);
    },
  });
  // Errors are those of the body.
  pipeline(message, body, () => {});
  return body;
}

/**
 * Resolves to the error of an observed connection that was reset, and to undefined if it ended in order or has not
 * ended.
 */
export async function resetOf(socket: Socket): Promise<Error | undefined> {
  return await ends.get(socket);
}
