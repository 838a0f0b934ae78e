/**
 * Stand-in for the platform's store: a log with keyed topics, as far as daemons use it, and a TCP proxy before it whose
 * open connections can go silent while new ones work.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { listenOn, now, readAll } from "./tools.mjs";

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
/** Time that the store takes for an answer, in milliseconds. */
const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const STATUS_CONFLICT = 412;
const STATUS_BUSY = 503;

/** Store with keyed topics of one partition. */
export class Store {
  #topics = new Map();
  #server;
  #host;
  port = 0;
  /** While set, every call is rejected with 503, and nothing is done. */
  isBusy = false;
  /** Called with the topic of each read. */
  onRead = () => {};
  /** Called with the topic, the key and the value of each appended record. */
  onAppend = () => {};

  constructor(host) {
    this.#host = host;
  }

  async listen() {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.port = await listenOn(this.#server, this.#host);
  }

  #topicOf(name) {
    const topic = this.#topics.get(name) ?? { records: [], wakers: new Set() };
    this.#topics.set(name, topic);
    return topic;
  }

  /** Writes a record as the operator; returns the time of the ack. */
  write(topic, key, value) {
    const keyBytes = Buffer.from(key);
    this.#append(topic, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value])]);
    return now();
  }

  #append(name, records) {
    const topic = this.#topicOf(name);
    const offset = topic.records.length;
    topic.records.push(...records);
    records.map(decodeRecord).forEach(({ key, value }) => this.onAppend(name, key, value));
    [...topic.wakers].forEach((wake) => wake());
    topic.wakers.clear();
    return { offset, end: topic.records.length };
  }

  async #handle(request, response) {
    const body = await readAll(request);
    const url = new URL(request.url, "http://store");
    const { isBusy } = this;
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
    if (isBusy || this.isBusy) {
      response.writeHead(STATUS_BUSY).end();
      return;
    }
    const topic = url.searchParams.get("topic");
    switch (`${request.method} ${url.pathname}`) {
      case "POST /log-append":
        return this.#answerAppend(response, topic, { asOf: url.searchParams.get("as_of"), body });
      case "GET /log-read":
        return await this.#answerRead(request, response, { topic, query: url.searchParams });
      case "GET /log-newest":
        return this.#answerNewest(response, topic, url.searchParams.get("after"));
      default:
        response.writeHead(404).end();
    }
  }

  #answerAppend(response, topic, { asOf, body }) {
    const end = this.#topicOf(topic).records.length;
    if (asOf !== null && Number(asOf) !== end) {
      sendJson(response, STATUS_CONFLICT, { end });
      return;
    }
    sendJson(response, 200, this.#append(topic, splitRecords(body)));
  }

  async #answerRead(request, response, { topic: name, query }) {
    this.onRead(name);
    const topic = this.#topicOf(name);
    const from = Number(query.get("from"));
    if (topic.records.length <= from) {
      await new Promise((resolve) => {
        const { socket } = request;
        const wake = () => {
          clearTimeout(timer);
          topic.wakers.delete(wake);
          socket.off("close", wake);
          resolve();
        };
        const timer = setTimeout(wake, Number(query.get("wait_ms") ?? 0));
        topic.wakers.add(wake);
        socket.once("close", wake);
      });
    }
    if (this.isBusy) {
      response.writeHead(STATUS_BUSY).end();
      return;
    }
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const records = topic.records.slice(from).map((record) => {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      return Buffer.concat([length, record]);
    });
    const body = Buffer.concat([head, ...records]);
    response.writeHead(200, { "content-length": body.length }).end(body);
  }

  #answerNewest(response, name, after) {
    const { records } = this.#topicOf(name);
    const newest = new Map();
    records.forEach((record, offset) => {
      const { key, value } = decodeRecord(record);
      newest.set(key, { key, value: value.toString("base64"), offset });
    });
    const items = [...newest.values()].filter(({ key, value }) =>
      value !== "" && (after === null || key > after)
    ).sort((left, right) => left.key < right.key ? -1 : 1);
    const page = items.slice(0, PAGE_ITEMS);
    sendJson(response, 200, {
      items: page,
      more: page.length < items.length,
      end: records.length,
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

function sendJson(response, status, value) {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  }).end(body);
}

function splitRecords(body) {
  const records = [];
  for (let position = 0; position < body.length;) {
    const start = position + LENGTH_BYTES;
    position = start + body.readUInt32BE(position);
    records.push(body.subarray(start, position));
  }
  return records;
}

function decodeRecord(record) {
  const end = 1 + record.readUInt8(0);
  return { key: record.subarray(1, end).toString("utf8"), value: record.subarray(end) };
}

/** TCP proxy whose open connections can go silent for good, without a reset, while new ones work. */
export class SilencingProxy {
  #server;
  #pairs = new Set();
  port = 0;

  async listen(host, target) {
    this.#server = createTcpServer((inner) => {
      const outer = connect(target);
      const pair = { inner, outer, isSilent: false };
      this.#pairs.add(pair);
      forward(pair, inner, outer);
      forward(pair, outer, inner);
    });
    this.port = await listenOn(this.#server, host);
  }

  /** Forwards nothing more on the connections that are open now, and keeps them open; returns their number. */
  silence() {
    const open = [...this.#pairs].filter(({ inner }) => !inner.destroyed);
    open.forEach((pair) => pair.isSilent = true);
    return open.length;
  }

  close() {
    this.#server.close();
    this.#pairs.forEach(({ inner, outer }) => {
      inner.destroy();
      outer.destroy();
    });
  }
}

function forward(pair, from, to) {
  from.setNoDelay(true);
  from.on("data", (data) => pair.isSilent || to.write(data));
  from.on("end", () => pair.isSilent || to.end());
  from.on("error", () => {});
  from.on("close", () => pair.isSilent || to.destroy());
}
