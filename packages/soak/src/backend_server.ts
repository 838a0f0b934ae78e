/**
 * Stand-in for a backend server: it runs requests in slots, responds in several ways, takes grants of keys, and
 * reports its status to the daemon on its machine.
 */
import {
  createServer,
  type IncomingMessage,
  request as sendRequest,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { ServerState } from "@bulrushwood/deployment";
import { closeServer, listenOn, readBody } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { HeldKeys, type Ownership } from "./held_keys.ts";
import type { History } from "./history.ts";
import { type Machine, REPORT_EVERY_MS } from "./machine.ts";
import { ServiceName } from "./manifests.ts";
import type { Outside, ReportCall } from "./outside.ts";
import { type Requests, type Run, RunEnding } from "./requests.ts";
import { ResponseShape, sendShape } from "./response_shape.ts";

const SLOTS = 100;
/** Work of the servers of each service in turn, in milliseconds. */
const WORK_MS = [20, 100, 400];
const ACK_TIMEOUT_MS = 1_000;
/** Time before a report without an acknowledgement is sent again, in milliseconds. */
const RETRY_MS = 250;
const POLL_MS = 20;
const MISDIRECTED = 421;
const CONFLICT = 409;

/** Options of a backend server. */
export interface BackendServerOptions {
  machine: Machine;
  index: number;
  /** Number of servers that ran on the machine before. */
  generation: number;
  outside: Outside;
  requests: Requests;
  ownership: Ownership;
  history: History;
}

/** One run of a backend server. */
export class BackendServer {
  readonly #options: BackendServerOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #bornMs = Date.now();
  readonly #keys: HeldKeys;
  readonly #isKeyed: boolean;
  readonly id: string;
  #state = ServerState.Ready;
  #sequence = 0;
  #running = 0;
  #isOver = false;
  #hasSaidFarewell = false;
  /** Called once after the next response to an order. */
  #orderCallback: (() => void) | undefined;
  #reportCallback: (() => void) | undefined;

  private constructor(options: BackendServerOptions) {
    this.#options = options;
    this.id = `i-${options.index}-${options.generation}`;
    this.#keys = new HeldKeys(this.id);
    this.#isKeyed = options.machine.settings.service === ServiceName.Bookings;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  /** Starts to listen and to report. */
  static async start(options: BackendServerOptions): Promise<BackendServer> {
    const server = new BackendServer(options);
    await listenOn(server.#server, options.machine.server);
    options.ownership.add(server.#keys);
    server.#reportUntilOver();
    return server;
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { outside } = this.#options;
    const { method = "", url = "" } = request;
    if (url === "/healthz") {
      const headers = outside.responseHeaders({ serverId: this.id });
      response.writeHead(200, { ...headers, "content-length": 0 }).end();
      return;
    }
    const received = outside.readRequest(request.headers);
    if (received.id === undefined) {
      const order = outside.readOrder(method, url, await readBody(request));
      return order === undefined
        ? this.#reject(response, 400)
        : await this.#follow(order, response);
    }
    const { id, serverId, key } = received;
    const isMisdirected = serverId !== undefined && serverId !== this.id;
    if (isMisdirected || (this.#isKeyed && (key === undefined || !this.#keys.has(key)))) {
      request.resume();
      return this.#reject(response, MISDIRECTED, id);
    }
    if (this.#running >= SLOTS) {
      request.resume();
      return this.#reject(response, 503, id);
    }
    await this.#run(id, { key, request, response });
  }

  #reject(response: ServerResponse, status: number, id?: string): void {
    const headers = this.#options.outside.responseHeaders({ id, isNotRun: true });
    response.writeHead(status, { ...headers, "content-length": 0 }).end();
  }

  async #run(
    id: string,
    options: { key: number | undefined; request: IncomingMessage; response: ServerResponse },
  ): Promise<void> {
    const { key, request, response } = options;
    const { machine, index, requests, ownership, outside } = this.#options;
    const { service } = machine.settings;
    this.#running++;
    const run = requests.startRun({ id, machine: machine.name, server: this.id, service });
    response.once("finish", () => requests.endRun(run, RunEnding.Answered));
    response.once("close", () => requests.endRun(run, this.#endingOnClose()));
    if (this.#isKeyed) {
      ownership.recordRun(this.#keys, key!);
    }
    const endKey = this.#isKeyed ? this.#keys.begin(key!) : () => {};
    // Work ends with the grant under which it began, whether that is renewed or not.
    const grantedUntil = this.#isKeyed ? this.#keys.grantedUntil(key!) : Infinity;
    const workMs = WORK_MS[Math.floor(index / WORK_MS.length) % WORK_MS.length];
    try {
      await readBody(request);
      await sleep(Math.min(workMs, grantedUntil - now()));
      if (now() >= grantedUntil) {
        this.#fail(response, id);
        return;
      }
      const load = { running: this.#running, waiting: 0, slots: SLOTS };
      const headers = outside.responseHeaders({ id, originMarker: `${this.id}.${id}`, load });
      await sendShape(response, { shape: shapeOf(request.url), headers, body: bodyOf(run) });
    } finally {
      this.#running--;
      endKey();
    }
  }

  /** Responds that a request has run and failed. */
  #fail(response: ServerResponse, id: string): void {
    const headers = this.#options.outside.responseHeaders({
      id,
      originMarker: `${this.id}.${id}`,
    });
    response.writeHead(500, { ...headers, "content-length": 0 }).end();
  }

  #endingOnClose(): RunEnding {
    return this.#isOver ? RunEnding.Crashed : RunEnding.Cut;
  }

  async #follow(
    received: NonNullable<ReturnType<Outside["readOrder"]>>,
    response: ServerResponse,
  ): Promise<void> {
    const { outside, ownership } = this.#options;
    if (received.kind === "release") {
      await this.#keys.release(received.order);
      const headers = outside.responseHeaders({ handover: `handover-${this.id}` });
      response.writeHead(200, { ...headers, "content-length": 0 }).end();
      this.#finishOrder();
      return;
    }
    const isTaken = this.#keys.grant(received.order);
    if (isTaken) {
      ownership.recordGrant(this.#keys, received.order);
    }
    response.writeHead(isTaken ? 200 : CONFLICT, { "content-length": 0 }).end();
    this.#finishOrder();
  }

  #finishOrder(): void {
    const callback = this.#orderCallback;
    this.#orderCallback = undefined;
    callback?.();
  }

  /** Calls back right after the next order to grant or release keys is answered. */
  onNextOrder(callback: () => void): void {
    this.#orderCallback = callback;
  }

  /** Calls back right after the next acknowledgement of a report. */
  onNextAck(callback: () => void): void {
    this.#reportCallback = callback;
  }

  async #reportUntilOver(): Promise<void> {
    while (!this.#isOver && !this.#hasSaidFarewell) {
      const sentAt = now();
      const isAcked = await this.#report();
      await sleep(isAcked ? Math.max(0, REPORT_EVERY_MS - (now() - sentAt)) : RETRY_MS);
    }
  }

  /** Sends a status report; resolves to whether it was acknowledged. */
  async #report(): Promise<boolean> {
    const state = this.#state;
    const isAcked = await this.#call(this.#createReport());
    if (isAcked && state !== ServerState.Ready) {
      this.#recordLeaveAck();
    }
    if (isAcked) {
      this.#reportCallback?.();
      this.#reportCallback = undefined;
    }
    return isAcked;
  }

  #createReport(): ReportCall {
    const { machine, outside } = this.#options;
    const { service, dataCentre, serverAddress } = machine.settings;
    return outside.report({
      id: this.id,
      bornMs: this.#bornMs,
      address: serverAddress,
      service,
      dataCentre,
      slots: SLOTS,
      state: this.#state,
      sequence: ++this.#sequence,
      coldMs: 0,
      held: [],
      released: [],
    });
  }

  #recordLeaveAck(): void {
    const { history } = this.#options;
    if (!history.leaveAcks.has(this.id)) {
      history.leaveAcks.set(this.id, now());
      history.add(`leave of ${this.id} is acknowledged`, this.#options.machine.name);
    }
  }

  /** Creates a report now that arrives `lateMs` later, whatever has been sent since. */
  async reportLate(lateMs: number): Promise<void> {
    const call = this.#createReport();
    await sleep(lateMs);
    await this.#call(call);
  }

  /** Says farewell until it is acknowledged, without having drained, and serves on. */
  async sayFarewell(): Promise<void> {
    this.#hasSaidFarewell = true;
    while (!this.#isOver) {
      if (await this.#call(this.#options.outside.farewell(this.id))) {
        this.#recordLeaveAck();
        return;
      }
      await sleep(RETRY_MS);
    }
  }

  /** Reports that it drains, until that is acknowledged, and serves on. */
  async drain(): Promise<void> {
    this.#state = ServerState.Draining;
    while (!this.#isOver && !await this.#report()) {
      await sleep(RETRY_MS);
    }
  }

  #call({ body, ...call }: ReportCall): Promise<boolean> {
    return new Promise((resolve) => {
      const { reports } = this.#options.machine.settings.listen;
      const outgoing = sendRequest({ ...reports, ...call, agent: false, timeout: ACK_TIMEOUT_MS });
      outgoing.on("response", (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      outgoing.on("timeout", () => outgoing.destroy());
      outgoing.on("error", () => resolve(false));
      outgoing.on("close", () => resolve(false));
      outgoing.end(body);
    });
  }

  /** Leaves as planned: reports it, serves on for `serveMs`, says farewell, and ends when its work has ended. */
  async leave(serveMs: number): Promise<void> {
    this.#state = ServerState.Draining;
    await this.#report();
    await sleep(serveMs);
    const isEnded = this.#isOver;
    if (!isEnded) {
      await this.#call(this.#options.outside.farewell(this.id));
    }
    while (this.#running > 0 && !this.#isOver) {
      await sleep(POLL_MS);
    }
    await this.close();
  }

  /** Ends at once, and resets all connections: a response that ends with its connection must not look whole. */
  async close(): Promise<void> {
    this.#isOver = true;
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#options.ownership.remove(this.#keys);
    await closeServer(this.#server);
  }
}

function shapeOf(path = ""): ResponseShape {
  const last = path.split("/").at(-1);
  return Object.values(ResponseShape).find((shape) => shape === last) ?? ResponseShape.Sized;
}

/** End of each body, by which callers see that it is whole. */
const BODY_END = "end";
const BODY_BYTES = 5_000;

/** Returns the body of the response to a run: the request's id, the service and the server, padded. */
function bodyOf({ id, service, server }: Run): string {
  return `${id} ${service} ${server} `.padEnd(BODY_BYTES - BODY_END.length, ".") + BODY_END;
}

/** Decodes a body; returns undefined if it is not a whole body of a run. */
export function readRunBody(
  body: string,
): { id: string; service: string; server: string } | undefined {
  const [id, service, server] = body.split(" ");
  return body.length === BODY_BYTES && body.endsWith(BODY_END)
    ? { id, service, server }
    : undefined;
}
