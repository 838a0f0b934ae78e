import { Buffer } from "node:buffer";
import { expect } from "chai";
import { type FollowedTable, followTable, KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import {
  assign,
  ChangeOutcome,
  emptyTable,
  enterHost,
  KEYS,
  type OwnershipTable,
  parseTable,
  rangeOf,
  SYSTEM_TOPIC,
} from "./mod.ts";
import { keepNewerRanges } from "./ownership_table.ts";

const TABLE_KEY = "table/despacho";
/** Longest time in which a daemon reads a new era from a store without latency. */
const READ_MS = 1_000;
const HOST = {
  tenure: "t",
  voters: [],
  server: { id: "s", bornMs: 1 },
  slots: 4,
  supportMsMax: 1_000,
  isSuspected: false,
};

function moveTo(owner: string, first = 0, last = KEYS - 1) {
  return (table: OwnershipTable) => assign(table, [{ first, last, to: owner, handover: null }]);
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  const until = now() + READ_MS;
  while (!isDone()) {
    expect(now(), "time until the new era is read").to.be.below(until);
    await sleep(10);
  }
}

/** Returns the owner and the epoch of a key in the table that the store has. */
async function readStored(service: KeyedStoreService, key = 0) {
  const page = await service.connect().readNewest(SYSTEM_TOPIC, { timeoutMs: 100 });
  const items = page.isOk ? page.value.items : [];
  const value = items.find((item) => item.key === TABLE_KEY)?.value ?? Buffer.alloc(0);
  const { owner, epoch } = rangeOf(parseTable(value).unwrapOr(emptyTable()), key);
  return { owner, epoch };
}

function ownerAt({ table }: FollowedTable, key = 0) {
  return rangeOf(table.table.value, key).owner;
}

function closeAll(daemons: FollowedTable[]) {
  return Promise.all(daemons.map(({ close }) => close()));
}

describe("ownership table when the store comes back from an older copy", () => {
  // Guards against a table that is older than what the owners of keys act on: they would serve with released epochs.
  it("stays in force, and is written again with epochs above the lost ones", async () => {
    const service = new KeyedStoreService({ sleep });
    const daemons = [await followTable(service), await followTable(service)];
    await daemons[0].table.change(moveTo("a"));
    const copy = service.copy();
    await daemons[0].table.change(moveTo("b"));
    await sleep(50);
    service.restore(copy);
    await waitUntil(() => daemons.every(({ follower }) => follower.era === 2));
    expect(daemons.map((daemon) => ownerAt(daemon))).to.deep.equal(["b", "b"]);
    const written = await Promise.all(daemons.map(({ table }) => table.settle()));
    expect(written.filter((isWritten) => isWritten), "daemons that wrote it").to.have.length(1);
    expect((await readStored(service)).owner).to.equal("b");
    await daemons[1].table.change(moveTo("c"));
    expect((await readStored(service)).epoch).to.be.above(KEYS);
    await closeAll(daemons);
  });

  // Guards against changes of the copied table by a daemon that knows no later one, also at the offset of a lost record.
  it("is not changed by a daemon that started later until it is written again", async () => {
    const service = new KeyedStoreService({ sleep });
    const daemon = await followTable(service);
    await daemon.table.change(moveTo("a"));
    const copy = service.copy();
    await daemon.table.change(moveTo("b"));
    await daemon.table.change(moveTo("c", 0, 99));
    service.restore(copy);
    const started = await followTable(service);
    const changed = started.table.change(moveTo("d", 100, 199));
    await sleep(300);
    expect((await readStored(service, 100)).owner, "before it is written again").to.equal("a");
    await daemon.table.settle();
    expect(await changed).to.equal(ChangeOutcome.Done);
    await waitUntil(() => ownerAt(daemon, 100) === "d");
    expect([0, 100, 200].map((key) => ownerAt(started, key))).to.deep.equal(["c", "d", "b"]);
    expect([0, 100, 200].map((key) => ownerAt(daemon, key))).to.deep.equal(["c", "d", "b"]);
    await closeAll([daemon, started]);
  });

  // Guards against owners that only one daemon knows, while another one wrote the table again without them.
  it("keeps owners with newer epochs that the daemon that wrote it again did not know", async () => {
    const service = new KeyedStoreService({ sleep });
    const daemons = [await followTable(service), await followTable(service)];
    const [first, second] = daemons;
    await first.table.change((table) => enterHost(moveTo("a")(table), "b", HOST));
    const copy = service.copy();
    await sleep(50);
    // The second daemon alone gets the record of the move.
    const moved = await followTable();
    await moved.table.change((table) => enterHost(moveTo("a")(table), "b", HOST));
    await moved.table.change(moveTo("b", 0, 99));
    const { key, value, position } = moved.follower.get(TABLE_KEY)!;
    service.restore(copy);
    second.follower.apply({ key, value, position });
    await waitUntil(() => first.follower.era === 2);
    await first.table.settle();
    await waitUntil(() => ownerAt(first, 0) === "b");
    expect(await readStored(service, 0)).to.deep.equal({ owner: "b", epoch: 2 });
    expect((await readStored(service, 100)).owner).to.equal("a");
    await closeAll([...daemons, moved]);
  });

  it("survives two returns, also if the second copy is from before the first return", async () => {
    const service = new KeyedStoreService({ sleep });
    const daemons = [await followTable(service), await followTable(service)];
    await daemons[0].table.change(moveTo("a"));
    const copies = [service.copy(), service.copy()];
    await daemons[0].table.change(moveTo("b"));
    await waitUntil(() => ownerAt(daemons[1]) === "b");
    for (const [index, copy] of copies.entries()) {
      service.restore(copy);
      await waitUntil(() => daemons.every(({ follower }) => follower.era === index + 2));
      await daemons[index].table.settle();
    }
    await daemons[1].table.change(moveTo("c", 0, 9));
    await waitUntil(() => ownerAt(daemons[0], 0) === "c");
    const started = await followTable(service);
    expect([0, 10].map((key) => ownerAt(started, key))).to.deep.equal(["c", "b"]);
    await closeAll([...daemons, started]);
  });

  // Guards against services that are added after a return of the store, whose keys would never get owners.
  it("may be new in a later era", async () => {
    const service = new KeyedStoreService({ sleep });
    service.restore(service.copy());
    const daemon = await followTable(service);
    expect(daemon.follower.era).to.equal(2);
    expect(await daemon.table.change(moveTo("a"))).to.equal(ChangeOutcome.Done);
    expect((await readStored(service)).owner).to.equal("a");
    await daemon.close();
  });

  it("ignores marks of eras that other writers left", async () => {
    const service = new KeyedStoreService({ sleep });
    const daemon = await followTable(service);
    await daemon.table.change(moveTo("a"));
    for (const era of ["9", "x", "-1", "1.5", ""]) {
      const item = { key: `era/${era}`, value: Buffer.from("{}") };
      await service.connect().append(SYSTEM_TOPIC, item, { timeoutMs: 100 });
    }
    const started = await followTable(service);
    await daemon.table.change(moveTo("b"));
    await waitUntil(() => ownerAt(started) === "b");
    expect(await started.table.change(moveTo("c"))).to.equal(ChangeOutcome.Done);
    await waitUntil(() => ownerAt(daemon) === "c");
    await closeAll([daemon, started]);
  });

  it("completes a change whose append the store lost", async () => {
    const service = new KeyedStoreService({ sleep, callMs: 20 });
    const daemons = [await followTable(service), await followTable(service)];
    await daemons[0].table.change(moveTo("a"));
    const copy = service.copy();
    const changed = daemons[0].table.change(moveTo("b"));
    await sleep(30);
    service.restore(copy);
    await waitUntil(() => daemons.every(({ follower }) => follower.era === 2));
    await daemons[1].table.settle();
    expect(await changed).to.equal(ChangeOutcome.Done);
    await waitUntil(() => daemons.every((daemon) => ownerAt(daemon) === "b"));
    await closeAll(daemons);
  });
});

describe("ranges with newer epochs", () => {
  it("replace only the keys whose epoch is newer, and bring their hosts", () => {
    const older = moveTo("a")(emptyTable());
    const newer = moveTo("b", 100, 199)(enterHost(older, "b", HOST));
    expect(keepNewerRanges(newer, older)).to.equal(newer);
    const merged = keepNewerRanges(moveTo("c", 0, 149)(older), newer);
    const owners = [0, 120, 170, 300].map((key) => rangeOf(merged, key).owner);
    expect(owners).to.deep.equal(["c", "c", "b", "a"]);
    expect(Object.keys(merged.hosts)).to.deep.equal(["b"]);
  });
});
