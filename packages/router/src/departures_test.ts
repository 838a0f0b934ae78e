import { expect } from "chai";
import { type ServerReport, ServerState } from "@bulrushwood/deployment";
import { KeyedFollower, SYSTEM_TOPIC } from "@bulrushwood/ledger_store";
import { KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { Departures } from "./departures.ts";
import { ServerWatch } from "./server_watch.ts";

function reportOf(life: { id: string; bornMs: number }, sequence: number): ServerReport {
  return {
    ...life,
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

/** What one life of a daemon knows of its server. */
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

const LIFE = { id: "s1", bornMs: 5 };

describe("a daemon that starts anew", () => {
  for (
    const [name, leave] of [
      ["said farewell", (watch: ServerWatch) => watch.apply({ kind: "farewell", id: LIFE.id })],
      ["was draining", (watch: ServerWatch) => {
        const report = { ...reportOf(LIFE, 2), state: ServerState.Draining };
        return watch.apply({ kind: "report", report });
      }],
    ] as const
  ) {
    it(`does not use a server again that ${name}, because of a late report`, async () => {
      const service = new KeyedStoreService({ sleep });
      const earlier = await startDaemon(service);
      earlier.watch.apply({ kind: "report", report: reportOf(LIFE, 1) });
      expect(earlier.watch.ready?.id).to.equal(LIFE.id);
      leave(earlier.watch);
      await sleep(50);
      await earlier.close();
      const { watch, close } = await startDaemon(service);
      watch.apply({ kind: "report", report: reportOf(LIFE, 1) });
      expect(watch.ready).to.equal(undefined);
      expect(watch.leavingSince, "no time is left for new work").to.equal(Number.NEGATIVE_INFINITY);
      await close();
    });
  }

  it("uses the next life under the same id", async () => {
    const service = new KeyedStoreService({ sleep });
    const earlier = await startDaemon(service);
    earlier.watch.apply({ kind: "report", report: reportOf(LIFE, 1) });
    earlier.watch.apply({ kind: "farewell", id: LIFE.id });
    await sleep(50);
    await earlier.close();
    const { watch, close } = await startDaemon(service);
    watch.apply({ kind: "report", report: reportOf({ ...LIFE, bornMs: 6 }, 1) });
    expect(watch.ready?.bornMs).to.equal(6);
    await close();
  });
});
