/**
 * A connection on which a caller sends several requests at once.
 */
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import type { Endpoint } from "@bulrushwood/deployment";
import { now } from "@bulrushwood/types";
import { HOST_NAME } from "./manifests.ts";
import type { Outside } from "./outside.ts";
import { Ending, type Requests, type SentRequest } from "./requests.ts";

const HEAD_END = "\r\n\r\n";

/** Options of a connection for pipelined requests. */
export interface PipelineOptions {
  endpoint: Endpoint;
  outside: Outside;
  requests: Requests;
}

/** Connection with requests that wait for their responses in order. */
export class Pipeline {
  readonly #options: PipelineOptions;
  readonly #socket: Socket;
  #received = "";
  #waiting: { request: SentRequest; resolve: () => void }[] = [];
  #isClosed = false;
  /** Whether a response has announced that it is the last one. */
  #isClosing = false;

  constructor(options: PipelineOptions) {
    this.#options = options;
    let reason = "closed";
    let isConnected = false;
    this.#socket = connect(options.endpoint, () => isConnected = true);
    this.#socket.setEncoding("latin1");
    this.#socket.on("data", (data) => {
      this.#received += data;
      while (this.#readResponse()) {
        // Reads all responses that are whole.
      }
    });
    this.#socket.on("error", (error) => reason = error.message);
    this.#socket.on("close", () => {
      this.#isClosed = true;
      const ending = this.#isClosing ? Ending.Unread : isConnected ? Ending.Closed : Ending.Refused;
      this.#waiting.splice(0).forEach((each) => this.#end(each, ending, { detail: reason }));
    });
  }

  /** Whether no more requests may be sent on it. */
  get isOver(): boolean {
    return this.#isClosed || this.#isClosing;
  }

  #end(
    { request, resolve }: { request: SentRequest; resolve: () => void },
    ending: Ending,
    result: Partial<SentRequest>,
  ): void {
    this.#options.requests.end(request, ending, result);
    resolve();
  }

  /** Takes one whole response from what was received; returns whether there was one. */
  #readResponse(): boolean {
    const headEnd = this.#received.indexOf(HEAD_END);
    if (headEnd < 0) {
      return false;
    }
    const [statusLine, ...lines] = this.#received.slice(0, headEnd).split("\r\n");
    const headers = Object.fromEntries(lines.map((line) => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const start = headEnd + HEAD_END.length;
    const end = start + Number(headers["content-length"] ?? 0);
    if (this.#received.length < end) {
      return false;
    }
    const body = this.#received.slice(start, end);
    this.#received = this.#received.slice(end);
    const status = Number(statusLine.split(" ")[1]);
    if (status < 200) {
      return true;
    }
    this.#isClosing ||= headers.connection?.toLowerCase() === "close";
    const first = this.#waiting.shift();
    if (first !== undefined) {
      const { id: answerId, hasOriginMarker } = this.#options.outside.readAnswer(headers);
      this.#end(first, Ending.Answered, { status, answerId, hasOriginMarker, body });
    }
    return true;
  }

  /** Sends requests at once, and resolves when all have ended. */
  async send(requests: SentRequest[], timeoutMs: number): Promise<void> {
    const ended = requests.map((request) =>
      new Promise<void>((resolve) => this.#waiting.push({ request, resolve }))
    );
    const heads = requests.map((request) => this.#encode(request)).join("");
    this.#socket.write(Buffer.from(heads, "latin1"), () => {
      requests.forEach((request) => request.wholeAt = now());
    });
    const timer = setTimeout(() => {
      this.#waiting.splice(0).forEach((each) => this.#end(each, Ending.GivenUp, {}));
      this.close();
    }, timeoutMs);
    await Promise.all(ended);
    clearTimeout(timer);
  }

  #encode(request: SentRequest): string {
    const headers = { host: HOST_NAME, ...this.#options.outside.callerHeaders(request) };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    return `GET ${request.path} HTTP/1.1\r\n${lines.join("")}\r\n`;
  }

  close(): void {
    this.#isClosed = true;
    this.#socket.destroy();
  }
}
