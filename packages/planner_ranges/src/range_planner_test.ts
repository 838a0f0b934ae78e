import { expect } from "chai";
import {
  ChangeOutcome,
  emptyTable,
  enterHost,
  type OwnershipTable,
  type TableStore,
} from "@bulrushwood/ledger_store";
import type { Heartbeats } from "@bulrushwood/membership_beats";
import { now, sleep } from "@bulrushwood/types";
import { ServerState } from "@bulrushwood/deployment";
import type { Candidate } from "./capacity.ts";
import { PlannerEvent, RangePlanner } from "./range_planner.ts";

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

/** Start of a deployment, in which its daemons enter the ownership table one after the other. */
interface Start {
  /** When each daemon of the service enters, in milliseconds; infinite for one whose server never reports. */
  entersAt: number[];
}

/** Runs a planner through the start of a deployment; returns when it assigns the first keys, and to how many servers. */
async function assignFirst({ entersAt }: Start): Promise<{ at: number; servers: number }> {
  const clock = { now: 0 };
  let table: OwnershipTable = emptyTable();
  let assigned = { at: Infinity, servers: 0 };
  const addresses = entersAt.map((_, index) => `10.0.0.${100 + index}:7000`);
  const server = { state: ServerState.Ready, isReachable: true };
  const peers = new Map(
    addresses.slice(1).map((address, index) => [address, {
      entry: null,
      status: {
        address,
        service: SERVICE,
        hasStore: true,
        isLeaving: false,
        server: entersAt[index + 1] === Infinity ? null : server,
      },
    }]),
  );
  const planner = new RangePlanner({
    self: addresses[0],
    service: SERVICE,
    now: () => clock.now,
    sleep: async (ms) => {
      await sleep(0);
      clock.now += ms;
      addresses.filter((address, index) =>
        entersAt[index] <= clock.now && table.hosts[address] === undefined
      ).forEach((address) => table = enterHost(table, address, createHost(address)));
    },
    table: {
      get table() {
        return { value: table };
      },
      change: (edit: (current: OwnershipTable) => OwnershipTable | undefined) => {
        table = edit(table) ?? table;
        return Promise.resolve(ChangeOutcome.Done);
      },
    } as unknown as TableStore,
    heartbeats: {
      peers,
      isResponsive: () => true,
      isFullMesh: true,
      silenceMs: () => 0,
      silenceTimeoutMs: 1_000,
    } as unknown as Heartbeats,
    mayPlan: () => true,
    candidates: () => addresses.map(createCandidate),
    call: () => Promise.reject(new Error("not used")),
    transferOwn: () => {},
    onEvent: (event) => {
      if (event === PlannerEvent.KeysAssigned) {
        const owners = new Set(table.ranges.map(({ owner }) => owner));
        assigned = { at: clock.now, servers: owners.size };
      }
    },
  });
  planner.start();
  while (assigned.at === Infinity && clock.now < 60_000) {
    await sleep(1);
  }
  await planner.close();
  return assigned;
}

function createHost(address: string) {
  return {
    tenure: address,
    voters: [],
    server: { id: address, bornMs: 1 },
    slots: 6,
    supportMsMax: 1_300,
    isSuspected: false,
  };
}

function createCandidate(address: string): Candidate {
  const load = { serviceMs: 0, rate: 0, waiting: 0, isCold: false, keys: 0, pieces: [] };
  return { address, slots: 6, ...load };
}

describe("choosing the first owners", () => {
  // Guards against first owners that are the few servers whose daemons entered first.
  it("waits for the daemons that are known but have not entered yet", async () => {
    const entersAt = [500, 600, 700, ...Array.from({ length: 17 }, () => 3_000)];
    const { at, servers } = await assignFirst({ entersAt });
    expect(servers).to.equal(20);
    expect(at).to.be.within(3_000, 4_500);
  });

  it("does not wait long for a daemon whose server never reports, nor for one that does not enter", async () => {
    for (const missing of [Infinity, 50_000]) {
      const { at, servers } = await assignFirst({ entersAt: [500, 600, missing] });
      expect(servers).to.equal(2);
      expect(at).to.be.below(5_500);
    }
  });
});
