import { Buffer } from "node:buffer";
import { expect } from "chai";
import { type ServerReport, ServerState } from "@bulrushwood/deployment";
import { SYSTEM_TOPIC } from "@bulrushwood/ledger_store";
import { KeyedStoreService } from "@bulrushwood/stand_ins";
import { sleep } from "@bulrushwood/types";
import { startDepartures } from "./departures_fixture.ts";
import type { ServerWatch } from "./server_watch.ts";

function reportOf(identity: { id: string; bornMs: number }, sequence: number): ServerReport {
  return {
    ...identity,
    address: "10.0.0.1:80",
    service: "s",
    dataCentre: "a",
    slots: 4,
    state: ServerState.Ready,
    sequence,
    coldMs: 0,
    held: [],
    released: [],
  };
}

function startDaemon(service: KeyedStoreService) {
  return startDepartures(service, { reportEveryMs: 60_000 });
}

const IDENTITY = { id: "s1", bornMs: 5 };

describe("departures after a restart of the daemon", () => {
  for (
    const [name, leave] of [
      [
        "sent a farewell",
        (watch: ServerWatch) => watch.apply({ kind: "farewell", id: IDENTITY.id }),
      ],
      ["was draining", (watch: ServerWatch) => {
        const report = { ...reportOf(IDENTITY, 2), state: ServerState.Draining };
        return watch.apply({ kind: "report", report });
      }],
    ] as const
  ) {
    it(`does not accept a late report of a server that ${name}`, async () => {
      const service = new KeyedStoreService({ sleep });
      const previous = await startDaemon(service);
      previous.watch.apply({ kind: "report", report: reportOf(IDENTITY, 1) });
      expect(previous.watch.ready?.id).to.equal(IDENTITY.id);
      leave(previous.watch);
      await sleep(50);
      await previous.close();
      const { watch, close } = await startDaemon(service);
      watch.apply({ kind: "report", report: reportOf(IDENTITY, 1) });
      expect(watch.ready).to.equal(undefined);
      expect(watch.leavingSince, "no time is left for new work").to.equal(Number.NEGATIVE_INFINITY);
      await close();
    });
  }

  it("accepts the next incarnation with the same id", async () => {
    const service = new KeyedStoreService({ sleep });
    const previous = await startDaemon(service);
    previous.watch.apply({ kind: "report", report: reportOf(IDENTITY, 1) });
    previous.watch.apply({ kind: "farewell", id: IDENTITY.id });
    await sleep(50);
    await previous.close();
    const { watch, close } = await startDaemon(service);
    watch.apply({ kind: "report", report: reportOf({ ...IDENTITY, bornMs: 6 }, 1) });
    expect(watch.ready?.bornMs).to.equal(6);
    await close();
  });

  it("does not accept a late report of a server whose farewell came before its first report", async () => {
    const service = new KeyedStoreService({ sleep });
    const previous = await startDaemon(service);
    previous.watch.apply({ kind: "farewell", id: IDENTITY.id });
    expect(await previous.departures.awaitStored({ ms: 500 })).to.equal(true);
    await previous.close();
    const { watch, close } = await startDaemon(service);
    watch.apply({ kind: "report", report: reportOf(IDENTITY, 1) });
    expect(watch.ready).to.equal(undefined);
    watch.apply({ kind: "report", report: reportOf({ ...IDENTITY, bornMs: Date.now() + 100 }, 1) });
    expect(watch.ready?.sequence, "the next life is ready").to.equal(1);
    await close();
  });

  // Guards against an append without a response that takes effect after the next departure was stored.
  it("writes the newest departure again after the store took an earlier one late", async () => {
    const service = new KeyedStoreService({ sleep });
    const previous = await startDaemon(service);
    const next = { id: "s2", bornMs: 6 };
    previous.watch.apply({ kind: "report", report: reportOf(next, 1) });
    previous.watch.apply({ kind: "farewell", id: next.id });
    await sleep(50);
    const value = Buffer.from(JSON.stringify(IDENTITY));
    const late = { key: "left/10.0.0.1:7000", value };
    await service.connect().append(SYSTEM_TOPIC, late, { timeoutMs: 500 });
    await sleep(50);
    await previous.close();
    const { watch, close } = await startDaemon(service);
    watch.apply({ kind: "report", report: reportOf(next, 1) });
    expect(watch.ready).to.equal(undefined);
    await close();
  });
});
