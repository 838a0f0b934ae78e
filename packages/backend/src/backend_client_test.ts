import { Buffer } from "node:buffer";
import { createServer, type Socket } from "node:net";
import { expect } from "chai";
import { findFreePort } from "@bulrushwood/stand_ins";
import type { AnnouncedServer } from "./announcements.ts";
import { BackendClient } from "./backend_client.ts";
import { BackendErrorKind } from "./errors.ts";

const HOST = "127.0.0.1";
const REJECTION = "HTTP/1.1 503 No\r\nbulrushwood-refused: full\r\ncontent-length: 0\r\n\r\n";
const SUCCESS = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nrun";

/** Sends two requests, one after the other, to a server that handles each request on a connection by `handle`. */
async function sendTwo(handle: (socket: Socket, count: number) => void) {
  const port = await findFreePort();
  const sockets = new Set<Socket>();
  let count = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", () => handle(socket, ++count));
  });
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve));
  const client = new BackendClient(() => ({ host: HOST, port }) as AnnouncedServer, {
    connections: 1,
  });
  const send = async (id: string) => {
    const sent = await client.send({
      id,
      method: "POST",
      path: "/",
      headers: [],
      key: "k",
      deadline: performance.now() + 2_000,
      mayStart: () => true,
      body: Buffer.from("x"),
      signal: new AbortController().signal,
    });
    if (sent.isErr) {
      return sent.error.kind;
    }
    return Buffer.concat(await sent.value.toArray()).toString();
  };
  try {
    return [await send("r1"), await send("r2")];
  } finally {
    client.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}

describe("client of a backend server", () => {
  it("does not take an earlier rejection that is repeated for that of the next request", async () => {
    let rejectedOn: Socket | undefined;
    const outcomes = await sendTwo((socket, count) => {
      if (count === 1) {
        rejectedOn = socket;
        socket.write(REJECTION);
      } else {
        socket.write((socket === rejectedOn ? REJECTION : "") + SUCCESS);
      }
    });
    expect(outcomes).to.deep.equal([BackendErrorKind.Rejected, "run"]);
  });
});
