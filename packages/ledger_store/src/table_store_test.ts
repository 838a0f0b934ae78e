import { expect } from "chai";
import { AppendFault, followTable, KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { assign, ChangeOutcome, KEYS, type OwnershipTable, rangesOf, SYSTEM_TOPIC } from "./mod.ts";

/** Returns a change that assigns all keys to an owner unless it has keys. */
function assignAllTo(owner: string) {
  return (table: OwnershipTable) =>
    rangesOf(table, owner).length > 0
      ? undefined
      : assign(table, [{ first: 0, last: KEYS - 1, to: owner, handover: null }]);
}

/** Returns a change that assigns one key to an owner unless it has keys. */
function assignKey(key: number, owner: string) {
  return (table: OwnershipTable) =>
    rangesOf(table, owner).length > 0
      ? undefined
      : assign(table, [{ first: key, last: key, to: owner, handover: null }]);
}

describe("table store", () => {
  it("applies concurrent changes of several daemons one after the other", async () => {
    const service = new KeyedStoreService({ sleep });
    const daemons = await Promise.all([1, 2, 3, 4].map(() => followTable(service)));
    await Promise.all(
      daemons.map(({ table }, index) => table.change(assignKey(index * 10, `owner-${index}`))),
    );
    await sleep(50);
    for (const { table } of daemons) {
      expect(table.table.value.epoch).to.equal(4);
    }
    await Promise.all(daemons.map(({ close }) => close()));
  });

  it("writes the transfers of one plan within a second, without leaving keys unowned for longer", async () => {
    const owners = 12;
    const service = new KeyedStoreService({ sleep, callMs: 4 });
    const daemons = await Promise.all(
      Array.from({ length: owners }, () => followTable(service, { paceMs: 250 })),
    );
    const startedAt = now();
    await Promise.all(
      daemons.map(({ table }, index) => table.change(assignKey(index * 10, `owner-${index}`))),
    );
    expect(now() - startedAt).to.be.below(1_000);
    expect(service.endOf(SYSTEM_TOPIC)).to.equal(owners);
    await Promise.all(daemons.map(({ close }) => close()));
  });

  for (const fault of [AppendFault.LostResponse, AppendFault.LostRequest, AppendFault.Late]) {
    it(`applies a change once when an append has the fault ${fault}`, async function () {
      const faults = [fault];
      const service = new KeyedStoreService({
        sleep,
        lateMs: 300,
        chooseFault: () => faults.shift() ?? AppendFault.None,
      });
      const daemon = await followTable(service);
      const outcome = await daemon.table.change(assignAllTo("a"));
      await sleep(500);
      expect(outcome).to.not.equal(ChangeOutcome.Abandoned);
      expect(daemon.table.table.value.epoch).to.equal(1);
      expect(service.endOf(SYSTEM_TOPIC)).to.equal(1);
      await daemon.close();
    });
  }

  it("has the newest table after the store dropped older records", async () => {
    const service = new KeyedStoreService({ sleep });
    const [writer, reader] = [await followTable(service), await followTable(service)];
    await writer.table.change(assignAllTo("a"));
    service.dropHistory(SYSTEM_TOPIC);
    await writer.table.change(assignKey(7, "b"));
    await sleep(100);
    expect(reader.table.table.value).to.deep.equal(writer.table.table.value);
    await Promise.all([writer.close(), reader.close()]);
  });

  it("completes a change once the store is available again", async function () {
    const service = new KeyedStoreService({ sleep });
    const daemon = await followTable(service);
    service.isDown = true;
    const changed = daemon.table.change(assignAllTo("a"));
    await sleep(400);
    service.isDown = false;
    expect(await changed).to.equal(ChangeOutcome.Done);
    await daemon.close();
  });

  it("never replaces a record by an older one", async () => {
    const service = new KeyedStoreService({ sleep });
    const daemon = await followTable(service);
    await daemon.table.change(assignAllTo("a"));
    const old = daemon.follower.get("table/despacho")!;
    await daemon.table.change(assignKey(7, "b"));
    daemon.follower.apply(old);
    expect(rangesOf(daemon.table.table.value, "b")).to.have.length(1);
    await daemon.close();
  });
});
