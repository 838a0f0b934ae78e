import { Buffer } from "node:buffer";
import { request } from "node:http";
import { connect, type Socket } from "node:net";
import { Worker } from "node:worker_threads";
import { expect } from "chai";
import { Shutdown } from "@bulrushwood/admission";
import type { RoutedResponse } from "@bulrushwood/routing";
import { blockEventLoop, findFreePort } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { PIPELINED_MAX } from "./caller_connection.ts";
import { HOST, listenForCallers } from "./caller_server_fixture.ts";
import type { Dispatcher, DispatchRequest } from "./dispatcher.ts";

/** A dispatcher whose responses the test sends by request id. */
class FakeDispatcher {
  readonly open = new Map<
    string,
    { request: DispatchRequest; respond: (response: RoutedResponse) => void }
  >();

  dispatch(request: DispatchRequest): Promise<RoutedResponse> {
    return new Promise((respond) => this.open.set(request.head.id, { request, respond }));
  }

  respond(id: string, options: { isUnframed?: boolean } = {}): void {
    const body = Buffer.from(`body of ${id}`);
    const { isUnframed = false } = options;
    this.open.get(id)!.respond({ head: { status: 200, headers: [], isUnframed }, body });
  }
}

interface Scenario {
  port: number;
  dispatcher: FakeDispatcher;
  socket: Socket;
  /** Returns all bytes that the caller has received. */
  received: () => string;
  isClosed: () => boolean;
  end: () => void;
}

async function runScenario(test: (scenario: Scenario) => Promise<void>): Promise<void> {
  const dispatcher = new FakeDispatcher();
  const port = await findFreePort();
  const shutdown = new Shutdown({ now, shutdownMs: 6_000 });
  const server = await listenForCallers(dispatcher as unknown as Dispatcher, { port, shutdown });
  let received = "";
  let isClosed = false;
  const socket = connect(port, HOST);
  socket.on("data", (part) => received += part.toString()).on("error", () => {});
  socket.on("close", () => isClosed = true);
  try {
    await test({
      port,
      dispatcher,
      socket,
      received: () => received,
      isClosed: () => isClosed,
      end: () => shutdown.begin(),
    });
  } finally {
    socket.destroy();
    await server.close({ timeoutMs: 0 });
  }
}

function get(id: string): string {
  return `GET /x HTTP/1.1\r\nhost: h\r\nid: ${id}\r\n\r\n`;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200 && !condition(); tries++) {
    await sleep(5);
  }
  expect(condition()).to.equal(true);
}

/** Returns the request ids in the response bodies, in order. */
function responseIds(text: string): string[] {
  return [...text.matchAll(/body of (r\d+)/g)].map(([, id]) => id);
}

