import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { expect } from "chai";
import { type Manifest, RouteKind } from "@bulrushwood/deployment";
import type { Answer } from "@bulrushwood/routing";
import { findFreePort } from "@bulrushwood/stand_ins";
import { sleep } from "@bulrushwood/types";
import { PIPELINED_MAX } from "./caller_connection.ts";
import { CallerServer } from "./caller_server.ts";
import type { Dispatcher, DispatchRequest } from "./dispatcher.ts";

const HOST = "127.0.0.1";
const MANIFEST: Manifest = {
  version: 1,
  routes: [{
    name: "look",
    host: "h",
    pathPrefix: "/",
    kind: RouteKind.Idempotent,
    timeoutMs: 2_000,
    targetMs: 1_000,
    priority: 0,
    attemptsMax: 2,
    shares: [{ service: "s", weight: 1 }],
  }],
  services: new Map(),
  limits: { headerBytes: 1e4, bodyBytes: 1e6, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
};

/** A dispatcher whose answers the test gives by the request's id. */
class Desk {
  readonly open = new Map<string, { request: DispatchRequest; answer: (answer: Answer) => void }>();

  dispatch(request: DispatchRequest): Promise<Answer> {
    return new Promise((answer) => this.open.set(request.head.id, { request, answer }));
  }

  give(id: string, options: { isUnframed?: boolean } = {}): void {
    const body = Buffer.from(`body of ${id}`);
    const { isUnframed = false } = options;
    this.open.get(id)!.answer({ head: { status: 200, headers: [], isUnframed }, body });
  }
}

interface Play {
  desk: Desk;
  socket: Socket;
  /** What the caller has received. */
  received: () => string;
  isClosed: () => boolean;
  end: () => void;
}

async function play(act: (play: Play) => Promise<void>): Promise<void> {
  const desk = new Desk();
  const port = await findFreePort();
  let isEnding = false;
  const server = await CallerServer.listen({
    endpoint: { host: HOST, port },
    wire: {
      readRequest: (headers) => ({ id: headers.id as string, deadlineMs: 1_000, key: undefined }),
      idHeader: "id",
      ownHeaders: new Set(),
    },
    service: "s",
    manifest: () => MANIFEST,
    dispatcher: desk as unknown as Dispatcher,
    log: () => {},
    isEnding: () => isEnding,
    onResponse: () => {},
  });
  let received = "";
  let isClosed = false;
  const socket = connect(port, HOST);
  socket.on("data", (part) => received += part.toString()).on("error", () => {});
  socket.on("close", () => isClosed = true);
  try {
    await act({
      desk,
      socket,
      received: () => received,
      isClosed: () => isClosed,
      end: () => isEnding = true,
    });
  } finally {
    socket.destroy();
    await server.close({ timeoutMs: 0 });
  }
}

function get(id: string): string {
  return `GET /x HTTP/1.1\r\nhost: h\r\nid: ${id}\r\n\r\n`;
}

async function until(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200 && !condition(); tries++) {
    await sleep(5);
  }
  expect(condition()).to.equal(true);
}

/** Order of the answers' bodies. */
function bodies(text: string): string[] {
  return [...text.matchAll(/body of (r\d+)/g)].map(([, id]) => id);
}

describe("callers that send before they are answered", () => {
  it("get their answers in order, whichever is ready first; all are under way at once", async () => {
    await play(async ({ desk, socket, received }) => {
      socket.write(get("r1") + get("r2") + get("r3"));
      await until(() => desk.open.size === 3);
      desk.give("r3");
      desk.give("r2");
      await sleep(30);
      expect(received()).to.equal("");
      desk.give("r1");
      await until(() => bodies(received()).length === 3);
      expect(bodies(received())).to.deep.equal(["r1", "r2", "r3"]);
    });
  });

  it("get the same wherever their bytes are cut", async () => {
    const bytes = get("r1") + get("r2");
    for (let cut = 1; cut < bytes.length; cut += 3) {
      await play(async ({ desk, socket, received }) => {
        socket.setNoDelay(true).write(bytes.slice(0, cut));
        await sleep(2);
        socket.write(bytes.slice(cut));
        await until(() => desk.open.size === 2);
        desk.give("r2");
        desk.give("r1");
        await until(() => bodies(received()).length === 2);
        expect(bodies(received()), `cut at ${cut}`).to.deep.equal(["r1", "r2"]);
      });
    }
  });

  it("cancel all of their requests when they leave", async () => {
    await play(async ({ desk, socket }) => {
      socket.write(get("r1") + get("r2") + get("r3"));
      await until(() => desk.open.size === 3);
      socket.destroy();
      await until(() => [...desk.open.values()].every(({ request }) => request.signal.aborted));
    });
  });

  it("lose what stands behind an answer that closes the connection, and nothing of it runs on", async () => {
    await play(async ({ desk, socket, received, isClosed }) => {
      socket.write(get("r1") + get("r2"));
      await until(() => desk.open.size === 2);
      desk.give("r1", { isUnframed: true });
      socket.write(get("r3"));
      await until(isClosed);
      expect(bodies(received())).to.deep.equal(["r1"]);
      expect(desk.open.get("r2")!.request.signal.aborted).to.equal(true);
      expect(desk.open.has("r3")).to.equal(false);
    });
  });

  it("get all answers to what was read before a daemon ends, the last of which closes", async () => {
    await play(async ({ desk, socket, received, isClosed, end }) => {
      socket.write(get("r1") + get("r2"));
      await until(() => desk.open.size === 2);
      end();
      desk.give("r1");
      await until(() => bodies(received()).length === 1);
      expect(received()).to.not.contain("connection: close");
      desk.give("r2");
      await until(isClosed);
      expect(bodies(received())).to.deep.equal(["r1", "r2"]);
    });
  });

  it("harm with bad bytes only what follows", async () => {
    await play(async ({ desk, socket, received }) => {
      socket.write(`${get("r1")}no request at all\r\n\r\n`);
      await until(() => desk.open.size === 1);
      desk.give("r1");
      await until(() => bodies(received()).length === 1);
    });
  });

  it("are told that a head is too large", async () => {
    await play(async ({ socket, received }) => {
      socket.write(`GET /x HTTP/1.1\r\nhost: h\r\nx: ${"x".repeat(70 * 1024)}`);
      await until(() => received().startsWith("HTTP/1.1 431"));
    });
  });

  it("are refused more than may be under way, which do not run", async () => {
    await play(async ({ desk, socket, received }) => {
      const ids = Array.from({ length: PIPELINED_MAX + 2 }, (_, index) => `r${index}`);
      socket.write(ids.map(get).join(""));
      await until(() => desk.open.size === PIPELINED_MAX);
      ids.slice(0, PIPELINED_MAX).forEach((id) => desk.give(id));
      await until(() => received().split("HTTP/1.1 503").length === 3);
      expect(received()).to.contain("retry-after");
    });
  });
});
