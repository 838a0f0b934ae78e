/**
 * One multiplexed link between two daemons, over one `ws` connection. Either side may call methods of the
 * other and open requests. All frames queued in one turn of the event loop are sent as one message.
 */
import type { Buffer } from "node:buffer";
import type { WebSocket } from "ws";
import { Result } from "true-myth";
import { type Address, createStop, sleep } from "@bulrushwood/types";
import { Codec } from "./codec.ts";
import { LinkError, LinkErrorKind } from "./errors.ts";
import { IncomingExchange, OutgoingExchange } from "./exchange.ts";
import {
  type BodyFrame,
  type Call,
  type CancelFrame,
  type CreditFrame,
  type Frame,
  FrameKind,
  type Hello,
  PROTOCOL_VERSION,
  type Reply,
  type RequestFrame,
  type RequestHead,
  type ResponseFrame,
} from "./frames.ts";

/** Time without a message, while one is expected, after which a link counts as broken, in milliseconds. */
const SILENCE_TIMEOUT_MS = 1_000;
/** Silence after which a peer is pinged, in milliseconds; most requests have their response earlier. */
const PING_AFTER_MS = 400;
/** Time without a message after which a link that carries nothing is checked before it is used, in milliseconds. */
const IDLE_MS = 1_000;
/** Timeout of that check, in milliseconds; longer than a round trip between data centres. */
const IDLE_CHECK_TIMEOUT_MS = 300;
/** Time between two calls of `checkSilence`, in milliseconds. */
export const SILENCE_CHECK_MS = 300;

/** Handlers for what the peer sends on a link. */
export interface LinkHandlers {
  /** Handles a call; a rejected promise becomes the call's error. */
  onCall: (method: string, payload: unknown, peer: Address) => Promise<unknown>;
  /** Handles a request that the peer forwarded. */
  onRequest: (exchange: IncomingExchange, peer: Address) => void;
  /** Called when the peer violated the protocol. */
  onMalformed: (error: LinkError, peer: Address) => void;
}

/** Options of `Link`. */
export interface LinkOptions {
  socket: WebSocket;
  /** Address of this daemon. */
  self: Address;
  /** Incarnation of this daemon. */
  incarnation: string;
  /** Address of the peer, where this daemon dialled it; otherwise the peer's hello has it. */
  peer?: Address;
  handlers: LinkHandlers;
}

interface PendingCall {
  settle: (result: Result<unknown, LinkError>) => void;
}

/** A link to one peer. */
export class Link {
  readonly #socket: WebSocket;
  readonly #handlers: LinkHandlers;
  readonly #self: Address;
  readonly #incarnation: string;
  readonly #codec = new Codec();
  readonly #calls = new Map<number, PendingCall>();
  readonly #outgoing = new Map<number, OutgoingExchange>();
  readonly #incoming = new Map<number, IncomingExchange>();
  #queue: Frame[] = [];
  #flushScheduled = false;
  #nextId = 1;
  #receivedAt = performance.now();
  /** Whether the peer's hello was received. */
  #hasReceivedHello = false;
  /** Since when a message of the peer has been expected; undefined while none is. */
  #waitingSince: number | undefined;
  #error: LinkError | undefined;
  /** The check of this link after it was idle; undefined while there is none. */
  #idleCheck: Promise<void> | undefined;
  /** Smallest difference so far between the arrival and sending times of a frame, on the two ends' clocks. */
  #minClockOffsetMs = Number.POSITIVE_INFINITY;
  #peer: Address;
  #peerIncarnation: string | undefined;
  #settleReady!: (result: Result<Link, LinkError>) => void;
  /** Resolves once the peer's hello was received or the link has failed. */
  readonly ready: Promise<Result<Link, LinkError>>;
  /** Resolves when the link is closed or broken. */
  readonly closed: Promise<void>;
  #settleClosed!: () => void;
  /** Bytes sent and received since the link was made. */
  bytesSent = 0;
  bytesReceived = 0;

