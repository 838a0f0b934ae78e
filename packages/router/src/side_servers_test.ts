import { Buffer } from "node:buffer";
import { request as sendRequest } from "node:http";
import { expect } from "chai";
import { Result } from "true-myth";
import {
  type ServerReport,
  ServerState,
  type ServerWire,
  type StatusReport,
} from "@bulrushwood/deployment";
import { SYSTEM_TOPIC } from "@bulrushwood/ledger_store";
import { AppendFault, findFreePort, KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { startDepartures } from "./departures_fixture.ts";
import { handleReports, SideServer } from "./side_servers.ts";

const HOST = "127.0.0.1";
const REPORT_EVERY_MS = 870;
/** Time from sending a report after which its acknowledgement is ignored. */
const ACK_MS_MAX = 1_000;
const REPORT: ServerReport = {
  id: "s1",
  bornMs: 5,
  address: "10.0.0.1:80",
  service: "s",
  dataCentre: "a",
  slots: 4,
  state: ServerState.Ready,
  sequence: 1,
  coldMs: 0,
  held: [],
  released: [],
};
const FAREWELL: StatusReport = { kind: "farewell", id: REPORT.id };
const DRAINING: StatusReport = {
  kind: "report",
  report: { ...REPORT, state: ServerState.Draining, sequence: 2 },
};

/** Carries status reports as JSON. */
const WIRE = {
  readReport: (_method: string, _path: string, body: Buffer) =>
    Result.ok(JSON.parse(body.toString())),
  reportResponse: () => Buffer.from("{}"),
} as unknown as ServerWire;

/** Starts the part of a daemon that takes the reports of its server. */
async function startDaemon(service: KeyedStoreService) {
  const daemon = await startDepartures(service, { reportEveryMs: REPORT_EVERY_MS });
  const { watch, departures } = daemon;
  const port = await findFreePort(HOST);
  const handler = handleReports(WIRE, {
    watch,
    respond: undefined,
    hasReadDepartures: () => true,
    awaitDeparture: () => departures.awaitStored({ ms: REPORT_EVERY_MS * 0.8 }),
    log: () => {},
  });
  const connectionLimit = { max: () => 100, onClosed: () => {} };
  const endpoint = { host: HOST, port };
  const side = await SideServer.listen(endpoint, handler, { log: () => {}, connectionLimit });
  const close = async () => {
    side.close();
    await daemon.close();
  };
  /** Sends a status report; resolves to the status of the response. */
  const send = (status: StatusReport) =>
    new Promise<number>((resolve, reject) => {
      const call = sendRequest({ host: HOST, port, method: "PUT" }, (response) => {
        response.resume();
        resolve(response.statusCode!);
      });
      call.on("error", reject);
      call.end(JSON.stringify(status));
    });
  return { watch, send, close };
}

describe("acknowledgements of reports", () => {
  for (const [name, leave] of [["a farewell", FAREWELL], ["draining", DRAINING]] as const) {
    it(`stores the leave by ${name} before it acknowledges it`, async () => {
      const service = new KeyedStoreService({ sleep, callMs: 50 });
      const { watch, send, close } = await startDaemon(service);
      expect(await send({ kind: "report", report: REPORT })).to.equal(200);
      const acknowledged = send(leave);
      while (watch.ready !== undefined) {
        await sleep(1);
      }
      expect(service.endOf(SYSTEM_TOPIC), "takes no new requests before it is stored").to.equal(0);
      expect(await acknowledged).to.equal(200);
      expect(service.endOf(SYSTEM_TOPIC)).to.equal(1);
      await close();
    });

    it(`does not acknowledge the leave by ${name} until the store is back`, async () => {
      const service = new KeyedStoreService({ sleep });
      const { watch, send, close } = await startDaemon(service);
      await send({ kind: "report", report: REPORT });
      service.isDown = true;
      const sentAt = now();
      expect(await send(leave)).to.equal(503);
      expect(now() - sentAt).to.be.below(ACK_MS_MAX);
      expect(watch.ready, "takes no new requests meanwhile").to.equal(undefined);
      service.isDown = false;
      expect(await send(leave)).to.equal(200);
      expect(service.endOf(SYSTEM_TOPIC)).to.equal(1);
      await close();
    });
  }

  it("acknowledges a leave that the store has, although its response was lost", async () => {
    const chooseFault = () => AppendFault.LostResponse;
    const service = new KeyedStoreService({ sleep, chooseFault });
    const { send, close } = await startDaemon(service);
    await send({ kind: "report", report: REPORT });
    expect(await send(FAREWELL)).to.equal(200);
    expect(service.endOf(SYSTEM_TOPIC)).to.equal(1);
    await close();
  });
});
