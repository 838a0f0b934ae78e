import { expect } from "chai";
import type { OwnershipTable } from "@bulrushwood/ledger_store";
import type { GrantManager } from "@bulrushwood/lease_ranges";
import { LoadMeter } from "@bulrushwood/planner_ranges";
import { now, sleep } from "@bulrushwood/types";
import { KeyTransfers } from "./key_transfers.ts";
import { ServerWatch } from "./server_watch.ts";

const SERVICE = "despacho";
const SELF = "10.0.0.1:7660";

function createTransfers() {
  let transfers = 0;
  const grantManager = {
    transfer: () => {
      transfers++;
      return Promise.resolve("done");
    },
  };
  const keyTransfers = new KeyTransfers({
    self: SELF,
    service: SERVICE,
    watch: new ServerWatch({ service: SERVICE, now, reportEveryMs: 1_000 }),
    grantManager: grantManager as unknown as GrantManager,
    meter: new LoadMeter(now),
    table: () => ({ hosts: {}, ranges: [] }) as unknown as OwnershipTable,
    candidates: () => [],
    probe: () => Promise.resolve(undefined),
    notifyPeers: () => {},
    isEvacuated: () => false,
    evacuatedShare: () => 1,
    isHandingOver: () => false,
    hasStore: () => true,
    log: () => {},
  });
  return { keyTransfers, count: () => transfers };
}

describe("transfers of keys", () => {
  // Guards against a planner that moves the keys of a daemon which took over an address of the planner's service.
  it("ignore the planner of another service", async () => {
    const { keyTransfers, count } = createTransfers();
    const moves = [{ first: 1, last: 9, to: "10.0.0.2:7660" }];
    keyTransfers.handleMoves({ service: "ventanilla", moves });
    await sleep(1);
    expect(count()).to.equal(0);
    keyTransfers.handleMoves({ service: SERVICE, moves });
    expect(count()).to.equal(1);
  });
});
