/**
 * Stand-in for an application upstream that holds keys, as PROTOCOL.md describes it: takes grants and releases, runs
 * requests for keys that it holds, and reports its status to the `control` address of its machine.
 */
import { createServer, request as sendRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { listen, readAll } from "./tools.mjs";

export const KEYS = 65_536;

export class Upstream {
  /** Epoch of the newest grant of each key, and when it ends on this process's clock. */
  epochs = new Int32Array(KEYS).fill(-1);
  until = new Float64Array(KEYS);
  running = new Uint32Array(KEYS);
  isUp = true;
  #sequence = 0;
  #sockets = new Set();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  /**
   * Options: id, born, service, zone, host, port, control {host, port}, heartbeatMs, slots, workMs, record(line),
   * onGrant(upstream, grant), onRun(upstream, run), sendReport(call, send), answer(id, response).
   */
  constructor(options) {
    this.options = { slots: 12, workMs: 120, heartbeatMs: 870, ...options };
    this.id = options.id;
    this.name = `${options.id}@${options.born}`;
    this.#server.keepAliveTimeout = 10_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  async start() {
    await listen(this.#server, this.options.host, this.options.port);
    this.#report();
  }

  has(key) {
    return this.isUp && this.until[key] > performance.now();
  }

  async #report() {
    while (this.isUp) {
      this.report("ready");
      await sleep(this.options.heartbeatMs);
    }
  }

  /** Sends one status report; resolves to the status of its answer, or undefined. */
  report(state) {
    const { service, zone, host, port, slots, born } = this.options;
    const body = JSON.stringify({
      address: `${host}:${port}`,
      born,
      info: { service, version: "v1", zone, slots },
      status: { state, seq: ++this.#sequence, cold_left_ms: 0 },
    });
    const call = { method: "PUT", path: `/instances/${this.id}`, body };
    const send = () => sendCall(this.options.control, call);
    return this.options.sendReport?.(call, send) ?? send();
  }

  async #handle(request, response) {
    const arrivedAt = performance.now();
    const body = await readAll(request);
    const id = request.headers["x-bulrushwood-request-id"];
    if (request.url === "/healthz") {
      response.writeHead(200, {
        "x-bulrushwood-instance-id": this.id,
        "content-length": 0,
      }).end();
    } else if (request.method === "POST" && request.url === "/grant") {
      this.#grant(response, JSON.parse(body.toString()), arrivedAt);
    } else if (request.method === "POST" && request.url === "/release") {
      await this.#release(response, JSON.parse(body.toString()));
    } else {
      await this.#run(request, response, id);
    }
  }

  #grant(response, { from, target, fence, hold_ms }, arrivedAt) {
    for (let key = from; key <= target; key++) {
      if (this.epochs[key] > fence) {
        response.writeHead(409, { "content-length": 0 }).end();
        return;
      }
    }
    this.epochs.fill(fence, from, target + 1);
    this.until.fill(arrivedAt + hold_ms, from, target + 1);
    this.options.onGrant?.(this, { from, target, fence, holdMs: hold_ms });
    response.writeHead(200, { "content-length": 0 }).end();
  }

  async #release(response, { from, target, fence }) {
    for (let key = from; key <= target; key++) {
      if (this.epochs[key] <= fence) {
        this.until[key] = 0;
      }
    }
    while (this.running.subarray(from, target + 1).some((count) => count > 0)) {
      await sleep(5);
    }
    response.writeHead(200, {
      "x-bulrushwood-handover": Math.random().toString(16).slice(2),
      "content-length": 0,
    }).end();
  }

  async #run(request, response, id) {
    const key = Number(request.headers["x-bulrushwood-shard-key"]);
    const expected = request.headers["x-bulrushwood-expect-instance"];
    const headers = { "x-bulrushwood-request-id": id };
    const isOther = expected !== undefined && expected !== this.id;
    if (isOther || !this.has(key)) {
      response.writeHead(421, {
        ...headers,
        "x-bulrushwood-not-executed": "1",
        "x-bulrushwood-instance-id": this.id,
        "content-length": 0,
      }).end();
      return;
    }
    this.running[key]++;
    this.options.onRun?.(this, { id, key, epoch: this.epochs[key] });
    await sleep(this.options.workMs);
    this.running[key]--;
    if (this.options.answer !== undefined) {
      this.options.answer(id, response);
      return;
    }
    const body = Buffer.from(`ran ${id} at ${this.name}`);
    response.writeHead(200, {
      ...headers,
      "x-bulrushwood-answer-seal": `seal.${id}`,
      "x-bulrushwood-server-load": `0,0,${this.options.slots}`,
      "content-length": body.length,
    }).end(body);
  }

  /** Crashes: all connections are reset, and nothing is said to anybody. */
  async crash() {
    this.isUp = false;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    await closed;
  }
}

/** Makes a call; resolves to the status of the answer, or undefined if there is none within a second. */
export function sendCall({ host, port }, { method, path, body }) {
  return new Promise((resolve) => {
    const headers = { "content-type": "application/json", "content-length": body?.length ?? 0 };
    const call = sendRequest({ host, port, method, path, headers, agent: false, timeout: 1_000 });
    call.on("response", (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode));
    });
    call.on("timeout", () => call.destroy());
    call.on("error", () => resolve(undefined));
    call.on("close", () => resolve(undefined));
    call.end(body);
  });
}
