import { connect } from "node:net";
import { expect } from "chai";
import { findFreePort } from "@bulrushwood/stand_ins";
import { sleep } from "@bulrushwood/types";
import { handleReadiness, SideServer } from "./side_servers.ts";

const HOST = "127.0.0.1";
const CONNECTIONS_MAX = 10;

describe("side servers", () => {
  // Guards against a readiness check that fails while others keep connections open.
  it("respond while many connections that carry no request are open", async () => {
    const port = await findFreePort();
    const connectionLimit = { max: () => CONNECTIONS_MAX, onClosed: () => {} };
    const options = { log: () => {}, connectionLimit };
    const server = await SideServer.listen(
      { host: HOST, port },
      handleReadiness(() => true),
      options,
    );
    const sockets = Array.from({ length: 50 }, () => connect(port, HOST).on("error", () => {}));
    try {
      await sleep(200);
      expect(sockets.filter(({ closed }) => !closed).length).to.be.at.most(CONNECTIONS_MAX);
      const response = await fetch(`http://${HOST}:${port}/readyz`);
      expect(response.status).to.equal(200);
    } finally {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    }
  });
});
