import { expect } from "chai";
import { now, sleep } from "@bulrushwood/types";
import { AdmissionErrorKind, Gate, type GateRequest } from "./mod.ts";

const NEVER = new AbortController().signal;

function createGate(clock: { now: number }, limit = 1, options: { perSecond?: number } = {}) {
  const { perSecond } = options;
  const random = () => 0.5;
  return new Gate({ now: () => clock.now, limit: () => limit, perSecond: () => perSecond, random });
}

function createRequest(fields: Partial<GateRequest> = {}): GateRequest {
  return {
    workClass: "quote",
    priority: 1,
    targetAt: 500,
    deadline: 1_000,
    signal: NEVER,
    ...fields,
  };
}

/** Expected wait behind a full server, by which a request is rejected, in milliseconds. */
async function rejectedWaitMs(slowness: number): Promise<number> {
  const clock = { now: 0 };
  let current = 1;
  const gate = new Gate({
    now: () => clock.now,
    limit: () => 1,
    random: () => 0.5,
    slowness: () => current,
  });
  await warmUp(gate, clock);
  await gate.enter(createRequest({ deadline: clock.now + 10_000 }));
  current = slowness;
  const late = createRequest({ targetAt: clock.now + 10, deadline: clock.now + 50 });
  const rejected = await gate.enter(late);
  return rejected.isErr ? Number(/(\d+) ms/.exec(rejected.error.message)![1]) : 0;
}

/** Sets a gate's mean service time to 100 ms by running requests through it. */
async function warmUp(gate: Gate, clock: { now: number }): Promise<void> {
  for (let count = 0; count < 60; count++) {
    const slot = (await gate.enter(createRequest({ deadline: clock.now + 10_000 }))).unwrapOr(
      undefined!,
    );
    clock.now += 100;
    slot.release();
  }
}

const TARGET_MS = 400;
const OVERLOAD_SERVICE_MS = 100;

const QUEUE_LENGTH = 40;

interface Entry {
  isServed: boolean;
  /** Time until the request started or was rejected. */
  ms: number;
}

/** Sends more than a server can run, three of ten requests urgent; returns what came of all but the first second. */
async function overload(gate: Gate, options: { perSecond: number; seconds: number }) {
  const entries: Record<"urgent" | "others", Entry[]> = { urgent: [], others: [] };
  const startedAt = now();
  const enter = async (isUrgent: boolean) => {
    const at = now();
    const priority = isUrgent ? 0 : 2;
    const times = { targetAt: at + TARGET_MS, deadline: at + 1_500 };
    const { signal } = new AbortController();
    const entered = await gate.enter(createRequest({ priority, ...times, signal }));
    if (at > startedAt + 1_000) {
      entries[isUrgent ? "urgent" : "others"].push({ isServed: entered.isOk, ms: now() - at });
    }
    if (entered.isOk) {
      setTimeout(entered.value.release, OVERLOAD_SERVICE_MS);
    }
  };
  const requests = [];
  for (let sent = 0; now() < startedAt + options.seconds * 1_000; sent++) {
    requests.push(enter(sent % 10 < 3));
    await sleep(startedAt + (sent + 1) * 1_000 / options.perSecond - now());
  }
  await Promise.all(requests);
  return entries;
}

/** Time that a gate with a full queue takes to decide on requests, in milliseconds; the shortest of some rounds. */
async function measureDecisions(slots: number): Promise<number> {
  const clock = { now: 0 };
  const gate = createGate(clock, slots);
  await warmUp(gate, clock);
  const times = { targetAt: clock.now + 100_000, deadline: clock.now + 100_000 };
  for (let count = 0; count < slots + QUEUE_LENGTH; count++) {
    gate.enter(createRequest({ ...times, signal: new AbortController().signal }));
  }
  const rounds = Array.from({ length: 7 }, () => {
    const startedAt = now();
    for (let count = 0; count < 50; count++) {
      gate.enter(createRequest({ targetAt: clock.now, deadline: clock.now + 1 }));
    }
    return now() - startedAt;
  });
  expect([gate.running, gate.waiting]).to.deep.equal([slots, QUEUE_LENGTH]);
  gate.close();
  return Math.min(...rounds);
}

