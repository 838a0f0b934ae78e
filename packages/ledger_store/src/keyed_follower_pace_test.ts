import { Buffer } from "node:buffer";
import { expect } from "chai";
import { Result } from "true-myth";
import { StoreError, StoreErrorKind } from "@bulrushwood/deployment";
import { KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { KeyedFollower } from "./mod.ts";

const TOPIC = "keyed.t";
const PACE_MS = 120;

describe("delay between reads of a followed topic", () => {
  it("reads many changes together, and applies only the last record of each key", async () => {
    const store = new KeyedStoreService({ sleep }).connect();
    let reads = 0;
    const countingStore = {
      ...store,
      append: store.append.bind(store),
      readNewest: store.readNewest.bind(store),
      close: store.close.bind(store),
      read: (...args: Parameters<typeof store.read>) => {
        reads++;
        return store.read(...args);
      },
    };
    const follower = new KeyedFollower({
      store: countingStore,
      topic: TOPIC,
      now,
      sleep,
      waitMs: () => 500,
      onReachable: () => {},
      paceMs: () => PACE_MS,
    });
    const applied: string[] = [];
    follower.changes.subscribe(({ value }) => applied.push(value.toString()));
    await follower.start();
    for (let change = 0; change < 20; change++) {
      const item = { key: "k", value: Buffer.from(String(change)) };
      await store.append(TOPIC, item, { timeoutMs: 500 });
      await sleep(5);
    }
    await sleep(2 * PACE_MS);
    expect(follower.get("k")?.value.toString()).to.equal("19");
    expect(reads).to.be.at.most(6);
    expect(applied.length).to.be.at.most(5);
    await follower.close();
  });

  // Guards against reads without end while the store, back from an older copy, does not have the offset.
  it("pauses between reads of a topic that ends before what was read", async () => {
    const service = new KeyedStoreService({ sleep });
    const store = service.connect();
    let reads = 0;
    const follower = new KeyedFollower({
      store: {
        append: store.append.bind(store),
        close: store.close.bind(store),
        readNewest: () => {
          reads++;
          const end = reads === 1 ? 50 : 10;
          return Promise.resolve(Result.ok({ items: [], after: undefined, end }));
        },
        read: () => Promise.resolve(Result.err(new StoreError(StoreErrorKind.Expired, "410"))),
      },
      topic: TOPIC,
      now,
      sleep,
      waitMs: () => 500,
      onReachable: () => {},
      onWentBack: (offsets) => wentBack.push(offsets),
    });
    const wentBack: unknown[] = [];
    await follower.start();
    await sleep(700);
    await follower.close();
    expect(reads).to.be.at.most(6);
    expect(wentBack[0]).to.deep.equal({ end: 10, read: 50 });
  });
});
