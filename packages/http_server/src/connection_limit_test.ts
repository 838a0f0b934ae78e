import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { expect } from "chai";
import { sleep } from "@bulrushwood/types";
import { type ClosedConnection, limitConnections } from "./mod.ts";

const HOST = "127.0.0.1";
const CONNECTIONS_MAX = 8;
const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

describe("the limit of a server's connections", () => {
  // Guards against new connections that are closed while others are idle.
  it("closes idle connections rather than new ones that come at once", async () => {
    const server = createServer((_request, response) => response.end("ok"));
    const closed: ClosedConnection[] = [];
    limitConnections(server, { max: () => CONNECTIONS_MAX, onClosed: (kind) => closed.push(kind) });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const { port } = server.address() as AddressInfo;
    const open = () => {
      let received = "";
      const socket = connect(port, HOST);
      socket.on("data", (part) => received += part.toString()).on("error", () => {});
      socket.write(REQUEST);
      return { socket, isServed: () => received.includes("200 OK") };
    };
    const idle = Array.from({ length: CONNECTIONS_MAX - 1 }, open);
    await sleep(100);
    const late = Array.from({ length: CONNECTIONS_MAX - 2 }, open);
    await sleep(200);
    expect(late.map(({ isServed }) => isServed())).to.deep.equal(late.map(() => true));
    expect(closed).to.not.include("new");
    [...idle, ...late].forEach(({ socket }) => socket.destroy());
    server.close();
  });
});
