/**
 * One connection of a caller, on which several requests may be under way, as callers may send further ones
 * before the first answer. Answers leave in the order of their requests; a request behind an answer that
 * closes the connection gets none, and is abandoned.
 */
import type { Socket } from "node:net";

/** Requests of one connection that may be under way at once; more are refused. */
export const PIPELINED_MAX = 32;

/** One request on a connection. */
export interface Exchange {
  /** Aborts when nobody will get the answer. */
  signal: AbortSignal;
  /** Whether another request came after this one. */
  readonly isLast: boolean;
  /** Notes that the answer closes the connection: what came behind is abandoned, and nothing more begins. */
  closeAfter(): void;
  /** Notes that the answer was given. */
  end(): void;
}

/** The requests of one connection. */
export class CallerConnection {
  readonly #open: AbortController[] = [];
  #isClosing = false;
  #close: (() => void) | undefined;

  constructor(socket: Socket) {
    // A queued answer is not told of the end of its connection, so all are told here.
    socket.once("close", () => {
      this.#isClosing = true;
      this.#abandon(0);
    });
  }

  /** Whether an answer that closes the connection is due, so that later requests are not read. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /** Whether so many requests are under way that another one is refused. */
  get isFull(): boolean {
    return this.#open.length >= PIPELINED_MAX;
  }

  /** Begins the next request. */
  begin(): Exchange {
    const gone = new AbortController();
    const open = this.#open;
    open.push(gone);
    return {
      signal: gone.signal,
      get isLast() {
        return open.at(-1) === gone;
      },
      closeAfter: () => {
        this.#isClosing = true;
        this.#abandon(open.indexOf(gone) + 1);
      },
      end: () => {
        const place = open.indexOf(gone);
        if (place >= 0) {
          open.splice(place, 1);
        }
        this.#closeIfDone();
      },
    };
  }

  /** Begins nothing more, and closes the connection once all that is under way is answered. */
  closeWhenDone(close: () => void): void {
    this.#isClosing = true;
    this.#close = close;
    this.#closeIfDone();
  }

  #closeIfDone(): void {
    if (this.#open.length === 0) {
      this.#close?.();
      this.#close = undefined;
    }
  }

  #abandon(from: number): void {
    this.#open.splice(from).forEach((gone) => gone.abort());
  }
}
