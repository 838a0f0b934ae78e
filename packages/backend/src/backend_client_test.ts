import { Buffer } from "node:buffer";
import { createServer, type Socket } from "node:net";
import { expect } from "chai";
import { streamBody } from "@bulrushwood/http_client";
import { findFreePort } from "@bulrushwood/stand_ins";
import type { AnnouncedServer } from "./announcements.ts";
import { BackendClient } from "./backend_client.ts";
import { BackendErrorKind } from "./errors.ts";

const HOST = "127.0.0.1";
const REJECTION = "HTTP/1.1 503 No\r\nbulrushwood-refused: full\r\ncontent-length: 0\r\n\r\n";
/** Outcome of a response whose body ended early. */
const BROKEN_OFF = "broken off";
const SUCCESS = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nrun";

/** Sends requests one after the other to a server that handles the numbered requests by `handle`. */
async function sendAll(requests: number, handle: (socket: Socket, count: number) => void) {
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
    const body = await streamBody(sent.value).toArray().catch(() => undefined);
    return body === undefined ? BROKEN_OFF : Buffer.concat(body).toString();
  };
  try {
    const outcomes = [];
    for (let request = 1; request <= requests; request++) {
      outcomes.push(await send(`r${request}`));
    }
    return outcomes;
  } finally {
    client.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}

describe("client of a backend server", () => {
  it("does not take an earlier rejection that is repeated for that of the next request", async () => {
    let rejectedOn: Socket | undefined;
    const outcomes = await sendAll(2, (socket, count) => {
      if (count === 1) {
        rejectedOn = socket;
        socket.write(REJECTION);
      } else {
        socket.write((socket === rejectedOn ? REJECTION : "") + SUCCESS);
      }
    });
    expect(outcomes).to.deep.equal([BackendErrorKind.Rejected, "run"]);
  });

  // Guards against a part of a response that callers get as a whole one.
  it("never takes a response without a length for complete whose connection was reset", async () => {
    const unframed = "HTTP/1.1 200 OK\r\n\r\nrun";
    const outcomes = await sendAll(40, (socket, count) => {
      if (count % 2 === 0) {
        socket.end(unframed);
      } else {
        socket.write(unframed, () => socket.resetAndDestroy());
      }
    });
    expect(outcomes).to.deep.equal(
      outcomes.map((_, index) => index % 2 === 0 ? BROKEN_OFF : "run"),
    );
  });

  const CHUNKED = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nrun\r\n0\r\n\r\n";
  for (const [framing, whole] of [["a length", SUCCESS], ["chunks", CHUNKED]]) {
    it(`never takes a response with ${framing} for complete that was cut at any byte`, async () => {
      const outcomes = await sendAll(
        whole.length,
        (socket, count) => socket.end(whole.slice(0, count - 1)),
      );
      const headEnd = whole.indexOf("\r\n\r\n") + 4;
      expect(outcomes).to.deep.equal(
        outcomes.map((_, cut) => cut < headEnd ? BackendErrorKind.NoResponse : BROKEN_OFF),
      );
    });
  }
});
