import { expect } from "chai";
import type { TableStore } from "@bulrushwood/ledger_store";
import type { Heartbeats } from "@bulrushwood/membership_beats";
import { now, sleep } from "@bulrushwood/types";
import { RangePlanner } from "./range_planner.ts";

const SERVICE = "despacho";

/** What one daemon hears of another. */
interface Heard {
  address: string;
  service?: string;
  hasStore?: boolean;
  isLeaving?: boolean;
  isHeard?: boolean;
}

function isPlanner(self: string, heard: Heard[], options = { mayPlan: true }): boolean {
  const peers = new Map(heard.map(({ address, service = SERVICE, ...rest }) => {
    const { hasStore = true, isLeaving = false } = rest;
    return [address, { beat: { service, hasStore, isLeaving } }];
  }));
  const silent = new Set(
    heard.filter((peer) => peer.isHeard === false).map((peer) => peer.address),
  );
  const heartbeats = { peers, isHeard: (address: string) => !silent.has(address) };
  return new RangePlanner({
    self,
    service: SERVICE,
    now,
    sleep,
    supportMs: 1_300,
    table: {} as TableStore,
    heartbeats: heartbeats as unknown as Heartbeats,
    mayPlan: () => options.mayPlan,
    candidates: () => [],
    call: () => Promise.reject(new Error("not used")),
    giveOwn: () => {},
    onEvent: () => {},
  }).isPlanner;
}

describe("choosing the planner", () => {
  it("takes the lowest address that reaches the store", () => {
    expect(isPlanner("b", [{ address: "c" }])).to.equal(true);
    expect(isPlanner("b", [{ address: "a" }])).to.equal(false);
  });

  it("passes over daemons that do not reach the store, and these do not plan themselves", () => {
    const cut = { address: "a", hasStore: false };
    expect(isPlanner("b", [cut, { address: "c" }])).to.equal(true);
    expect(isPlanner("a", [{ address: "b" }, { address: "c" }], { mayPlan: false })).to.equal(
      false,
    );
  });

  it("passes over daemons that are silent, leave, or serve another service", () => {
    expect(isPlanner("b", [{ address: "a", isHeard: false }])).to.equal(true);
    expect(isPlanner("b", [{ address: "a", isLeaving: true }])).to.equal(true);
    expect(isPlanner("b", [{ address: "a", service: "inspeccion" }])).to.equal(true);
  });
});
