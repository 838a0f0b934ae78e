import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import type { Order, ServerWire } from "@bulrushwood/deployment";
import { OrderChannel } from "@bulrushwood/lease_ranges";
import { callHttp } from "@bulrushwood/http_client";
import { now, sleep } from "@bulrushwood/types";
import { Buffer } from "node:buffer";
import { GrantConnections } from "./grant_connections.ts";

const HOST = "127.0.0.1";
const SERVER = { id: "s1", bornMs: 1 };
const GRANT_MS = 1_500;
/** Time for which the second grant is held up at the server. */
const HELD_UP_MS = 700;
const KEYS = { first: 0, last: 9, epoch: 1 };

function toOrder(path: string): Order {
  return { method: "POST", path, headers: {}, body: Buffer.from("{}") };
}

const WIRE = {
  grant: () => toOrder("/grant"),
  release: () => toOrder("/release"),
  readHandover: (headers: Record<string, string>) => headers.handover,
  readHealth: (headers: Record<string, string>) => headers.server,
  isOutdated: (status: number) => status === 409,
} as unknown as ServerWire;

/** Starts a server that holds its second grant up, and sends a second copy of its response to the first one then. */
async function startServer() {
  const takenAt: number[] = [];
  let grants = 0;
  const server = createServer((request, response) => {
    request.resume();
    if (request.url === "/health") {
      response.writeHead(200, { server: SERVER.id }).end();
    } else if (request.url === "/release") {
      response.writeHead(200, { handover: "token" }).end();
    } else if (++grants !== 2) {
      takenAt.push(now());
      response.writeHead(200, { "content-length": 0 }).end();
    } else {
      response.socket?.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      setTimeout(() => {
        takenAt.push(now());
        response.end();
      }, HELD_UP_MS);
    }
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { endpoint: { host: HOST, port }, takenAt, close };
}

describe("grants that are held up", () => {
  // Guards against keys that are given away before the server has taken its last grant for them.
  it("end before a release, also if a second copy of an earlier response came in place of theirs", async () => {
    const server = await startServer();
    const { endpoint, takenAt } = server;
    const connections = new GrantConnections({
      endpoint,
      wire: WIRE,
      healthPath: () => "/health",
      reportedAt: now,
    });
    const grant = { ...KEYS, until: 0, isConfirmed: false };
    const channel = new OrderChannel({
      now,
      sleep,
      grants: () => [grant],
      server: () => SERVER,
      grantableMs: () => GRANT_MS,
      handoverOf: () => undefined,
      earlierGrantsEndBy: () => Number.NEGATIVE_INFINITY,
      hasServerEnded: () => Promise.resolve(false),
      onChanged: () => {},
      onOutdated: () => Promise.resolve(),
      onFailed: () => {},
    }, {
      wire: WIRE,
      connect: (incarnation) => connections.connect(incarnation),
      sendRelease: (order, options) =>
        callHttp({ ...endpoint, ...order, ...options, agent: false }),
    });
    channel.renew();
    await sleep(300);
    expect(takenAt).to.have.length(1);
    channel.renew();
    const renewedAt = now();
    await sleep(50);
    await channel.release(KEYS, { isServerLost: false });
    const releasedAt = now();
    await sleep(HELD_UP_MS);
    expect(takenAt.length).to.be.at.least(2);
    const hasEnded = releasedAt > renewedAt + GRANT_MS;
    expect(hasEnded || releasedAt > takenAt[1]).to.equal(true);
    channel.close();
    connections.close();
    server.close();
  });
});