  constructor(options: LinkOptions) {
    this.#socket = options.socket;
    this.#handlers = options.handlers;
    this.#peer = options.peer ?? "";
    this.ready = new Promise((resolve) => this.#settleReady = resolve);
    this.closed = new Promise((resolve) => this.#settleClosed = resolve);
    this.#socket.on("message", (data) => this.#receive(data as Buffer));
    this.#socket.on(
      "close",
      () => this.#fail(brokenLink("The link was closed")),
    );
    this.#socket.on("error", (error) => this.#fail(brokenLink(error.message)));
    this.#self = options.self;
    this.#incarnation = options.incarnation;
    this.synchronise();
  }

  /** Sends a hello, by which the peer learns how its clock differs from this process's clock now. */
  synchronise(): void {
    this.send({
      kind: FrameKind.Hello,
      version: PROTOCOL_VERSION,
      address: this.#self,
      incarnation: this.#incarnation,
      sentAt: performance.now(),
    });
  }

  /** Address of the peer; empty until its hello on a link that the peer dialled. */
  get peer(): Address {
    return this.#peer;
  }

  /** Incarnation of the peer; undefined until its hello, and for older daemons. */
  get peerIncarnation(): string | undefined {
    return this.#peerIncarnation;
  }

  /** Whether the link can still carry frames. */
  get isOpen(): boolean {
    return this.#error === undefined;
  }

  /** Whether frames have not been handed to the operating system yet. */
  get hasUnsent(): boolean {
    return this.isOpen && (this.#queue.length > 0 || this.#socket.bufferedAmount > 0);
  }

  /** Queues a frame, which is sent at the end of this turn of the event loop. */
  send(frame: Frame): void {
    if (this.#error !== undefined) {
      return;
    }
    this.#queue.push(frame);
    if (!this.#flushScheduled) {
      this.#flushScheduled = true;
      setImmediate(() => this.#flush());
    }
  }

  #flush(): void {
    this.#flushScheduled = false;
    if (this.#error !== undefined || this.#queue.length === 0) {
      return;
    }
    const message = this.#codec.encode(this.#queue);
    this.#queue = [];
    this.bytesSent += message.length;
    this.#socket.send(message, { binary: true, compress: false });
  }

  /** Calls a method of the peer; fails when no reply comes within the timeout. */
  call(
    method: string,
    payload: unknown,
    options: { timeoutMs: number },
  ): Promise<Result<unknown, LinkError>> {
    if (this.#error !== undefined) {
      const message = `The link to ${this.#peer} is closed`;
      return Promise.resolve(
        Result.err(new LinkError(LinkErrorKind.Unreachable, message)),
      );
    }
    const call = this.#nextId++;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        settle(
          Result.err(
            brokenLink(
              `The peer ${this.#peer} did not answer ${method} in time`,
            ),
          ),
        );
      }, options.timeoutMs);
      const settle = (result: Result<unknown, LinkError>) => {
        clearTimeout(timer);
        this.#calls.delete(call);
        resolve(result);
      };
      this.#calls.set(call, { settle });
      this.send({ kind: FrameKind.Call, call, method, payload });
    });
  }

  /** Opens a request; with `end`, `body` is its complete body. */
  open(
    head: RequestHead,
    options: { body?: Buffer; end: boolean },
  ): OutgoingExchange {
    const stream = this.#nextId++;
    const exchange = new OutgoingExchange({
      stream,
      send: (frame) => this.send(frame),
      release: () => this.#outgoing.delete(stream),
    });
    if (this.#error !== undefined) {
      exchange.fail(
        new LinkError(
          LinkErrorKind.Unreachable,
          `The link to ${this.#peer} is closed`,
        ),
      );
      return exchange;
    }
    this.#outgoing.set(stream, exchange);
    this.send({
      kind: FrameKind.Request,
      stream,
      head,
      body: options.body,
      end: options.end,
      sentAt: performance.now(),
    });
    return exchange;
  }

  #receive(data: Buffer): void {
    this.#receivedAt = performance.now();
    this.bytesReceived += data.length;
    const decoded = this.#codec.decode(data);
    if (decoded.isErr) {
      this.#handlers.onMalformed(decoded.error, this.#peer);
      this.#fail(decoded.error);
      return;
    }
    for (const frame of decoded.value) {
      this.#handleFrame(frame);
    }
  }

  #handleFrame(frame: Frame): void {
    if (this.#peer === "" && frame.kind !== FrameKind.Hello) {
      this.#fail(
        new LinkError(
          LinkErrorKind.Malformed,
          "The peer did not say hello first",
        ),
      );
      return;
    }
    switch (frame.kind) {
      case FrameKind.Hello:
        return this.#handleHello(frame);
      case FrameKind.Ping:
        if (frame.wantsReply) {
          this.send({ kind: FrameKind.Ping, wantsReply: false });
        }
        return;
      case FrameKind.Call:
        return this.#handleCall(frame);
      case FrameKind.Reply:
        return this.#handleReply(frame);
      case FrameKind.Request:
        return this.#handleRequest(frame);
      case FrameKind.Response:
        return this.#handleResponse(frame);
      case FrameKind.Body:
        return this.#handleBody(frame);
      case FrameKind.Credit:
        return this.#handleCredit(frame);
      case FrameKind.Cancel:
        return this.#handleCancel(frame);
    }
  }

  #handleHello({ version, address, incarnation, sentAt }: Hello): void {
    const isOtherPeer = this.#peer !== "" && this.#peer !== address;
    if (version !== PROTOCOL_VERSION || isOtherPeer) {
      const message = `The peer at ${this.#peer} says it is ${address} with protocol ${version}`;
      this.#fail(new LinkError(LinkErrorKind.Malformed, message));
      return;
    }
    this.#peer = address;
    this.#peerIncarnation = incarnation ?? undefined;
    this.#hasReceivedHello = true;
    if (typeof sentAt === "number") {
      // A later hello follows a suspension of the peer, during which its clock stood still.
      this.#minClockOffsetMs = Number.POSITIVE_INFINITY;
      this.#transitMs(sentAt);
    }
    this.#settleReady(Result.ok(this));
  }

  #handleCall(frame: Call): void {
    const { call, method, payload } = frame;
    this.#handlers.onCall(method, payload, this.#peer).then(
      (result) => this.send({ kind: FrameKind.Reply, call, payload: result }),
      (error) => {
        this.send({
          kind: FrameKind.Reply,
          call,
          payload: null,
          error: (error as Error).message,
        });
      },
    );
  }

  #handleReply(frame: Reply): void {
    const settle = this.#calls.get(frame.call)?.settle;
    if (typeof frame.error === "string") {
      settle?.(Result.err(new LinkError(LinkErrorKind.Rejected, frame.error)));
      return;
    }
    settle?.(Result.ok(frame.payload));
  }

  #handleRequest(frame: RequestFrame): void {
    const { stream } = frame;
    const transitMs = this.#transitMs(frame.sentAt);
    const exchange = new IncomingExchange({
      stream,
      send: (reply) => this.send(reply),
      release: () => this.#incoming.delete(stream),
    }, { head: deductDelay(frame.head, transitMs), transitMs });
    exchange.requestBody.push(frame.body, frame.end);
    this.#incoming.set(stream, exchange);
    this.#handlers.onRequest(exchange, this.#peer);
  }

  /**
   * Delay of a frame in transit, in milliseconds. The clocks of the two ends differ by a constant, which is
   * estimated from the fastest hello or request so far.
   */
  #transitMs(sentAt: number): number {
    const offsetMs = performance.now() - sentAt;
    this.#minClockOffsetMs = Math.min(this.#minClockOffsetMs, offsetMs);
    return offsetMs - this.#minClockOffsetMs;
  }

  #handleResponse(frame: ResponseFrame): void {
    const head = frame.head;
    this.#outgoing.get(frame.stream)?.takeHead(head, frame.body, frame.end);
  }

  #handleBody(frame: BodyFrame): void {
    if (frame.ofRequest) {
      this.#incoming.get(frame.stream)?.requestBody.push(frame.body, frame.end);
    } else {
      this.#outgoing.get(frame.stream)?.takeBody(frame.body, frame.end);
    }
  }

  #handleCredit(frame: CreditFrame): void {
    if (frame.ofRequest) {
      this.#outgoing.get(frame.stream)?.requestBody.addCredit(frame.bytes);
    } else {
      this.#incoming.get(frame.stream)?.responseBody.addCredit(frame.bytes);
    }
  }

  #handleCancel(frame: CancelFrame): void {
    const message = "The peer broke the request off";
    const error = new LinkError(LinkErrorKind.Broken, message);
    if (frame.byOpener) {
      this.#incoming.get(frame.stream)?.fail(error);
    } else {
      this.#outgoing.get(frame.stream)?.fail(error);
    }
  }

  /**
   * Checks for silence and pings only while a message of the peer is expected, so idle links send nothing. The
   * owner of the link calls this every `SILENCE_CHECK_MS`.
   */
  checkSilence(): void {
    const isWaiting = this.#calls.size > 0 || this.#outgoing.size > 0 || !this.#hasReceivedHello;
    if (!isWaiting) {
      this.#waitingSince = undefined;
      return;
    }
    const now = performance.now();
    this.#waitingSince ??= now;
    const silentMs = now - Math.max(this.#receivedAt, this.#waitingSince);
    if (silentMs > SILENCE_TIMEOUT_MS) {
      this.#fail(brokenLink(`The peer ${this.#peer} was silent for too long`));
      return;
    }
    if (silentMs >= PING_AFTER_MS) {
      this.send({ kind: FrameKind.Ping, wantsReply: true });
    }
  }

  /** Whether nothing has shown for a while that the link still works. */
  get isIdle(): boolean {
    const open = this.#calls.size + this.#outgoing.size + this.#incoming.size;
    return open === 0 && performance.now() - this.#receivedAt >= IDLE_MS;
  }

  /** Resolves when the peer has replied to a ping, or else after the link has failed. */
  checkIdle(): Promise<void> {
    this.#idleCheck ??= this.#awaitPing().finally(() => this.#idleCheck = undefined);
    return this.#idleCheck;
  }

  async #awaitPing(): Promise<void> {
    const receivedAt = this.#receivedAt;
    this.send({ kind: FrameKind.Ping, wantsReply: true });
    const replied = new Promise<void>((resolve) => this.#socket.once("message", () => resolve()));
    const timeout = createStop();
    await Promise.race([replied, this.closed, sleep(IDLE_CHECK_TIMEOUT_MS, timeout.signal)]);
    timeout.abort();
    // A reply that arrived while this process was busy is read after its timers have run.
    await new Promise((resolve) => setImmediate(resolve));
    if (this.#receivedAt === receivedAt) {
      this.#fail(brokenLink(`The peer ${this.#peer} was silent after an idle time`));
    }
  }

  #fail(error: LinkError): void {
    if (this.#error !== undefined) {
      return;
    }
    this.#error = error;
    this.#socket.terminate();
    for (const call of [...this.#calls.values()]) {
      call.settle(Result.err(error));
    }
    for (
      const exchange of [...this.#outgoing.values(), ...this.#incoming.values()]
    ) {
      exchange.fail(error);
    }
    this.#settleReady(Result.err(error));
    this.#settleClosed();
  }

  /** Sends queued frames and closes the link; open calls and requests fail. */
  close(): void {
    this.#flush();
    this.#fail(brokenLink("The link was closed by this side"));
  }
}

/** Deducts a delay of a request from the time left for it. */
export function deductDelay(head: RequestHead, delayMs: number): RequestHead {
  return {
    ...head,
    remainingMs: head.remainingMs - delayMs,
    targetMs: head.targetMs === undefined ? undefined : head.targetMs - delayMs,
  };
}

function brokenLink(message: string): LinkError {
  return new LinkError(LinkErrorKind.Broken, message);
}
