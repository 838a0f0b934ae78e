/**
 * One request and its response on a link, for the side that opened it and for the side that serves it.
 */
import type { Buffer } from "node:buffer";
import { BodyReceiver, BodySender, INITIAL_CREDIT_BYTES, REQUEST_CREDIT_BYTES } from "./body.ts";
import { LinkError, LinkErrorKind } from "./errors.ts";
import { type Frame, FrameKind, type RequestHead, type ResponseHead } from "./frames.ts";

/** Connection of an exchange to its link. */
export interface ExchangePort {
  stream: number;
  send: (frame: Frame) => void;
  /** Removes the stream from the link. */
  release: () => void;
}

/** A response whose head has arrived. */
export interface IncomingResponse {
  head: ResponseHead;
  body: BodyReceiver;
}

/**
 * The opener's side: sends the request and receives the response. A streamed request body is sent only once
 * the other side begins to read it, so that a rejected request can be sent to another daemon with its whole
 * body.
 */
export class OutgoingExchange {
  readonly #port: ExchangePort;
  readonly requestBody: BodySender;
  readonly #responseBody: BodyReceiver;
  readonly response: Promise<IncomingResponse>;
  #resolve!: (response: IncomingResponse) => void;
  #reject!: (error: LinkError) => void;
  #isOver = false;

  constructor(port: ExchangePort) {
    this.#port = port;
    const { stream, send } = port;
    this.requestBody = new BodySender((body, end) => {
      send({ kind: FrameKind.Body, stream, ofRequest: true, body, end });
    }, { creditBytes: 0 });
    this.#responseBody = new BodyReceiver((bytes) => {
      if (!this.#isOver) {
        send({ kind: FrameKind.Credit, stream, ofRequest: false, bytes });
      }
    }, { openingCreditBytes: 0 });
    this.response = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    this.response.catch(() => {});
  }

  /** Whether the response is not yet complete. */
  get isStreaming(): boolean {
    return !this.#isOver;
  }

  /** Receives the head of the response, with the first part of its body. */
  takeHead(head: ResponseHead, body: Buffer | undefined, end: boolean): void {
    this.#responseBody.push(body, end);
    this.#resolve({ head, body: this.#responseBody });
    this.#finishIf(end);
  }

  /** Receives a part of the response's body. */
  takeBody(body: Buffer, end: boolean): void {
    this.#responseBody.push(body, end);
    this.#finishIf(end);
  }

  #finishIf(end: boolean): void {
    if (end) {
      this.#isOver = true;
      this.requestBody.abort();
      this.#port.release();
    }
  }

  /** Ends the exchange because the link broke or the other side aborted it. */
  fail(error: LinkError): void {
    this.#isOver = true;
    this.requestBody.abort();
    this.#reject(error);
    this.#responseBody.fail(error);
    this.#port.release();
  }

  /** Cancels the request; the other side is notified that the response is no longer needed. */
  cancel(): void {
    if (this.#isOver) {
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

/** A request as it arrived. */
export interface IncomingRequest {
  head: RequestHead;
  /** Delay of the request in transit, beyond that of the fastest request on the link, in milliseconds. */
  transitMs: number;
}

/** The serving side: receives the request and sends the response. */
export class IncomingExchange {
  readonly #port: ExchangePort;
  readonly head: RequestHead;
  /** Delay of the request in transit, beyond that of the fastest request on the link, in milliseconds. */
  readonly transitMs: number;
  readonly requestBody: BodyReceiver;
  readonly responseBody: BodySender;
  readonly #abort = new AbortController();
  #isOver = false;

  constructor(port: ExchangePort, request: IncomingRequest) {
    this.#port = port;
    this.head = request.head;
    this.transitMs = request.transitMs;
    const { stream, send } = port;
    this.requestBody = new BodyReceiver((bytes) => {
      if (!this.#isOver) {
        send({ kind: FrameKind.Credit, stream, ofRequest: true, bytes });
      }
    }, { openingCreditBytes: REQUEST_CREDIT_BYTES });
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
    if (this.#isOver) {
      return;
    }
    this.responseBody.spend(body?.length ?? 0);
    this.#finishIf(end);
    const { stream, send } = this.#port;
    send({ kind: FrameKind.Response, stream, head, body, end });
  }

  #finishIf(end: boolean): void {
    if (end) {
      this.#isOver = true;
      this.#port.release();
    }
  }

  /** Ends the exchange because the link broke or the opener cancelled. */
  fail(error: LinkError): void {
    this.#isOver = true;
    this.requestBody.fail(error);
    this.responseBody.abort();
    this.#abort.abort();
    this.#port.release();
  }

  /** Aborts a response that cannot be completed, so that the other side does not take it for complete. */
  abort(): void {
    if (this.#isOver) {
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
