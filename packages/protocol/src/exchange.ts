/**
 * One request and its response on a link, seen from the side that opened it and from the other.
 */
import type { Buffer } from "node:buffer";
import { BodyReceiver, BodySender, INITIAL_CREDIT_BYTES } from "./body.ts";
import { LinkError, LinkErrorKind } from "./errors.ts";
import { type Frame, FrameKind, type RequestHead, type ResponseHead } from "./frames.ts";

/** How an exchange reaches its link. */
export interface ExchangePort {
  stream: number;
  send: (frame: Frame) => void;
  /** Forgets the stream. */
  release: () => void;
}

/** A response that has begun to arrive. */
export interface IncomingResponse {
  head: ResponseHead;
  body: BodyReceiver;
}

/**
 * The opener's side: sends the request, waits for the response. A body that is sent in parts starts only
 * when the other side begins to read it, so that a refused request can go elsewhere with its body whole.
 */
export class OutgoingExchange {
  readonly #port: ExchangePort;
  readonly requestBody: BodySender;
  readonly #responseBody: BodyReceiver;
  readonly response: Promise<IncomingResponse>;
  #resolve!: (response: IncomingResponse) => void;
  #reject!: (error: LinkError) => void;
  #over = false;

  constructor(port: ExchangePort) {
    this.#port = port;
    const { stream, send } = port;
    this.requestBody = new BodySender((body, end) => {
      send({ kind: FrameKind.Body, stream, ofRequest: true, body, end });
    }, { creditBytes: 0 });
    this.#responseBody = new BodyReceiver((bytes) => {
      if (!this.#over) {
        send({ kind: FrameKind.Credit, stream, ofRequest: false, bytes });
      }
    }, { openingCreditBytes: 0 });
    this.response = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    this.response.catch(() => {});
  }

  /** Whether the body of the response is still on its way. */
  get isStreaming(): boolean {
    return !this.#over;
  }

  /** Takes the head of the response. */
  takeHead(head: ResponseHead, body: Buffer | undefined, end: boolean): void {
    this.#responseBody.push(body, end);
    this.#resolve({ head, body: this.#responseBody });
    this.#finishIf(end);
  }

  /** Takes a part of the response's body. */
  takeBody(body: Buffer, end: boolean): void {
    this.#responseBody.push(body, end);
    this.#finishIf(end);
  }

  #finishIf(end: boolean): void {
    if (end) {
      this.#over = true;
      this.requestBody.abort();
      this.#port.release();
    }
  }

  /** Ends the exchange because the link broke or the other side gave up. */
  fail(error: LinkError): void {
    this.#over = true;
    this.requestBody.abort();
    this.#reject(error);
    this.#responseBody.fail(error);
    this.#port.release();
  }

  /** Tells the other side that the answer is no longer wanted. */
  cancel(): void {
    if (this.#over) {
      return;
    }
    this.#port.send({
      kind: FrameKind.Cancel,
      stream: this.#port.stream,
      byOpener: true,
    });
    this.fail(new LinkError(LinkErrorKind.Broken, "The request was cancelled"));
  }
}

/** The other side: reads the request, sends the response. */
export class IncomingExchange {
  readonly #port: ExchangePort;
  readonly head: RequestHead;
  readonly requestBody: BodyReceiver;
  readonly responseBody: BodySender;
  readonly #abort = new AbortController();
  #over = false;

  constructor(port: ExchangePort, head: RequestHead) {
    this.#port = port;
    this.head = head;
    const { stream, send } = port;
    this.requestBody = new BodyReceiver((bytes) => {
      if (!this.#over) {
        send({ kind: FrameKind.Credit, stream, ofRequest: true, bytes });
      }
    }, { openingCreditBytes: INITIAL_CREDIT_BYTES });
    this.responseBody = new BodySender((body, end) => {
      this.#finishIf(end);
      send({ kind: FrameKind.Body, stream, ofRequest: false, body, end });
    }, { creditBytes: INITIAL_CREDIT_BYTES });
  }

  /** Aborts when the opener cancels or the link breaks. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Sends the head of the response, with the first part of its body. */
  respond(head: ResponseHead, body: Buffer | undefined, end: boolean): void {
    if (this.#over) {
      return;
    }
    this.responseBody.spend(body?.length ?? 0);
    this.#finishIf(end);
    const { stream, send } = this.#port;
    send({ kind: FrameKind.Response, stream, head, body, end });
  }

  #finishIf(end: boolean): void {
    if (end) {
      this.#over = true;
      this.#port.release();
    }
  }

  /** Ends the exchange because the link broke or the opener cancelled. */
  fail(error: LinkError): void {
    this.#over = true;
    this.requestBody.fail(error);
    this.responseBody.abort();
    this.#abort.abort();
    this.#port.release();
  }

  /** Breaks off a response whose rest cannot be had, so that nobody takes it for whole. */
  breakOff(): void {
    if (this.#over) {
      return;
    }
    this.#port.send({
      kind: FrameKind.Cancel,
      stream: this.#port.stream,
      byOpener: false,
    });
    this.fail(
      new LinkError(LinkErrorKind.Broken, "The response was broken off"),
    );
  }
}
