import { Buffer } from "node:buffer";
import { expect } from "chai";
import { findFreePort } from "@bulrushwood/stand_ins";
import { sleep } from "@bulrushwood/types";
import { CallerSocket, listenForCallers } from "./caller_server_fixture.ts";
import type { Dispatcher } from "./dispatcher.ts";

const CONNECTIONS_MAX = 20;
const WORK_MS = 300;

const REQUEST = "GET /x HTTP/1.1\r\nhost: h\r\nid: r1\r\n\r\n";

/** Starts a server with few connections, which responds after a time. */
async function withServer(test: (open: () => CallerSocket) => Promise<void>): Promise<void> {
  const dispatcher = {
    dispatch: async () => {
      await sleep(WORK_MS);
      return { head: { status: 200, headers: [] }, body: Buffer.from("body") };
    },
  };
  const port = await findFreePort();
  const server = await listenForCallers(dispatcher as unknown as Dispatcher, {
    port,
    connectionsMax: CONNECTIONS_MAX,
  });
  const callers: CallerSocket[] = [];
  try {
    await test(() => {
      callers.push(new CallerSocket(port));
      return callers.at(-1)!;
    });
  } finally {
    callers.forEach(({ socket }) => socket.destroy());
    await server.close({ timeoutMs: 0 });
  }
}

describe("caller server: many connections", () => {
  // Guards against requests that fail for lack of descriptors.
  it("closes idle connections, and none with a request that is read or has no response", async () => {
    await withServer(async (open) => {
      const [kept, half] = [open(), open()];
      kept.socket.write(REQUEST);
      await sleep(WORK_MS + 50);
      expect(kept.responses).to.equal(1);
      kept.socket.write(REQUEST);
      half.socket.write("GET /x HTTP/1.1\r\nhost: h\r\n");
      await sleep(50);
      const idle = Array.from({ length: 5 * CONNECTIONS_MAX }, open);
      await sleep(100);
      const last = open();
      last.socket.write(REQUEST);
      half.socket.write("id: r2\r\n\r\n");
      await sleep(WORK_MS + 100);
      const remaining = idle.filter(({ isClosed }) => !isClosed).length;
      expect(remaining).to.be.within(CONNECTIONS_MAX / 2, CONNECTIONS_MAX);
      expect([kept, half, last].map(({ responses }) => responses)).to.deep.equal([2, 1, 1]);
      expect([kept, half].some(({ isClosed }) => isClosed)).to.equal(false);
    });
  });

  it("closes new connections at once where all others have open requests", async () => {
    await withServer(async (open) => {
      const busy = Array.from({ length: CONNECTIONS_MAX }, open);
      busy.forEach((caller) => caller.socket.write(REQUEST));
      await sleep(100);
      const refused = Array.from({ length: 10 }, open);
      await sleep(100);
      expect(refused.filter(({ isClosed }) => !isClosed).length).to.equal(0);
      await sleep(WORK_MS);
      expect(busy.filter(({ responses }) => responses !== 1).length).to.equal(0);
    });
  });
});
