import { Buffer } from "node:buffer";
import { expect } from "chai";
import { KeyedFollower } from "@bulrushwood/ledger_store";
import { KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { Evacuations } from "./evacuations.ts";
import { Event } from "./event_log.ts";

const TOPIC = "keyed.t";
const READ_WAIT_MS = 50;

/** Follows evacuations in a store, where an operator writes them. */
async function start() {
  const service = new KeyedStoreService({ sleep });
  const store = service.connect();
  const events: Event[] = [];
  const follower = new KeyedFollower({
    store,
    topic: TOPIC,
    now,
    sleep,
    waitMs: () => READ_WAIT_MS,
    isReadOnly: true,
    onReachable: () => {},
  });
  const evacuations = new Evacuations({
    follower,
    readEvacuation: ({ key, value }) =>
      key.startsWith("out/")
        ? { dataCentre: key.slice(4), isEvacuated: value.length > 0 }
        : undefined,
    dataCentres: ["north", "south"],
    now,
    log: (event) => events.push(event),
  });
  const write = async (key: string, value: string) => {
    await store.append(TOPIC, { key, value: Buffer.from(value) }, { timeoutMs: 500 });
    await sleep(READ_WAIT_MS);
  };
  await follower.start();
  const close = async () => {
    await follower.close();
    evacuations.close();
  };
  return { service, evacuations, events, follower, write, close };
}

describe("evacuations", () => {
  it("last from their record until it is deleted", async () => {
    const { evacuations, write, close } = await start();
    await write("out/north", "{}");
    expect([evacuations.has("north"), evacuations.has("south")]).to.deep.equal([true, false]);
    await write("other", "{}");
    expect(evacuations.elapsedMs("north")).to.be.above(0);
    await write("out/north", "");
    expect(evacuations.has("north")).to.equal(false);
    expect(evacuations.elapsedMs("north")).to.equal(0);
    await close();
  });

  // Guards against a data centre that gets nothing for ever because the record of the end was dropped from the history.
  it("end when their record is gone from the store", async () => {
    const { service, evacuations, follower, write, close } = await start();
    await write("out/north", "{}");
    service.forget(TOPIC, "out/north");
    follower.refresh();
    await sleep(READ_WAIT_MS);
    expect(evacuations.has("north")).to.equal(false);
    await close();
  });

  // Guards against operators' records that count as outdated since their offsets were assigned before.
  it("follow what operators write after the store came back from an older copy", async () => {
    const { service, evacuations, write, close } = await start();
    await write("out/north", "{}");
    const copy = service.copy();
    for (let count = 0; count < 5; count++) {
      await write("other", String(count));
    }
    service.restore(copy);
    await sleep(READ_WAIT_MS);
    await write("out/north", "");
    await write("out/south", "{}");
    expect([evacuations.has("north"), evacuations.has("south")]).to.deep.equal([false, true]);
    await close();
  });

  // Guards against requests to an evacuated data centre until the operator has written the evacuation again.
  it("last until they are written again if a copy of the store lacks them", async () => {
    const { service, evacuations, write, close } = await start();
    await write("other", "{}");
    const copy = service.copy();
    await write("out/north", "{}");
    service.restore(copy);
    await sleep(4 * READ_WAIT_MS);
    expect(evacuations.has("north"), "before it is written again").to.equal(true);
    await write("out/north", "{}");
    await write("out/north", "");
    expect(evacuations.has("north")).to.equal(false);
    await close();
  });

  it("of unknown data centres are logged and ignored", async () => {
    const { evacuations, events, write, close } = await start();
    await write("out/east", "{}");
    expect(evacuations.has("east")).to.equal(false);
    expect(events).to.deep.equal([Event.EvacuationIgnored]);
    await close();
  });
});
