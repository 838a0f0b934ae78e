import { expect } from "chai";
import { Result } from "true-myth";
import { Buffer } from "node:buffer";
import type { GrantOrder, Order, ReleaseOrder, ServerWire } from "@bulrushwood/deployment";
import {
  assign,
  ChangeOutcome,
  enterHost,
  KEYS,
  rangeOf,
  rangesOf,
} from "@bulrushwood/ledger_store";
import { SUPPORT_MS, SuspensionDetector } from "@bulrushwood/lease_votes";
import { followTable } from "@bulrushwood/stand_ins";
import { now, sleep } from "@bulrushwood/types";
import { GrantManager, KeyState, OrderChannel, type OrderResponse, TenureManager } from "./mod.ts";

const SELF = "10.0.0.1:7000";
const OTHER = "10.0.0.2:7000";
const SERVER = { id: "s1", bornMs: 1 };
const STATUS_OK = 200;
/** Time after which all grants of an earlier process have expired, so that nothing waits for them. */
const EARLIER_GRANTS_END_MS = 1_500;

type Sent = { kind: "grant"; order: GrantOrder } | { kind: "release"; order: ReleaseOrder };

/** Encodes orders as JSON, so that the fake server can read them. */
const WIRE = {
  grant: (order: GrantOrder) => toOrder({ kind: "grant", order }),
  release: (order: ReleaseOrder) => toOrder({ kind: "release", order }),
  readHandover: (headers: Record<string, string>) => headers.handover,
  isOutdated: (status: number) => status === 409,
} as unknown as ServerWire;

function toOrder(sent: Sent): Order {
  return { method: "POST", path: "/", headers: {}, body: Buffer.from(JSON.stringify(sent)) };
}

type Responder = (sent: Sent) => Promise<Result<OrderResponse, Error>>;

function respondOk(sent: Sent): Promise<Result<OrderResponse, Error>> {
  const headers = sent.kind === "release" ? { handover: "token" } : {};
  return Promise.resolve(Result.ok({ status: STATUS_OK, headers }));
}

/** Starts a daemon whose server owns all keys and which is its only voter. */
async function startDaemon(
  respond: Responder = respondOk,
  options: {
    connectMs?: number;
    isConnected?: boolean;
    busyKeys?: number[];
    hasServerEnded?: boolean;
  } = {},
) {
  const { connectMs = 0, isConnected = true, busyKeys = [] } = options;
  const followed = await followTable();
  const { table } = followed;
  const tenure = new TenureManager({
    self: SELF,
    incarnation: "i1",
    now,
    sleep,
    table,
    supportMs: () => SUPPORT_MS,
    supportMsMax: () => SUPPORT_MS,
    candidates: () => [],
    server: () => ({ ...SERVER, slots: 4 }),
  });
  const sent: { at: number; sent: Sent }[] = [];
  const send = (order: Order) => {
    const decoded = JSON.parse(order.body.toString()) as Sent;
    sent.push({ at: now(), sent: decoded });
    return respond(decoded);
  };
  const connect = async () => {
    await sleep(connectMs);
    return isConnected ? { send, release: () => {} } : undefined;
  };
  const manager = new GrantManager({
    self: SELF,
    now,
    sleep,
    table,
    tenure,
    suspension: new SuspensionDetector(now),
    openChannel: (context) =>
      new OrderChannel(context, {
        wire: WIRE,
        connect,
        sendRelease: send,
      }),
    server: () => SERVER,
    grantMsMax: 10_000,
    busyKeys: () => busyKeys,
    hasServerEnded: () => Promise.resolve(options.hasServerEnded ?? false),
    onSuspended: () => {},
    onFailed: () => {},
  });
  tenure.start();
  manager.start();
  while (table.table.value.hosts[SELF] === undefined) {
    await sleep(20);
  }
  const host = { ...table.table.value.hosts[SELF], tenure: "other" };
  await table.change((current) => enterHost(current, OTHER, host));
  await table.change((current) =>
    assign(current, [{ first: 0, last: KEYS - 1, to: SELF, handover: "first" }])
  );
  await sleep(50);
  const close = async () => {
    await tenure.close();
    await manager.close();
    await followed.close();
  };
  return { table, manager, sent, close };
}

