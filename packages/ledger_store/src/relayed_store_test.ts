import { Buffer } from "node:buffer";
import { expect } from "chai";
import { Result } from "true-myth";
import { type Store, StoreErrorKind } from "@bulrushwood/deployment";
import { AppendFault, KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { answerStoreCall, RelayedStore } from "./mod.ts";

const TOPIC = "t";
const ITEM = { key: "k", value: Buffer.from("v") };
const SIGNAL = new AbortController().signal;

/** A store whose own way is cut at will, and the store of the peer that helps. */
function createCut(service: KeyedStoreService, peer: Store | undefined) {
  const state = { isCut: true, relayed: 0, directChanges: [] as boolean[] };
  const store = new RelayedStore({
    direct: service.connect(() => !state.isCut),
    now,
    peers: () => ["peer"],
    call: async (_peer, method, payload) => {
      state.relayed++;
      return peer === undefined
        ? Result.err(new Error("no answer"))
        : Result.ok(await answerStoreCall(peer, method, payload));
    },
    onDirect: (isDirect) => state.directChanges.push(isDirect),
  });
  return { store, state };
}

describe("relayed store", () => {
  it("appends, reads and reads the newest through a peer while its own way is cut", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store, state } = createCut(service, service.connect());
    const appended = await store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 100 });
    expect(appended.unwrapOr(undefined!)).to.deep.equal({ offset: 0, end: 1 });
    const read = await store.read(TOPIC, 0, { waitMs: 100, signal: SIGNAL });
    expect(read.unwrapOr(undefined!).items.map(({ key }) => key)).to.deep.equal(["k"]);
    const newest = await store.readNewest(TOPIC, { timeoutMs: 100 });
    expect(newest.unwrapOr(undefined!).end).to.equal(1);
    expect([store.isDirect, state.relayed]).to.deep.equal([false, 3]);
  });

  it("reports a conflict that a peer met, so that no change takes effect twice", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store } = createCut(service, service.connect());
    await service.connect().append(TOPIC, ITEM, { timeoutMs: 100 });
    const appended = await store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 100 });
    expect(appended.isErr && appended.error.kind).to.equal(StoreErrorKind.Conflict);
    expect(service.endOf(TOPIC)).to.equal(1);
  });

  it("tells that an append may have taken effect when only its answer was lost", async () => {
    const faults = [AppendFault.LostAnswer];
    const service = new KeyedStoreService({ sleep, chooseFault: () => faults.pop()! });
    const { store, state } = createCut(service, undefined);
    state.isCut = false;
    const appended = await store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 20 });
    expect(appended.isErr && appended.error.kind).to.equal(StoreErrorKind.Unknown);
  });

  it("settles a lost answer by a peer's conflict", async () => {
    const faults = [AppendFault.None, AppendFault.LostAnswer];
    const service = new KeyedStoreService({ sleep, chooseFault: () => faults.pop()! });
    const { store, state } = createCut(service, service.connect());
    state.isCut = false;
    const appended = await store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 20 });
    expect(appended.isErr && appended.error.kind).to.equal(StoreErrorKind.Conflict);
    expect(service.endOf(TOPIC)).to.equal(1);
  });

  it("goes back to its own way once the store answers there", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store, state } = createCut(service, service.connect());
    await store.append(TOPIC, ITEM, { timeoutMs: 100 });
    state.isCut = false;
    const until = now() + 5_000;
    while (!store.isDirect && now() < until) {
      await store.read(TOPIC, 0, { waitMs: 10, signal: SIGNAL });
      await sleep(100);
    }
    expect(state.directChanges).to.deep.equal([false, true]);
  });

  it("moves a waiting read to a peer once another call shows the cut", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store, state } = createCut(service, service.connect());
    state.isCut = false;
    const waiting = store.read(TOPIC, 0, { waitMs: 10_000, signal: SIGNAL });
    await sleep(20);
    state.isCut = true;
    await store.append(TOPIC, ITEM, { timeoutMs: 100 });
    const read = await waiting;
    expect(read.unwrapOr(undefined!).items).to.have.length(1);
  });

  it("does not take a read that was given up for an outage", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store, state } = createCut(service, service.connect());
    state.isCut = false;
    const giveUp = new AbortController();
    const reading = store.read(TOPIC, 0, { waitMs: 1_000, signal: giveUp.signal });
    await sleep(20);
    giveUp.abort();
    expect((await reading).isErr).to.equal(true);
    await sleep(20);
    expect([store.isDirect, state.relayed]).to.deep.equal([true, 0]);
  });

  it("fails as unavailable when neither this instance nor a peer reaches the store", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store } = createCut(service, service.connect(() => false));
    const newest = await store.readNewest(TOPIC, { timeoutMs: 100 });
    expect(newest.isErr && newest.error.kind).to.equal(StoreErrorKind.Unavailable);
  });
});
