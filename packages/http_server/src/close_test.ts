import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { expect } from "chai";
import { blockEventLoop } from "@bulrushwood/stand_ins";
import { sleep } from "@bulrushwood/types";
import { closeGracefully, limitConnections } from "./mod.ts";

const HOST = "127.0.0.1";
const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const STALL_MS = 50;
const CLOSE_MS = 5_000;
const LONG_BODY_BYTES = 32_000_000;
/** Connections that wait to be accepted. */
const WAITING = 30;

/** Sends a request on a new connection; resolves to its response, or to the code of the error that ended it. */
function send(port: number): Promise<string> {
  return new Promise((resolve) => {
    let received = "";
    const socket = connect(port, HOST);
    socket.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    socket.on("data", (part) => received += part.toString());
    socket.on("error", (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
    socket.on("close", () => resolve(received.split("\r\n")[0]));
  });
}

describe("the graceful close of a server", () => {
  async function listen(body: string | Buffer = "ok") {
    const server = createServer((_request, response) => response.end(body));
    const connections = limitConnections(server, { max: () => Infinity, onClosed: () => {} });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const options = { timeoutMs: CLOSE_MS, respondAfterMs: CLOSE_MS, respondToOpen: () => {} };
    return { server, close: () => closeGracefully(server, connections, options) };
  }

  async function connectTo(server: Server): Promise<Socket> {
    const { port } = server.address() as { port: number };
    const socket = connect(port, HOST);
    await new Promise<void>((resolve) => socket.once("connect", resolve));
    return socket;
  }

  // Guards against resets of requests that arrived while the event loop was blocked.
  it("responds to a request that arrived on an idle connection during a stall before the close", async () => {
    const { server, close } = await listen();
    const socket = await connectTo(server);
    let received = "";
    const firstResponse = new Promise((resolve) => socket.once("data", resolve));
    socket.on("data", (data) => received += data.toString());
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => {});
    socket.write(REQUEST);
    await firstResponse;
    socket.write(REQUEST);
    blockEventLoop(STALL_MS);
    await close();
    await closed;
    expect(received.match(/HTTP\/1.1 200/g)).to.have.length(2);
  });

  // Guards against resets of connections that wait to be accepted after a stall.
  it("responds to requests on connections that wait to be accepted at the close", async () => {
    const { server, close } = await listen();
    const { port } = server.address() as { port: number };
    const sockets = Array.from({ length: WAITING }, () => connect(port, HOST));
    const responded = sockets.map((socket) =>
      new Promise<boolean>((resolve) => {
        socket.once("data", () => resolve(true));
        socket.once("close", () => resolve(false));
        socket.on("error", () => {});
        socket.write(REQUEST);
      })
    );
    await Promise.all(
      sockets.map((socket) => new Promise<void>((resolve) => socket.once("connect", resolve))),
    );
    await close();
    expect((await Promise.all(responded)).filter(Boolean)).to.have.length(WAITING);
  });

  // Guards against responses that are cut when they are written and not all sent.
  it("sends a long response whole to a caller that reads slowly, and closes idle connections", async () => {
    const { server, close } = await listen(Buffer.alloc(LONG_BODY_BYTES));
    const [socket, idle] = [await connectTo(server), await connectTo(server)];
    idle.write("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n");
    await new Promise((resolve) => idle.once("data", resolve));
    const idleClosed = new Promise((resolve) => idle.resume().once("close", resolve));
    let received = 0;
    const closed = new Promise((resolve) => socket.once("close", resolve).on("error", () => {}));
    const begun = new Promise((resolve) => socket.once("data", resolve));
    socket.on("data", (part) => received += part.length);
    socket.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    await begun;
    socket.pause();
    const ended = close();
    await idleClosed;
    await sleep(STALL_MS);
    socket.resume();
    await Promise.all([ended, closed]);
    expect(received).to.be.above(LONG_BODY_BYTES);
  });

  it("responds on connections that are opened just before the close", async () => {
    const { server, close } = await listen();
    const { port } = server.address() as { port: number };
    const sent = Array.from({ length: WAITING }, () => send(port));
    // The connections are opened in the next tick, and none is accepted before the next poll.
    await new Promise((resolve) => process.nextTick(resolve));
    await close();
    expect(await Promise.all(sent)).to.deep.equal(Array(WAITING).fill("HTTP/1.1 200 OK"));
  });
});
