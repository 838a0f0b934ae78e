import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import { expect } from "chai";
import type { ServerIdentity, ServerWire } from "@bulrushwood/deployment";
import { findFreePort, TcpProxy } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { GrantConnections } from "./grant_connections.ts";

const HOST = "127.0.0.1";
const GRANT = { method: "POST", path: "/grant", headers: {}, body: Buffer.from("{}") };
const LIMITS = { timeoutMs: 300 };

/** Incarnation of a server that records the grants and health checks that it gets. */
interface FakeServer {
  grants: number;
  checks: number;
  /** Whether grants get no response. */
  isMute: boolean;
  crash: () => Promise<void>;
  /** Closes idle connections, as a server does after a time without requests. */
  closeIdle: () => void;
}

async function startServer(id: string, port: number): Promise<FakeServer> {
  const state: FakeServer = {
    grants: 0,
    checks: 0,
    isMute: false,
    crash: () => crash(server),
    closeIdle: () => server.closeIdleConnections(),
  };
  const server = createServer((request, response) => {
    request.resume();
    if (request.url === "/health") {
      state.checks++;
      response.writeHead(200, { server: id }).end();
      return;
    }
    state.grants++;
    if (!state.isMute) {
      response.end();
    }
  });
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve));
  return state;
}

function crash(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

async function createConnections() {
  const port = await findFreePort(HOST);
  const state = { reportedAt: now(), unanswered: 0 };
  const connections = new GrantConnections({
    endpoint: { host: HOST, port },
    wire: { readHealth: (headers) => headers.server } as ServerWire,
    healthPath: () => "/health",
    reportedAt: () => state.reportedAt,
    onNoResponse: () => state.unanswered++,
  });
  /** Sends a grant for an incarnation; resolves to whether it had a response. */
  const grant = async (server: ServerIdentity) => {
    const connection = await connections.connect(server);
    const sent = await connection?.send(GRANT, LIMITS);
    connection?.release();
    return sent?.isOk ?? false;
  };
  return { connections, port, state, grant };
}

const FIRST = { id: "s1", bornMs: 1 };
const SECOND = { id: "s2", bornMs: 2 };
const FIRST_AGAIN = { id: "s1", bornMs: 2 };

describe("connections for grants", () => {
  it("are checked once for each connection, not for each grant", async () => {
    const { connections, port, grant } = await createConnections();
    const server = await startServer("s1", port);
    for (let count = 0; count < 5; count++) {
      expect(await grant(FIRST)).to.equal(true);
    }
    expect([server.checks, server.grants]).to.deep.equal([1, 5]);
    connections.close();
    await server.crash();
  });

  it("are few when many grants are sent at once, also the first ones", async () => {
    const { connections, port, grant } = await createConnections();
    const server = await startServer("s1", port);
    const sent = await Promise.all(Array.from({ length: 10 }, () => grant(FIRST)));
    expect(sent).to.deep.equal(sent.map(() => true));
    expect(server.grants).to.equal(10);
    expect(server.checks).to.be.at.most(3);
    connections.close();
    await server.crash();
  });

  it("never carry a grant to another server that has taken the address", async () => {
    const { connections, port, state, grant } = await createConnections();
    const first = await startServer("s1", port);
    expect(await grant(FIRST)).to.equal(true);
    await first.crash();
    const second = await startServer("s2", port);
    for (let count = 0; count < 3; count++) {
      expect(await grant(FIRST)).to.equal(false);
      await sleep(20);
    }
    expect(second.grants).to.equal(0);
    state.reportedAt = now();
    expect(await grant(FIRST)).to.equal(false);
    expect(await grant(SECOND)).to.equal(true);
    connections.close();
    await second.crash();
  });

  it("carry no grant to a server that started again under its id, until it reports", async () => {
    const { connections, port, state, grant } = await createConnections();
    const first = await startServer("s1", port);
    expect(await grant(FIRST)).to.equal(true);
    await first.crash();
    const again = await startServer("s1", port);
    for (let count = 0; count < 3; count++) {
      // Connections that are opened at the same time must not vouch for each other.
      expect(await Promise.all([grant(FIRST), grant(FIRST)])).to.deep.equal([false, false]);
      await sleep(20);
    }
    expect(again.grants).to.equal(0);
    state.reportedAt = now();
    expect(await grant(FIRST_AGAIN)).to.equal(true);
    connections.close();
    await again.crash();
  });

  it("carry no grant either if the server ended while its connections were idle", async () => {
    const { connections, port, grant } = await createConnections();
    const server = await startServer("s1", port);
    expect(await grant(FIRST)).to.equal(true);
    server.closeIdle();
    await sleep(50);
    expect(await grant(FIRST)).to.equal(false);
    connections.close();
    await server.crash();
  });

  // Guards against grants with epochs of before, when a server starts again behind silent connections and reports late.
  it("carry no grant to a server that started again after its connections went silent, until it reports", async () => {
    const { connections, port, state, grant } = await createConnections();
    const target = await findFreePort(HOST);
    const proxy = await TcpProxy.listen({ host: HOST, port }, { host: HOST, port: target });
    const first = await startServer("s1", target);
    expect(await grant(FIRST)).to.equal(true);
    proxy.silence();
    await first.crash();
    const again = await startServer("s1", target);
    for (let count = 0; count < 3; count++) {
      expect(await grant(FIRST)).to.equal(false);
    }
    expect(again.grants).to.equal(0);
    state.reportedAt = now();
    expect(await grant(FIRST_AGAIN)).to.equal(true);
    connections.close();
    await proxy.close();
    await again.crash();
  });

  it("are replaced after a grant without a response as soon as the server has reported", async () => {
    const { connections, port, state, grant } = await createConnections();
    const server = await startServer("s1", port);
    server.isMute = true;
    expect(await grant(FIRST)).to.equal(false);
    server.isMute = false;
    expect(await grant(FIRST)).to.equal(false);
    expect([server.checks, server.grants]).to.deep.equal([1, 1]);
    state.reportedAt = now();
    expect(await grant(FIRST)).to.equal(true);
    expect([server.checks, server.grants]).to.deep.equal([2, 2]);
    // The idle connections for requests are closed then, since they may be as silent.
    expect(state.unanswered).to.equal(1);
    connections.close();
    await server.crash();
  });

  it("are replaced at once while another one responds", async () => {
    const { connections, port, grant } = await createConnections();
    const server = await startServer("s1", port);
    const held = await connections.connect(FIRST);
    server.isMute = true;
    expect(await grant(FIRST)).to.equal(false);
    server.isMute = false;
    expect(await grant(FIRST)).to.equal(false);
    expect((await held?.send(GRANT, LIMITS))?.isOk).to.equal(true);
    expect(await grant(FIRST)).to.equal(true);
    expect([server.checks, server.grants]).to.deep.equal([3, 3]);
    held?.release();
    connections.close();
    await server.crash();
  });
});
