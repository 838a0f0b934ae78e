/**
 * Stand-in for an upstream, as PROTOCOL.md describes a sound one: it runs requests in slots, rejects what is not meant
 * for it, takes grants if its service has keys, and reports its status to the daemon on its machine.
 */
import { createServer, request as sendRequest } from "node:http";
import { HeldKeys } from "./keys.mjs";
import { listenOn, now, readAll, sleep } from "./tools.mjs";

const ACK_TIMEOUT_MS = 1_000;
/** Pause before a report without an ack is sent again, in milliseconds. */
const RETRY_MS = 250;
const NOT_RUN = { "x-bulrushwood-not-executed": "1" };

/** One life of an upstream. */
export class Upstream {
  #options;
  #server;
  #sequence = 0;
  #isOver = false;
  #running = 0;
  #seal = 0;
  #state = "ready";
  /** Keys that this life holds. */
  keys = new HeldKeys();
  bornMs = Date.now();
  /** Whether an ack has arrived for a report. */
  isAcked = false;

  /**
   * Options: `id`, `service`, `zone`, `host`, `port`, `control` (address of the daemon), `heartbeatMs`, `slots`,
   * `workMs`, `record`, `onRun`, called with each request that it runs, `isKeyed`, `onGrant`, called with each grant
   * that it takes, `reportDelayMs`, the time for which reports are held up on their way, `garble`, which returns the
   * bytes that are sent in place of the next answer, or undefined, and `mustRepeat`, which returns whether a second copy
   * of an answer to an order follows late, where the next answer on its connection is expected.
   */
  constructor(options) {
    this.#options = { slots: 12, workMs: 40, heartbeatMs: 870, reportDelayMs: 0, ...options };
    this.#options.onRun ??= () => {};
    this.#options.onGrant ??= () => {};
    this.#options.garble ??= () => undefined;
    this.#options.mustRepeat ??= () => false;
  }

  async start() {
    const { host, port } = this.#options;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 10_000;
    await listenOn(this.#server, host, port);
    this.#report();
  }

  get id() {
    return this.#options.id;
  }

  async #handle(request, response) {
    const { id, service, slots, workMs, record, onRun, garble } = this.#options;
    const { headers } = request;
    const echo = headers["x-bulrushwood-request-id"];
    if (request.url === "/healthz") {
      response.writeHead(200, { "x-bulrushwood-instance-id": id, "content-length": 0 }).end();
      return;
    }
    const isForOther = headers["x-bulrushwood-expect-instance"] !== undefined &&
      headers["x-bulrushwood-expect-instance"] !== id;
    if (request.method === "POST" && (request.url === "/grant" || request.url === "/release")) {
      await this.#handleOrder(request, response);
      return;
    }
    const key = Number(headers["x-bulrushwood-shard-key"] ?? -1);
    const lacksKey = this.#options.isKeyed && !this.keys.has(key);
    if (echo === undefined || isForOther || lacksKey || this.#running >= slots) {
      request.resume();
      const status = echo === undefined ? 400 : isForOther || lacksKey ? 421 : 503;
      const ids = echo === undefined ? {} : { "x-bulrushwood-request-id": echo };
      response.writeHead(status, { ...NOT_RUN, ...ids, "content-length": 0 }).end();
      return;
    }
    this.#running++;
    const end = this.#options.isKeyed ? this.keys.begin(key) : () => {};
    try {
      record("run", { request: echo, method: request.method, path: request.url, at: id, service });
      onRun({ id: echo, path: request.url, upstream: id, service });
      const body = await readAll(request);
      await sleep(workMs);
      const bytes = garble();
      if (bytes !== undefined) {
        record("garbled answer", { request: echo, at: id, bytes: JSON.stringify(bytes) });
        response.socket.end(bytes);
        return;
      }
      const answer = `${id} ${service} ${request.url} ${body.length}`;
      response.writeHead(200, {
        "x-bulrushwood-request-id": echo,
        "x-bulrushwood-answer-seal": `${id}.${this.#seal++}`,
        "x-bulrushwood-server-load": `${this.#running},0,${slots}`,
        "content-length": answer.length,
      }).end(answer);
    } finally {
      this.#running--;
      end();
    }
  }

  async #handleOrder(request, response) {
    const { id, record, onGrant, mustRepeat } = this.#options;
    const { socket } = request;
    if (socket.copy !== undefined) {
      record("second copy of the answer before", { at: id, now: request.url });
      socket.write(socket.copy);
      socket.copy = undefined;
    }
    if (request.url === "/grant" && mustRepeat()) {
      socket.copy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }
    const order = JSON.parse((await readAll(request)).toString("utf8"));
    if (request.url === "/release") {
      record("release", { at: id, ...order });
      const token = await this.keys.release(order);
      record("released", { at: id, ...order });
      response.writeHead(200, { "x-bulrushwood-handover": token, "content-length": 0 }).end();
      return;
    }
    const isTaken = this.keys.grant(order);
    record(isTaken ? "grant" : "grant refused", { at: id, ...order });
    if (isTaken) {
      onGrant(id, order);
    }
    response.writeHead(isTaken ? 200 : 409, { "content-length": 0 }).end();
  }

  async #report() {
    const { heartbeatMs } = this.#options;
    while (!this.#isOver) {
      const sentAt = now();
      const isAcked = await this.sendReport(this.#state);
      this.isAcked ||= isAcked;
      await sleep(isAcked ? Math.max(0, heartbeatMs - (now() - sentAt)) : RETRY_MS);
    }
  }

  /** Says that this life leaves, and goes on serving. */
  async drain() {
    this.#state = "draining";
    return await this.sendReport(this.#state);
  }

  /** Sends a status report; resolves to whether it was acknowledged. */
  sendReport(state) {
    return this.#callDaemon("PUT", `/instances/${this.#options.id}`, this.#createReport(state));
  }

  #createReport(state) {
    const { service, zone, host, port, slots } = this.#options;
    const status = { state, seq: ++this.#sequence, cold_left_ms: 0 };
    const info = { service, version: "v1", zone, slots };
    const address = `${host}:${port}`;
    return JSON.stringify({ address, born: this.bornMs, info, status });
  }

  async #callDaemon(method, path, body) {
    await sleep(this.#options.reportDelayMs);
    if (this.#isOver) {
      return false;
    }
    const [host, port] = this.#options.control.split(":");
    return await new Promise((resolve) => {
      const call = sendRequest({
        host,
        port,
        method,
        path,
        agent: false,
        headers: { "content-type": "application/json", "content-length": body.length },
        timeout: ACK_TIMEOUT_MS,
      });
      call.on("response", (response) => {
        response.resume();
        resolve(response.statusCode >= 200 && response.statusCode < 300);
      });
      call.on("timeout", () => call.destroy(new Error("no ack")));
      call.on("error", () => resolve(false));
      call.end(body);
    });
  }

  /** Ends this life at once. */
  crash() {
    this.#isOver = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
