import { Buffer } from "node:buffer";
import { expect } from "chai";
import { Result } from "true-myth";
import { type Store, StoreErrorKind } from "@bulrushwood/deployment";
import { AppendFault, KeyedStoreService } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { handleStoreCall, RelayedStore } from "./mod.ts";

const TOPIC = "t";
const ITEM = { key: "k", value: Buffer.from("v") };
const SIGNAL = new AbortController().signal;

/** Creates a store whose direct connection can be cut, with a peer that relays its calls. */
function createRelayed(service: KeyedStoreService, peer: Store | undefined) {
  const state = { isCut: true, relayed: 0, directChanges: [] as boolean[] };
  const store = new RelayedStore({
    direct: service.connect(() => !state.isCut),
    now,
    peers: () => ["peer"],
    call: async (_peer, method, payload) => {
      state.relayed++;
      return peer === undefined
        ? Result.err(new Error("no response"))
        : Result.ok(await handleStoreCall(peer, method, payload));
    },
    onDirect: (isDirect) => state.directChanges.push(isDirect),
  });
  return { store, state };
}

describe("relayed store", () => {
  it("appends, reads and reads the newest through a peer while the direct connection is cut", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store, state } = createRelayed(service, service.connect());
    const appended = await store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 100 });
    expect(appended.unwrapOr(undefined!)).to.deep.equal({ offset: 0, end: 1, era: 1 });
    const read = await store.read(TOPIC, 0, { waitMs: 100, signal: SIGNAL });
    expect(read.unwrapOr(undefined!).items.map(({ key }) => key)).to.deep.equal(["k"]);
    const newest = await store.readNewest(TOPIC, { timeoutMs: 100 });
    expect(newest.unwrapOr(undefined!).end).to.equal(1);
    expect([store.isDirect, state.relayed]).to.deep.equal([false, 3]);
  });

  it("reports a conflict of a relayed append, so that no change takes effect twice", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store } = createRelayed(service, service.connect());
    await service.connect().append(TOPIC, ITEM, { timeoutMs: 100 });
    const appended = await store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 100 });
    expect(appended.isErr && appended.error.kind).to.equal(StoreErrorKind.Conflict);
    expect(service.endOf(TOPIC)).to.equal(1);
  });

  it("reports that an append may have taken effect when its replies were lost", async () => {
    const faults = [AppendFault.LostResponse, AppendFault.LostResponse];
    const service = new KeyedStoreService({ sleep, chooseFault: () => faults.pop()! });
    const { store, state } = createRelayed(service, undefined);
    state.isCut = false;
    const appended = await store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 20 });
    expect(appended.isErr && appended.error.kind).to.equal(StoreErrorKind.Unknown);
  });

  it("settles a lost reply by the conflict of the append on a new connection", async () => {
    const faults = [AppendFault.LostResponse];
    const service = new KeyedStoreService({ sleep, chooseFault: () => faults.pop()! });
    const { store, state } = createRelayed(service, undefined);
    state.isCut = false;
    const appended = await store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 20 });
    expect(appended.isErr && appended.error.kind).to.equal(StoreErrorKind.Conflict);
    expect(service.endOf(TOPIC)).to.equal(1);
  });

  it("settles lost replies by the conflict of a relayed append", async () => {
    const faults = [AppendFault.None, AppendFault.LostRequest, AppendFault.LostResponse];
    const service = new KeyedStoreService({ sleep, chooseFault: () => faults.pop()! });
    const { store, state } = createRelayed(service, service.connect());
    state.isCut = false;
    const appended = await store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 20 });
    expect(appended.isErr && appended.error.kind).to.equal(StoreErrorKind.Conflict);
    expect(service.endOf(TOPIC)).to.equal(1);
  });

  it("goes back to direct calls once the store is reachable again", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store, state } = createRelayed(service, service.connect());
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
    const { store, state } = createRelayed(service, service.connect());
    state.isCut = false;
    const waiting = store.read(TOPIC, 0, { waitMs: 10_000, signal: SIGNAL });
    await sleep(20);
    state.isCut = true;
    await store.append(TOPIC, ITEM, { timeoutMs: 100 });
    const read = await waiting;
    expect(read.unwrapOr(undefined!).items).to.have.length(1);
  });

  it("does not count an aborted read as an outage", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store, state } = createRelayed(service, service.connect());
    state.isCut = false;
    const controller = new AbortController();
    const pending = store.read(TOPIC, 0, { waitMs: 1_000, signal: controller.signal });
    await sleep(20);
    controller.abort();
    expect((await pending).isErr).to.equal(true);
    await sleep(20);
    expect([store.isDirect, state.relayed]).to.deep.equal([true, 0]);
  });

  it("fails as unavailable when neither this instance nor a peer reaches the store", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store } = createRelayed(service, service.connect(() => false));
    const newest = await store.readNewest(TOPIC, { timeoutMs: 100 });
    expect(newest.isErr && newest.error.kind).to.equal(StoreErrorKind.Unavailable);
  });

  // Guards against a manifest that comes into force late because reads wait on connections that have gone silent.
  it("reads on a new connection soon after the open ones have gone silent", async () => {
    const service = new KeyedStoreService({ sleep });
    const { store, state } = createRelayed(service, undefined);
    state.isCut = false;
    const [waitMs, startedAt] = [300, now()];
    const waiting = store.read(TOPIC, 0, { waitMs, signal: SIGNAL });
    await sleep(20);
    service.silence();
    await service.connect().append(TOPIC, ITEM, { timeoutMs: 100 });
    const read = await waiting;
    expect(read.unwrapOr(undefined!).items).to.have.length(1);
    expect(now() - startedAt).to.be.below(waitMs + 700);
    expect([store.isDirect, state.relayed]).to.deep.equal([true, 0]);
  });

  it("appends on a new connection after the open ones have gone silent, and takes effect once", async () => {
    const service = new KeyedStoreService({ sleep, callMs: 30 });
    const { store, state } = createRelayed(service, undefined);
    state.isCut = false;
    const appending = store.append(TOPIC, ITEM, { expectedEnd: 0, timeoutMs: 100 });
    service.silence();
    const appended = await appending;
    expect(appended.isErr && appended.error.kind).to.equal(StoreErrorKind.Conflict);
    expect([service.endOf(TOPIC), store.isDirect, state.relayed]).to.deep.equal([1, true, 0]);
  });
});
