/**
 * Stand-in for the platform's store: keyed topics as a log over HTTP, as PROTOCOL.md describes it. `restoreCopy` brings
 * it back from an older copy, as the fourteenth letter describes it.
 */
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { listen, readAll } from "./tools.mjs";

const ANSWER_MS = 4;
const OFFSET_BYTES = 8;

/** Topics that the operator and the upstreams write, and write again after the store came back from a copy. */
const OUTSIDE_TOPICS = new Set(["keyed.op", "keyed.servers"]);

export class StoreStandIn {
  topics = new Map();
  era = 1;
  isAway = false;
  /** Called with each append that took effect. */
  onAppend = () => {};
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });
  #waiting = new Set();

  async start(host, port) {
    await listen(this.#server, host, port);
  }

  #topic(name) {
    if (!this.topics.has(name)) {
      this.topics.set(name, []);
    }
    return this.topics.get(name);
  }

  /** Appends one record; returns its offset. */
  put(name, key, value) {
    const topic = this.#topic(name);
    topic.push({ key, value: Buffer.from(value) });
    this.#wake();
    return topic.length - 1;
  }

  /** Returns a copy of all records. */
  copy() {
    return new Map([...this.topics].map(([name, records]) => [name, [...records]]));
  }

  /** The store goes away: calls in flight and new ones get no answer, their connections end. */
  goAway() {
    this.isAway = true;
    this.#wake();
    this.#server.closeAllConnections();
  }

  /** The store comes back with the records of a copy; what the operator and the upstreams wrote since is written again. */
  restoreCopy(copy) {
    const lost = this.topics;
    this.topics = copy;
    for (const name of OUTSIDE_TOPICS) {
      const known = copy.get(name)?.length ?? 0;
      (lost.get(name) ?? []).slice(known).forEach((record) => this.#topic(name).push(record));
    }
    this.era++;
    this.isAway = false;
  }

  #wake() {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }

  async #handle(request, response) {
    const body = await readAll(request);
    await sleep(ANSWER_MS);
    if (this.isAway) {
      response.destroy();
      return;
    }
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const name = searchParams.get("topic") ?? "";
    const call = `${request.method} ${pathname}`;
    if (call === "POST /log-append") {
      this.#append(response, name, { body, asOf: searchParams.get("as_of") });
    } else if (call === "GET /log-newest") {
      this.#sendNewest(response, name);
    } else if (call === "GET /log-read") {
      await this.#read(response, name, searchParams);
    } else {
      this.#sendJson(response, 404, {});
    }
  }

  #append(response, name, { body, asOf }) {
    const topic = this.#topic(name);
    if (asOf !== null && Number(asOf) !== topic.length) {
      this.#sendJson(response, 412, { end: topic.length });
      return;
    }
    const offset = topic.length;
    for (let at = 0; at + 4 <= body.length;) {
      const length = body.readUInt32BE(at);
      const record = body.subarray(at + 4, at + 4 + length);
      const keyEnd = 1 + record[0];
      topic.push({
        key: record.subarray(1, keyEnd).toString("utf8"),
        value: Buffer.from(record.subarray(keyEnd)),
      });
      this.onAppend(name, topic.at(-1), topic.length - 1);
      at += 4 + length;
    }
    this.#wake();
    this.#sendJson(response, 200, { offset, end: topic.length });
  }

  #sendNewest(response, name) {
    const newest = new Map();
    this.#topic(name).forEach(({ key, value }, offset) => {
      newest.delete(key);
      if (value.length > 0) {
        newest.set(key, { key, value: value.toString("base64"), offset });
      }
    });
    const end = this.#topic(name).length;
    this.#sendJson(response, 200, { items: [...newest.values()], more: false, end });
  }

  async #read(response, name, query) {
    const from = Number(query.get("from"));
    const waitMs = Number(query.get("wait_ms") ?? 0);
    const until = performance.now() + waitMs;
    while (
      !this.isAway && !response.destroyed && this.#topic(name).length === from &&
      performance.now() < until
    ) {
      const timer = new AbortController();
      await Promise.race([
        new Promise((resolve) => this.#waiting.add(resolve)),
        sleep(Math.max(1, until - performance.now()), undefined, { signal: timer.signal })
          .catch(() => {}),
      ]);
      timer.abort();
    }
    if (this.isAway) {
      response.destroy();
      return;
    }
    const topic = this.#topic(name);
    if (from > topic.length) {
      this.#sendJson(response, 410, { first: 0 });
      return;
    }
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(topic.length), 0);
    const records = topic.slice(from).map(({ key, value }) => {
      const keyBytes = Buffer.from(key, "utf8");
      const start = Buffer.alloc(5);
      start.writeUInt32BE(1 + keyBytes.length + value.length, 0);
      start.writeUInt8(keyBytes.length, 4);
      return Buffer.concat([start, keyBytes, value]);
    });
    const bytes = Buffer.concat([head, ...records]);
    response.writeHead(200, { "content-length": bytes.length, "store-era": this.era }).end(bytes);
  }

  #sendJson(response, status, document) {
    const bytes = Buffer.from(JSON.stringify(document));
    const headers = {
      "content-type": "application/json",
      "content-length": bytes.length,
      "store-era": this.era,
    };
    response.writeHead(status, headers).end(bytes);
  }

  close() {
    this.isAway = true;
    this.#wake();
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