describe("gate", () => {
  it("expects longer waits at once when the server says that its work takes longer", async () => {
    const [usualMs, slowMs] = [await rejectedWaitMs(1), await rejectedWaitMs(3)];
    expect(usualMs).to.be.within(90, 110);
    expect(slowMs / usualMs).to.be.within(2.5, 3.5);
  });

  // Guards against work that is taken for long later because the server was slow for a moment.
  it("learns the usual service time from work that ran while the server was slow", async () => {
    const clock = { now: 0 };
    let slowness = 4;
    const gate = new Gate({
      now: () => clock.now,
      limit: () => 1,
      random: () => 0.5,
      slowness: () => slowness,
    });
    for (let count = 0; count < 60; count++) {
      const slot = await gate.enter(createRequest({ deadline: clock.now + 10_000 }));
      clock.now += 400;
      slot.unwrapOr(undefined!).release();
    }
    expect(gate.serviceMs).to.be.within(390, 410);
    slowness = 1;
    expect(gate.serviceMs).to.be.within(95, 105);
  });

  // Guards against decisions that look at each running request for each queued one, which made overloaded daemons slow.
  it("decides on a request in about the same time however many requests run", async () => {
    await measureDecisions(4);
    const [fewMs, manyMs] = [await measureDecisions(4), await measureDecisions(256)];
    expect(manyMs / fewMs).to.be.below(4);
  });

  it("runs as many requests at once as the server may", async () => {
    const gate = createGate({ now: 0 }, 2);
    await gate.enter(createRequest());
    await gate.enter(createRequest());
    gate.enter(createRequest());
    expect([gate.running, gate.waiting]).to.deep.equal([2, 1]);
    gate.close();
  });

  it("runs urgent requests first, whatever their order of arrival", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock);
    const slot = (await gate.enter(createRequest())).unwrapOr(undefined!);
    const order: string[] = [];
    const waiting = [
      gate.enter(createRequest({ priority: 2 })).then(() => order.push("later")),
      gate.enter(createRequest({ priority: 0 })).then((next) => {
        order.push("urgent");
        next.unwrapOr(undefined!).release();
      }),
    ];
    slot.release();
    await Promise.all(waiting);
    expect(order).to.deep.equal(["urgent", "later"]);
    gate.close();
  });

  it("detects a server that became slow before its running requests end", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock, 2);
    await warmUp(gate, clock);
    const startedAt = clock.now;
    await gate.enter(createRequest({ deadline: startedAt + 10_000 }));
    await gate.enter(createRequest({ deadline: startedAt + 10_000 }));
    clock.now += 600;
    const rejected = await gate.enter(
      createRequest({ targetAt: clock.now + 300, deadline: clock.now + 500 }),
    );
    expect(rejected.isErr && rejected.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    gate.close();
  });

  it("has a defined service time for a server without slots", () => {
    expect(createGate({ now: 0 }, 0).serviceMs).to.equal(0);
  });

  it("does not consider a server slow because of one long request among few", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock, 12);
    await warmUp(gate, clock);
    await gate.enter(createRequest({ deadline: clock.now + 10_000 }));
    clock.now += 900;
    expect(gate.serviceMs).to.be.within(100, 170);
    for (let count = 0; count < 11; count++) {
      await gate.enter(createRequest({ deadline: clock.now + 10_000 }));
    }
    clock.now += 900;
    expect(gate.serviceMs, "all are old").to.be.above(400);
    gate.close();
  });

  it("admits short work beside long work, by the service time of each class", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock, 2);
    for (let count = 0; count < 120; count++) {
      const isLong = count % 2 === 0;
      const workClass = isLong ? "upload" : "check";
      const slot = (await gate.enter(createRequest({ workClass }))).unwrapOr(undefined!);
      clock.now += isLong ? 400 : 20;
      slot.release();
    }
    await gate.enter(createRequest({ workClass: "upload" }));
    const running = (await gate.enter(createRequest({ workClass: "upload" }))).unwrapOr(undefined!);
    const limits = { targetAt: clock.now + 150, deadline: clock.now + 350 };
    const check = gate.enter(createRequest({ workClass: "check", priority: 0, ...limits }));
    const upload = await gate.enter(createRequest({ workClass: "upload", priority: 0, ...limits }));
    expect(upload.isErr && upload.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    running.release();
    expect((await check).isOk).to.equal(true);
    gate.close();
  });

  it("runs a request that can still meet its target before one that cannot", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock);
    const slot = (await gate.enter(createRequest())).unwrapOr(undefined!);
    const order: string[] = [];
    const late = gate.enter(createRequest({ targetAt: 250 })).then(() => order.push("late"));
    gate.enter(createRequest({ targetAt: 700 })).then((next) => {
      order.push("timely");
      next.unwrapOr(undefined!).release();
    });
    clock.now = 200;
    slot.release();
    await late;
    expect(order).to.deep.equal(["timely", "late"]);
    gate.close();
  });

  it("rejects a request at once when it would miss its target, though its deadline is far", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock);
    await warmUp(gate, clock);
    const targetAt = clock.now + 250;
    const deadline = clock.now + 5_000;
    await gate.enter(createRequest({ deadline, targetAt }));
    gate.enter(createRequest({ deadline, targetAt }));
    gate.enter(createRequest({ deadline, targetAt }));
    const rejected = await gate.enter(createRequest({ deadline, targetAt }));
    expect(rejected.isErr && rejected.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    gate.close();
  });

  // Guards against calls of backend servers that are rejected, so that the runs that make them fail, for a short wait.
  it("queues a request that is late when it arrives while the wait is a small part of the time it has left", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock);
    await warmUp(gate, clock);
    const deadline = clock.now + 900;
    const late = { targetAt: clock.now + 50, deadline };
    await gate.enter(createRequest(late));
    gate.enter(createRequest({ ...late, signal: new AbortController().signal }));
    let isRejected = false;
    gate.enter(createRequest({ ...late, signal: new AbortController().signal }))
      .then(({ isErr }) => isRejected = isErr);
    await sleep(0);
    expect([isRejected, gate.waiting]).to.deep.equal([false, 2]);
    const rejected = await gate.enter(createRequest({ ...late, deadline: clock.now + 400 }));
    expect(rejected.isErr).to.equal(true);
    gate.close();
  });

  it("rejects a request at once when it would miss its deadline, with a time to retry after", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock);
    await warmUp(gate, clock);
    const at = clock.now;
    const deadline = at + 350;
    await gate.enter(createRequest({ deadline, targetAt: deadline }));
    gate.enter(createRequest({ deadline, targetAt: deadline }));
    gate.enter(createRequest({ deadline, targetAt: deadline }));
    const rejected = await gate.enter(createRequest({ deadline, targetAt: deadline }));
    expect(rejected.isErr && rejected.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    expect(rejected.isErr && rejected.error.retryAfterMs).to.be.within(60, 600);
    gate.close();
  });

  it("queues requests beyond the start rate though slots are free, the urgent ones first", async () => {
    const gate = new Gate({ now, limit: () => 8, perSecond: () => 50, random: () => 0.5 });
    const startedAt = now();
    const order: string[] = [];
    const enter = async (name: string, priority: number) => {
      const deadline = startedAt + 1_000;
      const entered = await gate.enter(createRequest({ priority, deadline, targetAt: deadline }));
      order.push(name);
      entered.unwrapOr(undefined!).release();
    };
    await Promise.all([enter("first", 2), enter("later", 2), enter("urgent", 0)]);
    expect(order.slice(0, 2)).to.include("urgent");
    expect(order.at(-1)).to.not.equal("urgent");
    // Three starts at 50 a second; the bucket was empty.
    expect(now() - startedAt).to.be.within(55, 300);
    gate.close();
  });

  it("rejects at once what the start rate would delay past its target", async () => {
    const gate = createGate({ now: 0 }, 8, { perSecond: 10 });
    const results = Array.from({ length: 40 }, () => gate.enter(createRequest()));
    expect(gate.waiting, "queued").to.be.within(1, 9);
    gate.close();
    const rejected = (await Promise.all(results)).at(-1)!;
    expect(rejected.isErr && rejected.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    // A start is free in about as many tenths of a second as requests are queued.
    expect(rejected.isErr && rejected.error.retryAfterMs).to.be.within(300, 1_000);
  });

  for (
    const [server, { limit, perSecond, capacity }] of [
      ["with a request limit", { limit: 8, perSecond: 20, capacity: 20 }],
      ["without free slots", { limit: 8, perSecond: undefined, capacity: 8 * 10 }],
    ] as const
  ) {
    it(`holds no request for long that urgent ones keep from a server ${server}`, async () => {
      const gate = new Gate({
        now,
        limit: () => limit,
        perSecond: () => perSecond,
        random: () => 0.5,
      });
      const { urgent, others } = await overload(gate, { perSecond: 2 * capacity, seconds: 6 });
      gate.close();
      const served = others.filter(({ isServed }) => isServed);
      const heldLong = others.filter(({ isServed, ms }) => !isServed && ms > TARGET_MS / 8);
      const inTime = served.filter(({ ms }) => ms + OVERLOAD_SERVICE_MS <= TARGET_MS);
      expect(urgent.filter(({ isServed }) => !isServed)).to.have.length(0);
      // Urgent requests take three fifths of the capacity.
      expect(served.length, "served").to.be.above(0.8 * 0.4 * capacity * 5);
      expect(heldLong.length / others.length, "held long and rejected").to.be.below(0.05);
      expect(inTime.length / served.length, "served within the target").to.be.above(0.6);
    });
  }

  it("rejects a queued request at once when urgent ones take the starts before its deadline", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock, 8, { perSecond: 10 });
    const last = gate.enter(createRequest({ priority: 2, targetAt: 400, deadline: 500 }));
    const urgent = createRequest({ priority: 0, targetAt: 700, deadline: 900 });
    Array.from({ length: 6 }, () => gate.enter(urgent));
    const rejected = await last;
    expect(rejected.isErr && rejected.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    expect(clock.now).to.equal(0);
    gate.close();
  });

  it("removes the request of a caller that left from the queue", async () => {
    const gate = createGate({ now: 0 });
    await gate.enter(createRequest());
    const left = new AbortController();
    const waiting = gate.enter(createRequest({ signal: left.signal }));
    left.abort();
    const result = await waiting;
    expect(result.isErr && result.error.kind).to.equal(AdmissionErrorKind.Cancelled);
    expect(gate.waiting).to.equal(0);
    gate.close();
  });
});
