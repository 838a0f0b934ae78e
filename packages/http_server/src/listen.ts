/**
 * Lets a server listen. The port may still be held for a moment, by the process before this one or by any other, so a
 * taken port is tried again rather than ending the process. Errors of a server that listens, such as a connection that
 * cannot be accepted for lack of file descriptors, end neither.
 */
import type { Server } from "node:net";

/** Pause before a taken port is tried again, in milliseconds. */
const RETRY_MS = 100;
/** Codes of errors that pass when another process ends, or when the machine has its address. */
const TRANSIENT_CODES = new Set(["EADDRINUSE", "EADDRNOTAVAIL"]);

/** IP address and port of a server. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Options of `listen`. */
export interface ListenOptions {
  /** Called with each error of the server, before and after it listens. */
  onError?: (error: NodeJS.ErrnoException) => void;
  /** Ends the tries when it aborts. */
  signal?: AbortSignal;
}

/** Resolves when the server listens, or when the signal aborts; rejects on errors that would not pass. */
export function listen(
  server: Server,
  address: ListenAddress,
  options: ListenOptions = {},
): Promise<void> {
  const { onError, signal } = options;
  const { host, port } = address;
  return new Promise((resolve, reject) => {
    let timer: NodeJS.Timeout | undefined;
    const abort = () => {
      clearTimeout(timer);
      resolve();
    };
    const tryToListen = () => server.listen(port, host);
    server.on("error", (error: NodeJS.ErrnoException) => {
      onError?.(error);
      if (server.listening || signal?.aborted) {
        return;
      }
      if (TRANSIENT_CODES.has(error.code ?? "")) {
        timer = setTimeout(tryToListen, RETRY_MS);
      } else {
        reject(error);
      }
    });
    server.once("listening", () => {
      signal?.removeEventListener("abort", abort);
      resolve();
    });
    signal?.addEventListener("abort", abort, { once: true });
    tryToListen();
  });
}