describe("grant manager", () => {
  it("grants own keys with their epoch, sends the handover token once, and stays within the support", async () => {
    const { manager, sent, close } = await startDaemon();
    await sleep(800);
    const grants = sent.filter(({ sent: { kind } }) => kind === "grant");
    expect(grants.length).to.be.within(2, 4);
    const [first, second] = grants.map(({ sent: { order } }) => order as GrantOrder);
    expect(first).to.include({ first: 0, last: KEYS - 1, epoch: 1, handover: "first" });
    expect(second.handover).to.equal(undefined);
    expect(first.durationMs).to.be.below(1_300);
    expect(manager.stateOf(77)).to.equal(KeyState.Granted);
    await close();
  });

  it("releases keys before the store has their new owner, and passes on the handover token", async () => {
    const released: string[] = [];
    const daemon = await startDaemon(async (sent) => {
      if (sent.kind === "release") {
        await sleep(100);
        released.push(rangeOf(daemon.table.table.value, 10).owner ?? "nobody");
      }
      return respondOk(sent);
    });
    const { manager, table, close } = daemon;
    const transferred = manager.transfer(
      () => [{ first: 10, last: 20, to: OTHER, handover: null }],
      { leave: false, isServerLost: false },
    );
    expect(manager.stateOf(10)).to.equal(KeyState.Moving);
    expect(manager.stateOf(21)).to.equal(KeyState.Granted);
    await transferred;
    expect(released).to.deep.equal([SELF]);
    expect(rangeOf(table.table.value, 10)).to.include({ owner: OTHER, handover: "token" });
    expect(manager.stateOf(10)).to.equal(KeyState.Elsewhere);
    expect(manager.stateOf(21)).to.equal(KeyState.Granted);
    await close();
  });

  // Guards against ever more grants where transfers cut keys into ever more ranges.
  it("merges neighbouring ranges once they are granted, and serves their keys all the while", async () => {
    const { manager, table, sent, close } = await startDaemon();
    for (let first = 0; first < 1_000; first += 100) {
      await table.change((current) =>
        assign(current, [{ first, last: first + 99, to: SELF, handover: `token${first}` }])
      );
    }
    const isGranted = () => manager.stateOf(150) === KeyState.Granted;
    while (!isGranted() || manager.stateOf(950) !== KeyState.Granted) {
      await sleep(5);
    }
    const until = now() + 1_500;
    const mergedBy = now() + 700;
    while (now() < until) {
      expect(isGranted()).to.equal(true);
      await sleep(5);
      if (now() > mergedBy) {
        expect(manager.ownRanges).to.have.length(1);
      }
    }
    const { epoch } = rangeOf(table.table.value, 150);
    const last = sent.filter(({ sent: { kind } }) => kind === "grant").slice(-2)
      .map(({ sent: { order } }) => order as GrantOrder);
    for (const order of last) {
      expect(order).to.include({ first: 0, last: KEYS - 1, epoch });
      expect(order.handover).to.equal(undefined);
    }
    await close();
  });

  it("transfers keys whose range is merged meanwhile", async () => {
    const { manager, table, close } = await startDaemon();
    for (let round = 0; round < 6; round++) {
      for (let first = 0; first < 1_000; first += 100) {
        await table.change((current) =>
          assign(current, [{ first, last: first + 99, to: SELF, handover: null }])
        );
      }
      // The time until the next merge differs between the rounds.
      await sleep(60 * round);
      await manager.transfer(
        () => [{ first: 505, last: 505 + round, to: OTHER, handover: null }],
        { leave: false, isServerLost: false },
      );
      expect(rangeOf(table.table.value, 505).owner).to.equal(OTHER);
    }
    await close();
  });

  it("releases all keys before the daemon leaves, including keys without a new owner", async () => {
    const { manager, table, sent, close } = await startDaemon();
    await manager.transfer(
      () => [{ first: 0, last: 99, to: OTHER, handover: null }],
      { leave: true, isServerLost: false },
    );
    const released = sent.filter(({ sent: { kind } }) => kind === "release")
      .map(({ sent: { order } }) => [order.first, order.last]);
    expect(released).to.deep.equal([[0, 99], [100, KEYS - 1]]);
    expect(rangesOf(table.table.value, SELF)).to.deep.equal([]);
    expect(rangeOf(table.table.value, 500).owner).to.equal(null);
    await close();
  });

  it("transfers keys whose work has ended while work for other keys still runs", async () => {
    const { manager, table, close } = await startDaemon(async (sent) => {
      await sleep(sent.kind === "release" && sent.order.first === 100 ? 500 : 0);
      return respondOk(sent);
    });
    await sleep(EARLIER_GRANTS_END_MS);
    const transferred = manager.transfer(
      () => [
        { first: 0, last: 9, to: OTHER, handover: null },
        { first: 100, last: 109, to: OTHER, handover: null },
      ],
      { leave: false, isServerLost: false },
    );
    await sleep(250);
    expect(rangeOf(table.table.value, 0).owner).to.equal(OTHER);
    expect(rangeOf(table.table.value, 100).owner).to.equal(SELF);
    expect(manager.stateOf(100)).to.equal(KeyState.Moving);
    expect(await transferred).to.equal(ChangeOutcome.Done);
    expect(rangeOf(table.table.value, 100)).to.include({ owner: OTHER, handover: "token" });
    expect(manager.stateOf(50)).to.equal(KeyState.Granted);
    await close();
  });

  // Guards against moves that leave many keys unserved while a few requests run.
  it("transfers keys without running requests while requests for others of the same span run", async () => {
    const { manager, table, close } = await startDaemon(async (sent) => {
      const includesBusy = sent.order.first <= 105 && 105 <= sent.order.last;
      await sleep(sent.kind === "release" && includesBusy ? 800 : 0);
      return respondOk(sent);
    }, { busyKeys: [105, 300] });
    await sleep(EARLIER_GRANTS_END_MS);
    const transferred = manager.transfer(
      () => [{ first: 100, last: 109, to: OTHER, handover: null }],
      { leave: false, isServerLost: false },
    );
    await sleep(400);
    const ownersNow = [100, 104, 105, 106, 109].map((key) => rangeOf(table.table.value, key).owner);
    expect(ownersNow).to.deep.equal([OTHER, OTHER, SELF, OTHER, OTHER]);
    expect(manager.stateOf(105)).to.equal(KeyState.Moving);
    expect(await transferred).to.equal(ChangeOutcome.Done);
    expect(rangeOf(table.table.value, 105).owner).to.equal(OTHER);
    await close();
  });

  // Guards against a read of the table by each of many hosts for every single key.
  it("writes keys that are released soon after each other together where many hosts read the table", async () => {
    const keys = [10, 20, 30, 40, 50];
    const { manager, table, close } = await startDaemon(async (sent) => {
      await sleep(sent.kind === "release" ? 20 * keys.indexOf(sent.order.first) : 0);
      return respondOk(sent);
    });
    await sleep(EARLIER_GRANTS_END_MS);
    const host = table.table.value.hosts[OTHER];
    await table.change((current) =>
      Array.from({ length: 100 }, (_, index) => `10.0.1.${index}:7000`)
        .reduce((entered, address) => enterHost(entered, address, host), current)
    );
    const writes: string[] = [];
    const subscription = table.table.subscribe(({ write }) => writes.push(write));
    await manager.transfer(
      () => keys.map((key) => ({ first: key, last: key, to: OTHER, handover: null })),
      { leave: false, isServerLost: false },
    );
    subscription.unsubscribe();
    expect(keys.map((key) => rangeOf(table.table.value, key).owner)).to.deep.equal(
      keys.map(() => OTHER),
    );
    // The first is the table before the transfer.
    expect(new Set(writes).size - 1).to.be.at.most(2);
    await close();
  });

  it("waits until a grant has expired at an unresponsive server", async () => {
    let isUnresponsive = false;
    const { manager, close } = await startDaemon((sent) =>
      isUnresponsive ? Promise.resolve(Result.err(new Error("no response"))) : respondOk(sent)
    );
    isUnresponsive = true;
    const startedAt = now();
    await manager.transfer(
      () => [{ first: 0, last: KEYS - 1, to: OTHER, handover: null }],
      { leave: false, isServerLost: true },
    );
    expect(now() - startedAt).to.be.above(600);
    await close();
  });

  it("does not wait for the grants of a server whose process has ended", async () => {
    const { manager, close } = await startDaemon(respondOk, { hasServerEnded: true });
    const startedAt = now();
    await manager.transfer(
      () => [{ first: 0, last: KEYS - 1, to: OTHER, handover: null }],
      { leave: false, isServerLost: true },
    );
    expect(now() - startedAt).to.be.below(300);
    await close();
  });

  it("transfers keys only after a grant without a response has expired, even if a later one had a response", async () => {
    let grants = 0;
    const { manager, sent, close } = await startDaemon((order) =>
      order.kind === "grant" && ++grants === 2
        ? Promise.resolve(Result.err(new Error("no response")))
        : respondOk(order)
    );
    while (grants < 3) {
      await sleep(10);
    }
    await manager.transfer(
      () => [{ first: 0, last: KEYS - 1, to: OTHER, handover: null }],
      { leave: false, isServerLost: false },
    );
    const unconfirmed = sent.filter(({ sent: { kind } }) => kind === "grant")[1];
    const { durationMs } = unconfirmed.sent.order as GrantOrder;
    expect(now() - unconfirmed.at).to.be.above(durationMs);
    await close();
  });

  it("assigns a new epoch when the server has a newer one", async () => {
    const daemon = await startDaemon((sent) =>
      sent.kind === "grant" && sent.order.epoch < 2
        ? Promise.resolve(Result.ok({ status: 409, headers: {} }))
        : respondOk(sent)
    );
    await sleep(400);
    expect(daemon.manager.stateOf(5)).to.equal(KeyState.Granted);
    expect(rangeOf(daemon.table.table.value, 5).epoch).to.equal(2);
    await daemon.close();
  });

  it("does not send its grants again whenever the keys of other daemons change their owner", async () => {
    const { table, sent, manager, close } = await startDaemon();
    await manager.transfer(
      () => [{ first: 100, last: KEYS - 1, to: OTHER, handover: null }],
      { leave: false, isServerLost: false },
    );
    const before = sent.length;
    const startedAt = now();
    for (let first = 1_000; first < 1_030; first++) {
      await table.change((current) =>
        assign(current, [{ first, last: first, to: OTHER, handover: null }])
      );
    }
    const renewals = (now() - startedAt) / 200;
    expect(sent.length - before).to.be.at.most(Math.ceil(renewals) + 1);
    expect(manager.stateOf(50)).to.equal(KeyState.Granted);
    await close();
  });

  it("does not repeat a transfer that took effect without a response, after some of the keys came back", async () => {
    const { manager, table, close } = await startDaemon(async (sent) => {
      if (sent.kind === "release") {
        // Meanwhile the lost append takes effect, and other daemons move the keys on.
        await table.change((current) =>
          assign(current, [{ first: 10, last: 20, to: OTHER, handover: null }])
        );
        await table.change((current) =>
          assign(current, [{ first: 10, last: 14, to: SELF, handover: "back" }])
        );
      }
      return respondOk(sent);
    });
    await manager.transfer(
      () => [{ first: 10, last: 20, to: OTHER, handover: null }],
      { leave: false, isServerLost: false },
    );
    expect(rangeOf(table.table.value, 12)).to.include({
      owner: SELF,
      first: 10,
      last: 14,
      epoch: 3,
    });
    expect(rangeOf(table.table.value, 17)).to.include({
      owner: OTHER,
      first: 15,
      last: 20,
      epoch: 2,
    });
    await close();
  });

  // Guards against grants that outlast the support because connecting to the server took time.
  it("counts the duration of a grant from when its connection is there", async () => {
    const connectMs = 400;
    const { sent, close } = await startDaemon(respondOk, { connectMs });
    await sleep(1_500);
    const grants = sent.filter(({ sent: { kind } }) => kind === "grant");
    expect(grants.length).to.be.at.least(2);
    // The only voter is the daemon itself, so that support always lasts as long as a vote from now on.
    const durations = grants.map(({ sent: { order } }) => (order as GrantOrder).durationMs);
    expect(Math.max(...durations)).to.be.below(SUPPORT_MS);
    expect(Math.min(...durations)).to.be.above(SUPPORT_MS - connectMs);
    await close();
  });

  it("sends no grant without a connection to the server's incarnation", async () => {
    const { manager, sent, close } = await startDaemon(respondOk, { isConnected: false });
    await sleep(300);
    expect(sent).to.deep.equal([]);
    expect(manager.stateOf(77)).to.equal(KeyState.Pending);
    await close();
  });
});
