import { createServer } from "node:http";
import { connect } from "node:net";
import process from "node:process";
import { expect } from "chai";
import { closeGracefully } from "./mod.ts";

const HOST = "127.0.0.1";
/** Connections that wait to be accepted. */
const WAITING = 30;
const CLOSE_TIMEOUT_MS = 5_000;

/** Sends a request on a new connection; resolves to its response, or to the code of the error that ended it. */
function send(port: number): Promise<string> {
  return new Promise((resolve) => {
    let received = "";
    const socket = connect(port, HOST);
    socket.write("GET / HTTP/1.1\r\nHost: despacho\r\nConnection: close\r\n\r\n");
    socket.on("data", (part) => received += part.toString());
    socket.on("error", (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket.on("close", () => resolve(received.split("\r\n")[0]));
  });
}

describe("a server that closes gracefully", () => {
  // Guards against requests that are reset because their connections were not accepted yet.
  it("responds on connections that wait to be accepted", async () => {
    const server = createServer((_request, response) => response.end("ok"));
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const { port } = server.address() as { port: number };
    const sent = Array.from({ length: WAITING }, () => send(port));
    // The connections are opened in the next tick, and none is accepted before the next poll.
    await new Promise((resolve) => process.nextTick(resolve));
    await closeGracefully(server, {
      timeoutMs: CLOSE_TIMEOUT_MS,
      respondAfterMs: CLOSE_TIMEOUT_MS,
      respondToOpen: () => {},
    });
    expect(await Promise.all(sent)).to.deep.equal(Array(WAITING).fill("HTTP/1.1 200 OK"));
  });
});
