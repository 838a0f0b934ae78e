import { expect } from "chai";
import { type ServerReport, ServerState } from "@bulrushwood/deployment";
import { KeyedFollower, SYSTEM_TOPIC } from "@bulrushwood/ledger_store";
import { KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { Departures } from "./departures.ts";
import { ServerWatch } from "./server_watch.ts";

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

/** Starts the part of a daemon that tracks its server and stores departures. */
async function startDaemon(service: KeyedStoreService) {
  const store = service.connect();
  const options = { store, topic: SYSTEM_TOPIC, now, sleep, waitMs: 300 };
  const follower = new KeyedFollower({ ...options, onReachable: () => {} });
  const watch = new ServerWatch({ service: "s", now, reportEveryMs: 60_000 });
  const departures = new Departures({
    self: "10.0.0.1:7000",
    store,
    follower,
    watch,
    now,
    sleep,
    onCorrupt: () => {},
  });
  await follower.start();
  const close = async () => {
    departures.close();
    await follower.close();
  };
  return { watch, close };
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
});
