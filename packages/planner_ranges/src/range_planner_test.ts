import { expect } from "chai";
import type { TableStore } from "@bulrushwood/ledger_store";
import type { Heartbeats } from "@bulrushwood/membership_beats";
import { now, sleep } from "@bulrushwood/types";
import { RangePlanner } from "./range_planner.ts";

const SERVICE = "despacho";

/** Peer as its heartbeats show it to one daemon. */
interface Peer {
  address: string;
  service?: string;
  hasStore?: boolean;
  isLeaving?: boolean;
  isResponsive?: boolean;
}

function isPlanner(self: string, peerList: Peer[], options = { mayPlan: true }): boolean {
  const peers = new Map(peerList.map(({ address, service = SERVICE, ...rest }) => {
    const { hasStore = true, isLeaving = false } = rest;
    return [address, { status: { service, hasStore, isLeaving } }];
  }));
  const unresponsive = new Set(
    peerList.filter((peer) => peer.isResponsive === false).map((peer) => peer.address),
  );
  const heartbeats = { peers, isResponsive: (address: string) => !unresponsive.has(address) };
  return new RangePlanner({
    self,
    service: SERVICE,
    now,
    sleep,
    table: {} as TableStore,
    heartbeats: heartbeats as unknown as Heartbeats,
    mayPlan: () => options.mayPlan,
    candidates: () => [],
    call: () => Promise.reject(new Error("not used")),
    transferOwn: () => {},
    onEvent: () => {},
  }).isPlanner;
}

describe("choosing the planner", () => {
  it("chooses the lowest address that reaches the store", () => {
    expect(isPlanner("b", [{ address: "c" }])).to.equal(true);
    expect(isPlanner("b", [{ address: "a" }])).to.equal(false);
  });

  it("skips daemons that do not reach the store, and these do not plan themselves", () => {
    const cutOff = { address: "a", hasStore: false };
    expect(isPlanner("b", [cutOff, { address: "c" }])).to.equal(true);
    expect(isPlanner("a", [{ address: "b" }, { address: "c" }], { mayPlan: false })).to.equal(
      false,
    );
  });

  it("skips daemons that are unresponsive, are leaving, or belong to another service", () => {
    expect(isPlanner("b", [{ address: "a", isResponsive: false }])).to.equal(true);
    expect(isPlanner("b", [{ address: "a", isLeaving: true }])).to.equal(true);
    expect(isPlanner("b", [{ address: "a", service: "inspeccion" }])).to.equal(true);
  });
});
