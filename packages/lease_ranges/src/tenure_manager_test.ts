import { expect } from "chai";
import { SUPPORT_MS } from "@bulrushwood/lease_votes";
import { followTable } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { TenureManager } from "./mod.ts";

const SELF = "10.0.0.1:7000";
const VOTERS = ["10.0.0.2:7000", "10.0.0.3:7000"];

async function startManager() {
  const followed = await followTable();
  const { table } = followed;
  const state = { bornMs: 1, isSupported: true };
  const manager = new TenureManager({
    self: SELF,
    incarnation: "i1",
    now,
    sleep,
    table,
    supportMs: () => SUPPORT_MS,
    supportMsMax: () => SUPPORT_MS,
    candidates: () => VOTERS.map((address) => ({ address, incarnation: "i1" })),
    server: () => ({ id: "s1", bornMs: state.bornMs, slots: 4 }),
  });
  const supportTimer = setInterval(() => {
    for (const voter of state.isSupported ? VOTERS : []) {
      const tenures = manager.tenuresFor(voter);
      manager.recordSupport(voter, "i1", { tenures, sentAt: now(), supportMs: SUPPORT_MS });
    }
  }, 50);
  manager.start();
  const tenure = () => table.table.value.hosts[SELF]?.tenure;
  const close = async () => {
    clearInterval(supportTimer);
    await manager.close();
    await followed.close();
  };
  return { manager, state, tenure, close };
}

async function waitFor(condition: () => boolean, ms: number): Promise<number> {
  const startedAt = now();
  while (!condition() && now() - startedAt < ms) {
    await sleep(10);
  }
  return now() - startedAt;
}

describe("tenure manager", () => {
  it("enters a new tenure within 800 ms when its voters support it", async () => {
    const { state, tenure, close } = await startManager();
    await waitFor(() => tenure() !== undefined, 4_000);
    const first = tenure();
    state.bornMs = 2;
    expect(await waitFor(() => tenure() !== first, 4_000)).to.be.below(800);
    await close();
  });

  it("does not enter a tenure without its voters' support while grants depend on an earlier one", async () => {
    const { manager, state, tenure, close } = await startManager();
    await waitFor(() => tenure() !== undefined, 4_000);
    await sleep(300);
    const first = tenure();
    state.isSupported = false;
    const supportedMs = manager.supportedUntil - now();
    state.bornMs = 2;
    expect(await waitFor(() => tenure() !== first, 6_000)).to.be.above(supportedMs);
    expect(tenure()).to.not.equal(first);
    await close();
  });
});
