import { expect } from "chai";
import { type DeploymentSettings, type ServerReport, ServerState } from "@bulrushwood/deployment";
import { emptyTable } from "@bulrushwood/ledger_store";
import type { GrantManager } from "@bulrushwood/lease_ranges";
import type { Heartbeats } from "@bulrushwood/membership_beats";
import { LoadMeter } from "@bulrushwood/planner_ranges";
import { now } from "@bulrushwood/types";
import type { Runner } from "./runner.ts";
import { ServerView } from "./server_view.ts";
import type { ServerWatch } from "./server_watch.ts";

const REPORT: Partial<ServerReport> = { id: "s1", bornMs: 1, slots: 4, state: ServerState.Ready };

/** Creates the view of a daemon whose server has `openBodies` requests with bodies under way. */
function createView(
  options: { meter?: LoadMeter; openBodies?: number; requestsPerSecond?: number } = {},
) {
  const { meter = new LoadMeter(now), openBodies = 0, requestsPerSecond } = options;
  return new ServerView({
    self: "d1",
    settings: {} as DeploymentSettings,
    heartbeats: {} as Heartbeats,
    watch: {
      report: REPORT,
      isReachable: true,
      isCold: false,
      recentPerSecond: requestsPerSecond,
    } as ServerWatch,
    runner: {
      meter,
      measure: () => ({ rate: 5, serviceMs: 20, running: 1, waiting: 2, slowness: 1 }),
    } as Runner,
    grantManager: {
      ownRanges: [{ first: 0, last: 99, owner: "d1", epoch: 1, handover: null }],
    } as unknown as GrantManager,
    openBodies: () => openBodies,
    table: emptyTable,
    isKeyed: () => true,
    isEnding: () => false,
    isEvacuated: () => false,
  });
}

describe("server view", () => {
  it("does not scan all keys for heartbeats to daemons that do not plan", () => {
    let cuts = 0;
    const meter = new LoadMeter(now);
    const cut = meter.cut.bind(meter);
    meter.cut = (spans) => {
      cuts++;
      return cut(spans);
    };
    const view = createView({ meter });
    expect(view.status({ withPieces: false })?.load).to.include({ rate: 5, running: 1 });
    expect(cuts).to.equal(0);
    expect(view.status({ withPieces: true })?.load.pieces).to.deep.equal([
      { first: 0, last: 99, rate: 0 },
    ]);
    view.status({ withPieces: true });
    expect(cuts).to.equal(1);
  });

  it("reports uploads that wait for the link as load, so that other servers get the next ones", () => {
    const { load } = createView({ openBodies: 3 }).status({ withPieces: false })!;
    expect(load.waiting).to.equal(2 + 3);
  });

  it("reports the request limit of the server, also to the local choice", () => {
    const view = createView({ requestsPerSecond: 12.4 });
    expect(view.status({ withPieces: false })?.requestsPerSecond).to.equal(12.4);
    expect(view.loadOf("d1")?.requestsPerSecond).to.equal(12.4);
  });
});
