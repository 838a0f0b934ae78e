import { connect, type Socket } from "node:net";
import { expect } from "chai";
import { Shutdown } from "@bulrushwood/admission";
import type { Ledger } from "@bulrushwood/ledger";
import type { RoutedResponse } from "@bulrushwood/routing";
import type { DaemonSettings } from "@bulrushwood/settings";
import { findFreePort } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { CallerServer, DEADLINE_HEADER, OUTCOME_HEADER } from "./caller_server.ts";
import type { Ingress } from "./ingress.ts";
import type { Metrics } from "./metrics.ts";

const HOST = "127.0.0.1";
const SHUTDOWN_MS = 1_000;
const CONFIGURATION = {
  tenantHeader: "x-tenant",
  pools: { almacen: { keyed: false, shards: 1 } },
  classes: {
    booking: {
      target: { share: 0.99, withinMs: 500 },
      idempotent: false,
      deadlineMs: 20_000,
    },
  },
  routes: [{ method: "POST", path: "/", pool: "almacen", class: "booking" }],
};

interface Scenario {
  socket: Socket;
  /** All bytes that the caller has received. */
  received: () => string;
  /** Requests that were passed on. */
  sent: () => number;
  /** Stops the server; resolves when it has closed. */
  stop: () => Promise<void>;
}

/** Runs a test with a caller server whose requests run for `workMs`. */
async function runScenario(
  options: { workMs: number },
  test: (scenario: Scenario) => Promise<void>,
): Promise<void> {
  const port = await findFreePort();
  let sent = 0;
  let received = "";
  const shutdown = new Shutdown({ now, shutdownMs: SHUTDOWN_MS });
  const callerServer = await CallerServer.listen({
    ledger: { configuration: { configuration: CONFIGURATION } } as unknown as Ledger,
    ingress: {
      handle: async (): Promise<RoutedResponse> => {
        sent++;
        await sleep(options.workMs);
        return { head: { status: 200, headers: [] }, body: undefined };
      },
    } as unknown as Ingress,
    metrics: { observe: () => {}, countMalformed: () => {} } as unknown as Metrics,
    settings: {
      limits: { headerBytes: 16_384, bodyBytes: 1_000, keyBytes: 100 },
    } as unknown as DaemonSettings,
    shardOf: () => 0,
    idPrefix: "i",
    log: () => {},
    shutdown,
  }, { host: HOST, port });
  const socket = connect(port, HOST);
  socket.on("data", (part) => received += part.toString()).on("error", () => {});
  const stop = () => {
    shutdown.begin();
    return callerServer.close({ timeoutMs: SHUTDOWN_MS });
  };
  await test({ socket, received: () => received, sent: () => sent, stop });
  socket.destroy();
}

const BODY = "booking";

function head(deadlineMs: number): string {
  const headers = `${DEADLINE_HEADER}: ${deadlineMs}\r\ncontent-length: ${BODY.length}`;
  return `POST / HTTP/1.1\r\nhost: h\r\n${headers}\r\n\r\n`;
}

describe("caller server: planned stop", () => {
  for (const [deadlineMs, isServed] of [[20_000, false], [750, true]] as const) {
    const decision = isServed ? "runs" : "rejects at once";
    it(`${decision} a request whose body arrives during the stop and whose deadline is ${deadlineMs} ms`, async () => {
      await runScenario({ workMs: 100 }, async ({ socket, received, sent, stop }) => {
        socket.write(head(deadlineMs));
        await sleep(50);
        const stopped = stop();
        await sleep(SHUTDOWN_MS * 0.4);
        socket.write(BODY);
        await stopped;
        await sleep(50);
        expect(received()).to.match(isServed ? /^HTTP\/1.1 200 / : /^HTTP\/1.1 503 /);
        expect(received().includes(`${OUTCOME_HEADER}: not-run`)).to.equal(!isServed);
        expect(sent()).to.equal(isServed ? 1 : 0);
      });
    });
  }

  it("responds to requests that still run at the end, before it closes their connections", async () => {
    await runScenario({ workMs: SHUTDOWN_MS * 2 }, async ({ socket, received, stop }) => {
      socket.write(head(20_000) + BODY);
      await sleep(50);
      await stop();
      await sleep(50);
      expect(received()).to.contain(`${OUTCOME_HEADER}: unknown`);
    });
  });
});