describe("caller server: pipelined requests", () => {
  it("sends the responses in the order of the requests, which run concurrently", async () => {
    await runScenario(async ({ dispatcher, socket, received }) => {
      socket.write(get("r1") + get("r2") + get("r3"));
      await waitUntil(() => dispatcher.open.size === 3);
      dispatcher.respond("r3");
      dispatcher.respond("r2");
      await sleep(30);
      expect(received()).to.equal("");
      dispatcher.respond("r1");
      await waitUntil(() => responseIds(received()).length === 3);
      expect(responseIds(received())).to.deep.equal(["r1", "r2", "r3"]);
    });
  });

  it("reads requests that are split at any byte", async () => {
    const bytes = get("r1") + get("r2");
    for (let cut = 1; cut < bytes.length; cut += 3) {
      await runScenario(async ({ dispatcher, socket, received }) => {
        socket.setNoDelay(true).write(bytes.slice(0, cut));
        await sleep(2);
        socket.write(bytes.slice(cut));
        await waitUntil(() => dispatcher.open.size === 2);
        dispatcher.respond("r2");
        dispatcher.respond("r1");
        await waitUntil(() => responseIds(received()).length === 2);
        expect(responseIds(received()), `cut at ${cut}`).to.deep.equal(["r1", "r2"]);
      });
    }
  });

  it("cancels all requests of a connection that closes", async () => {
    await runScenario(async ({ dispatcher, socket }) => {
      socket.write(get("r1") + get("r2") + get("r3"));
      await waitUntil(() => dispatcher.open.size === 3);
      socket.destroy();
      await waitUntil(() =>
        [...dispatcher.open.values()].every(({ request }) => request.signal.aborted)
      );
    });
  });

  it("aborts all requests after a response that closes the connection", async () => {
    await runScenario(async ({ dispatcher, socket, received, isClosed }) => {
      socket.write(get("r1") + get("r2"));
      await waitUntil(() => dispatcher.open.size === 2);
      dispatcher.respond("r1", { isUnframed: true });
      socket.write(get("r3"));
      await waitUntil(isClosed);
      expect(responseIds(received())).to.deep.equal(["r1"]);
      expect(dispatcher.open.get("r2")!.request.signal.aborted).to.equal(true);
      expect(dispatcher.open.has("r3")).to.equal(false);
    });
  });

  it("responds to all requests read before the daemon stops, and closes after the last", async () => {
    await runScenario(async ({ dispatcher, socket, received, isClosed, end }) => {
      socket.write(get("r1") + get("r2"));
      await waitUntil(() => dispatcher.open.size === 2);
      end();
      dispatcher.respond("r1");
      await waitUntil(() => responseIds(received()).length === 1);
      expect(received()).to.not.contain("connection: close");
      dispatcher.respond("r2");
      await waitUntil(isClosed);
      expect(responseIds(received())).to.deep.equal(["r1", "r2"]);
    });
  });

  // Guards against an error response that is lost behind the one before it.
  it("responds with an error to the last of several requests before it closes the connection", async () => {
    await runScenario(async ({ dispatcher, socket, received, isClosed, end }) => {
      end();
      socket.write(`${get("r1")}GET /x HTTP/1.1\r\nhost: h\r\n\r\n`);
      await waitUntil(() => dispatcher.open.size === 1);
      await sleep(50);
      dispatcher.respond("r1");
      await waitUntil(isClosed);
      expect(received().match(/HTTP\/1.1 (\d+)/g)).to.deep.equal(["HTTP/1.1 200", "HTTP/1.1 400"]);
    });
  });

  it("responds to the requests before malformed input", async () => {
    await runScenario(async ({ dispatcher, socket, received }) => {
      socket.write(`${get("r1")}no request at all\r\n\r\n`);
      await waitUntil(() => dispatcher.open.size === 1);
      dispatcher.respond("r1");
      await waitUntil(() => responseIds(received()).length === 1);
    });
  });

  it("rejects a head that is too large", async () => {
    await runScenario(async ({ socket, received }) => {
      socket.write(`GET /x HTTP/1.1\r\nhost: h\r\nx: ${"x".repeat(70 * 1024)}`);
      await waitUntil(() => received().startsWith("HTTP/1.1 431"));
    });
  });

  it("keeps the connection of a caller that still sends its body after an early rejection", async () => {
    await runScenario(async ({ socket, received, isClosed }) => {
      const chunk = "5\r\nparts\r\n";
      const headers = "host: unknown\r\nid: r1\r\nconnection: close\r\ntransfer-encoding: chunked";
      socket.write(`POST /x HTTP/1.1\r\n${headers}\r\n\r\n${chunk}`);
      await waitUntil(() => received().startsWith("HTTP/1.1 404"));
      for (let part = 0; part < 5; part++) {
        socket.write(chunk);
        await sleep(20);
      }
      expect(isClosed()).to.equal(false);
      socket.write("0\r\n\r\n");
      await waitUntil(isClosed);
    });
  });

  it("rejects requests beyond the limit in flight, and does not run them", async () => {
    await runScenario(async ({ dispatcher, socket, received }) => {
      const ids = Array.from({ length: PIPELINED_MAX + 2 }, (_, index) => `r${index}`);
      socket.write(ids.map(get).join(""));
      await waitUntil(() => dispatcher.open.size === PIPELINED_MAX);
      ids.slice(0, PIPELINED_MAX).forEach((id) => dispatcher.respond(id));
      await waitUntil(() => received().split("HTTP/1.1 503").length === 3);
      expect(received()).to.contain("retry-after");
    });
  });
});

