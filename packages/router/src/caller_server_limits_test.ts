import { Buffer } from "node:buffer";
import { expect } from "chai";
import { blockEventLoop, findFreePort } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { CallerSocket, listenForCallers } from "./caller_server_fixture.ts";
import type { Dispatcher } from "./dispatcher.ts";

const HEADER_TIMEOUT_MS = 600;
const HEADER_BYTES = 2_000;
/** Time between the server's checks, and that of a busy machine, in milliseconds. */
const MARGIN_MS = 1_200;
const HALF = "GET /x HTTP/1.1\r\nhost: h\r\n";
const REST = "id: r1\r\n\r\n";

/** Starts a server with short timeouts, which responds after the time that the path names and counts unread connections. */
async function withServer(
  test: (
    open: (options?: { allowHalfOpen: boolean }) => CallerSocket,
    unread: () => number,
  ) => Promise<void>,
): Promise<void> {
  const dispatcher = {
    dispatch: async ({ head }: { head: { path: string } }) => {
      await sleep(Number(head.path.slice(1)) || 0);
      return { head: { status: 200, headers: [] }, body: Buffer.from("body") };
    },
  };
  const port = await findFreePort();
  const limits = { headerTimeoutMs: HEADER_TIMEOUT_MS, headerBytes: HEADER_BYTES };
  let unread = 0;
  const onUnread = () => unread++;
  const options = { port, limits, onUnread };
  const server = await listenForCallers(dispatcher as unknown as Dispatcher, options);
  const callers: CallerSocket[] = [];
  try {
    await test((options) => {
      callers.push(new CallerSocket(port, options));
      return callers.at(-1)!;
    }, () => unread);
  } finally {
    callers.forEach(({ socket }) => socket.destroy());
    await server.close({ timeoutMs: 0 });
  }
}

/** Resolves to the time until a caller's connection closes, in milliseconds. */
async function closedAfterMs(caller: CallerSocket): Promise<number> {
  const startedAt = now();
  while (!caller.isClosed && now() - startedAt < 5_000) {
    await sleep(5);
  }
  return now() - startedAt;
}

/** Returns a request whose line and headers have a number of bytes. */
function requestOf(bytes: number): string {
  const head = `${HALF}x: \r\n${REST}`;
  const length = bytes - (head.length - "\r\n".length);
  return head.replace("x: ", `x: ${"x".repeat(length)}`);
}

describe("caller server: limits of heads", () => {
  // Guards against connections that are held by a few bytes.
  it("ends a head that takes longer than the manifest allows", async () => {
    await withServer(async (open) => {
      const [half, dripped, second] = [open(), open(), open()];
      half.socket.write(HALF);
      dripped.socket.write(HALF);
      const drip = setInterval(() => dripped.socket.write("x: y\r\n"), 100);
      second.socket.write(HALF + REST + HALF);
      const times = await Promise.all([half, dripped, second].map(closedAfterMs));
      clearInterval(drip);
      times.forEach((ms) => {
        expect(ms).to.be.within(HEADER_TIMEOUT_MS, HEADER_TIMEOUT_MS + MARGIN_MS);
      });
      [half, dripped, second].forEach(({ received }) => expect(received).to.contain(" 408 "));
      expect(second.responses).to.equal(1);
    });
  });

  it("keeps a new connection idle for as long as one that was used, and then times its head", async () => {
    await withServer(async (open) => {
      const caller = open();
      await sleep(HEADER_TIMEOUT_MS + MARGIN_MS);
      expect(caller.isClosed).to.equal(false);
      caller.socket.write(HALF + REST);
      await sleep(200);
      expect(caller.responses).to.equal(1);
      const late = open();
      await sleep(HEADER_TIMEOUT_MS + MARGIN_MS);
      late.socket.write(HALF);
      const ms = await closedAfterMs(late);
      expect(ms).to.be.within(HEADER_TIMEOUT_MS, HEADER_TIMEOUT_MS + MARGIN_MS);
    });
  });

  it("responds to a request whose head arrived in time while the daemon was stalled", async () => {
    await withServer(async (open) => {
      const caller = open();
      caller.socket.write(HALF);
      await sleep(100);
      caller.socket.write(REST);
      blockEventLoop(HEADER_TIMEOUT_MS + MARGIN_MS);
      await sleep(200);
      expect(caller.received).to.match(/^HTTP\/1.1 200 /);
    });
  });

  it("ends a half head only after the responses to the requests before it", async () => {
    await withServer(async (open) => {
      const caller = open();
      const workMs = 2 * HEADER_TIMEOUT_MS + MARGIN_MS;
      caller.socket.write(HALF.replace("x", String(workMs)) + REST + HALF);
      await sleep(workMs - 200);
      expect(caller.isClosed).to.equal(false);
      await closedAfterMs(caller);
      expect(caller.received).to.match(/^HTTP\/1.1 200 .*HTTP\/1.1 408 /s);
    });
  });

  it("rejects a head with more bytes than the manifest allows", async () => {
    await withServer(async (open) => {
      const caller = open();
      const statuses = () =>
        [...caller.received.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, code]) => code);
      caller.socket.write(requestOf(HEADER_BYTES));
      await sleep(100);
      expect(statuses()).to.deep.equal(["200"]);
      caller.socket.write(requestOf(HEADER_BYTES + 1) + requestOf(HEADER_BYTES));
      await sleep(100);
      expect(statuses()).to.deep.equal(["200", "431", "200"]);
      // Node.js keeps no more than 2,000 headers by default.
      caller.socket.write(HALF + "a:\r\n".repeat(10_000) + REST);
      await sleep(200);
      expect(statuses().slice(3)).to.deep.equal(["431"]);
    });
  });

  it("closes a connection with malformed input also if the caller keeps it open", async () => {
    await withServer(async (open, unread) => {
      const caller = open({ allowHalfOpen: true });
      caller.socket.write("no request at all\r\n\r\n");
      await sleep(3_000);
      expect(caller.received).to.contain(" 400 ");
      expect(unread()).to.equal(1);
    });
  });
});

describe("caller server: callers that read slowly", () => {
  const body = Buffer.alloc(40_000_000);

  // Guards against callers that take up the memory for bodies for good.
  it("ends a response of which nothing is read for the idle time, and no other", async () => {
    const dispatcher = {
      dispatch: () => Promise.resolve({ head: { status: 200, headers: [] }, body }),
    };
    const port = await findFreePort();
    const server = await listenForCallers(dispatcher as unknown as Dispatcher, {
      port,
      limits: { idleTimeoutMs: 100 },
    });
    const [stalled, slow] = [new CallerSocket(port), new CallerSocket(port)];
    let received = 0;
    slow.socket.on("data", (part) => {
      received += part.length;
      slow.socket.pause();
      setTimeout(() => slow.socket.resume(), received < 16_000_000 ? 20 : 0);
    });
    [stalled, slow].forEach(({ socket }) => socket.write(HALF + REST));
    stalled.socket.pause();
    try {
      await sleep(5_000);
      expect(server.open).to.equal(1);
      while (received < body.length && !slow.isClosed) {
        await sleep(20);
      }
      expect(received).to.be.at.least(body.length);
    } finally {
      [stalled, slow].forEach(({ socket }) => socket.destroy());
      await server.close({ timeoutMs: 0 });
    }
  });
});
