/**
 * One connection of a caller, with pipelined requests: callers may send further requests before the first
 * response. Responses are sent in the order of the requests; a request after a response that closes the
 * connection gets none and is aborted.
 */
import type { Socket } from "node:net";
import type { Clock } from "@bulrushwood/types";

/** Largest number of requests in flight on one connection; further requests are rejected. */
export const PIPELINED_MAX = 32;

/** One request on a connection, until its response is sent. */
export interface Exchange {
  /** Aborts when the response cannot be delivered any more. */
  signal: AbortSignal;
  /** Whether no other request has come after this one. */
  readonly isLast: boolean;
  /** Records that the response closes the connection: aborts all later requests and accepts no new ones. */
  closeAfterResponse(): void;
  /** Records that the response was sent. */
  end(): void;
}

export interface CallerConnectionOptions {
  now: Clock;
  /** Called at the first request with the time since the connection was accepted, in milliseconds. */
  onFirstRequest: (ms: number) => void;
  /** Called when the connection closes before a request was read. */
  onUnread: () => void;
}

/** Tracks the requests in flight on one connection. */
export class CallerConnection {
  readonly #options: CallerConnectionOptions;
  readonly #socket: Socket;
  readonly #acceptedAt: number;
  #requests = 0;
  readonly #inFlight: AbortController[] = [];
  #isClosing = false;
  #close: (() => void) | undefined;

  constructor(socket: Socket, options: CallerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#acceptedAt = options.now();
    // Node.js emits no event on a queued response when its connection closes, so all requests are aborted here. It
    // sends no responses after a caller's end of the connection either, and emits "close" some time later.
    const abort = () => {
      this.#isClosing = true;
      this.#abortFrom(0);
    };
    socket.once("end", abort);
    socket.once("close", () => {
      abort();
      if (this.#requests === 0) {
        options.onUnread();
      }
    });
  }

  /** Whether the connection is about to close, so that no further requests are accepted. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /** Number of requests that were read. */
  get requests(): number {
    return this.#requests;
  }

  /** Whether all requests that were read have their responses. */
  get isIdle(): boolean {
    return this.#inFlight.length === 0;
  }

  /** Whether the limit of requests in flight is reached. */
  get isFull(): boolean {
    return this.#inFlight.length >= PIPELINED_MAX;
  }

  /** Adds the next request. */
  begin(): Exchange {
    this.#requests++;
    if (this.#requests === 1) {
      this.#socket.setTimeout(0);
      this.#options.onFirstRequest(this.#options.now() - this.#acceptedAt);
    }
    const aborter = new AbortController();
    const inFlight = this.#inFlight;
    inFlight.push(aborter);
    return {
      signal: aborter.signal,
      get isLast() {
        return inFlight.at(-1) === aborter;
      },
      closeAfterResponse: () => {
        this.#isClosing = true;
        this.#abortFrom(inFlight.indexOf(aborter) + 1);
      },
      end: () => {
        const index = inFlight.indexOf(aborter);
        if (index >= 0) {
          inFlight.splice(index, 1);
        }
        this.#closeIfDone();
      },
    };
  }

  /** Accepts no new requests, and calls `close` when all requests in flight have their responses. */
  closeWhenDone(close: () => void): void {
    this.#isClosing = true;
    this.#close = close;
    this.#closeIfDone();
  }

  #closeIfDone(): void {
    if (this.#inFlight.length === 0) {
      this.#close?.();
      this.#close = undefined;
    }
  }

  #abortFrom(from: number): void {
    this.#inFlight.splice(from).forEach((aborter) => aborter.abort());
  }
}