/** Runs a script on another thread, which is ready once it has sent a message. */
async function startThread(script: string): Promise<Worker> {
  const worker = new Worker(script, { eval: true });
  await new Promise((resolve) => worker.once("message", resolve));
  return worker;
}

describe("caller server: callers that leave while the daemon is stalled", () => {
  for (const isConnected of [true, false]) {
    const connection = isConnected ? "an open" : "a new";
    it(`does not dispatch a request on ${connection} connection that closed before it was read`, async () => {
      await runScenario(async ({ dispatcher, port }) => {
        const worker = await startThread(`
          const { connect } = require("node:net");
          const { parentPort } = require("node:worker_threads");
          const open = () => connect(${port}, "${HOST}");
          let socket;
          if (${isConnected}) {
            socket = open().on("connect", () => parentPort.postMessage("ready"));
          } else {
            parentPort.postMessage("ready");
          }
          parentPort.once("message", () => {
            socket ??= open();
            socket.write(${JSON.stringify(get("r1"))});
            setTimeout(() => socket.destroy(), 100);
          });
        `);
        await sleep(50);
        worker.postMessage("send");
        blockEventLoop(400);
        await sleep(100);
        await worker.terminate();
        expect([...dispatcher.open.keys()]).to.deep.equal([]);
      });
    });
  }
});

describe("bodies of callers' requests", () => {
  const [bodyMemoryBytes, bodyBytes] = [1_500_000, 900_000];

  /** Starts a server with memory for two of the bodies; `upload` resolves to the status of the response. */
  async function withUploads(
    test: (dispatcher: FakeDispatcher, upload: (id: string) => Promise<number>) => Promise<void>,
  ): Promise<void> {
    const dispatcher = new FakeDispatcher();
    const port = await findFreePort();
    const server = await listenForCallers(dispatcher as unknown as Dispatcher, {
      port,
      bodyMemoryBytes,
    });
    const upload = (id: string) =>
      new Promise<number>((resolve, reject) => {
        const headers = { host: "h", id, "content-length": bodyBytes };
        const call = request({
          host: HOST,
          port,
          method: "POST",
          path: "/x",
          headers,
          agent: false,
        });
        call.on("response", (response) => resolve(response.resume().statusCode ?? 0));
        call.on("error", reject);
        call.end(Buffer.alloc(bodyBytes));
      });
    try {
      await test(dispatcher, upload);
    } finally {
      await server.close({ timeoutMs: 0 });
    }
  }

  // Guards against a few long uploads at once that end a daemon by its memory.
  it("are rejected before they are read where the bodies of other requests leave no memory", async () => {
    await withUploads(async (dispatcher, upload) => {
      const uploads = ["r1", "r2"].map(upload);
      await waitUntil(() => dispatcher.open.size === 2);
      expect(await upload("r3")).to.equal(503);
      expect(dispatcher.open.has("r3")).to.equal(false);
      dispatcher.respond("r1");
      expect(await uploads[0]).to.equal(200);
      const next = upload("r4");
      await waitUntil(() => dispatcher.open.has("r4"));
      ["r2", "r4"].forEach((id) => dispatcher.respond(id));
      expect(await Promise.all([uploads[1], next])).to.deep.equal([200, 200]);
    });
  });

  it("are not awaited beyond the time that the caller waits", async () => {
    await runScenario(async ({ socket, received }) => {
      socket.write(`POST /x HTTP/1.1\r\nhost: h\r\nid: r1\r\ncontent-length: 9\r\n\r\nshort`);
      await sleep(900);
      expect(received()).to.equal("");
      await waitUntil(() => received() !== "");
      expect(received()).to.match(/^HTTP\/1.1 50\d /);
    });
  });
});
