import { expect } from "chai";
import { AdmissionErrorKind, type Entrant, Gate } from "./mod.ts";

const NEVER = new AbortController().signal;

function createGate(clock: { now: number }, limit = 1) {
  return new Gate({ now: () => clock.now, limit: () => limit, random: () => 0.5 });
}

function entrant(fields: Partial<Entrant> = {}): Entrant {
  return {
    workClass: "quote",
    priority: 1,
    targetAt: 500,
    deadline: 1_000,
    signal: NEVER,
    ...fields,
  };
}

/** Teaches a gate that a request takes 100 ms. */
async function teach(gate: Gate, clock: { now: number }): Promise<void> {
  for (let count = 0; count < 60; count++) {
    const slot = (await gate.enter(entrant({ deadline: clock.now + 10_000 }))).unwrapOr(undefined!);
    clock.now += 100;
    slot.release();
  }
}

describe("gate", () => {
  it("lets as many requests in as the server may run", async () => {
    const gate = createGate({ now: 0 }, 2);
    await gate.enter(entrant());
    await gate.enter(entrant());
    gate.enter(entrant());
    expect([gate.running, gate.waiting]).to.deep.equal([2, 1]);
    gate.close();
  });

  it("lets urgent requests go first, whenever they came", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock);
    const slot = (await gate.enter(entrant())).unwrapOr(undefined!);
    const order: string[] = [];
    const waiting = [
      gate.enter(entrant({ priority: 2 })).then(() => order.push("later")),
      gate.enter(entrant({ priority: 0 })).then((next) => {
        order.push("urgent");
        next.unwrapOr(undefined!).release();
      }),
    ];
    slot.release();
    await Promise.all(waiting);
    expect(order).to.deep.equal(["urgent", "later"]);
    gate.close();
  });

  it("notices a server that turned slow before it answers again", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock, 2);
    await teach(gate, clock);
    const startedAt = clock.now;
    await gate.enter(entrant({ deadline: startedAt + 10_000 }));
    await gate.enter(entrant({ deadline: startedAt + 10_000 }));
    clock.now += 600;
    const refused = await gate.enter(
      entrant({ targetAt: clock.now + 300, deadline: clock.now + 500 }),
    );
    expect(refused.isErr && refused.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    gate.close();
  });

  it("knows a service time for a server that tells no slots", () => {
    expect(createGate({ now: 0 }, 0).serviceMs).to.equal(0);
  });

  it("does not take a server for slow because of one long request among few", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock, 12);
    await teach(gate, clock);
    await gate.enter(entrant({ deadline: clock.now + 10_000 }));
    clock.now += 900;
    expect(gate.serviceMs).to.be.within(100, 170);
    for (let count = 0; count < 11; count++) {
      await gate.enter(entrant({ deadline: clock.now + 10_000 }));
    }
    clock.now += 900;
    expect(gate.serviceMs, "all are old").to.be.above(400);
    gate.close();
  });

  it("lets short work in beside long work, by the time that each kind takes", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock, 2);
    for (let count = 0; count < 120; count++) {
      const isLong = count % 2 === 0;
      const workClass = isLong ? "upload" : "check";
      const slot = (await gate.enter(entrant({ workClass }))).unwrapOr(undefined!);
      clock.now += isLong ? 400 : 20;
      slot.release();
    }
    await gate.enter(entrant({ workClass: "upload" }));
    const running = (await gate.enter(entrant({ workClass: "upload" }))).unwrapOr(undefined!);
    const limits = { targetAt: clock.now + 150, deadline: clock.now + 350 };
    const check = gate.enter(entrant({ workClass: "check", priority: 0, ...limits }));
    const upload = await gate.enter(entrant({ workClass: "upload", priority: 0, ...limits }));
    expect(upload.isErr && upload.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    running.release();
    expect((await check).isOk).to.equal(true);
    gate.close();
  });

  it("prefers a request that can still meet its target to one that cannot", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock);
    const slot = (await gate.enter(entrant())).unwrapOr(undefined!);
    const order: string[] = [];
    const late = gate.enter(entrant({ targetAt: 250 })).then(() => order.push("late"));
    gate.enter(entrant({ targetAt: 700 })).then((next) => {
      order.push("timely");
      next.unwrapOr(undefined!).release();
    });
    clock.now = 200;
    slot.release();
    await late;
    expect(order).to.deep.equal(["timely", "late"]);
    gate.close();
  });

  it("refuses at once what would miss its target while others wait, though its deadline is far", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock);
    await teach(gate, clock);
    const targetAt = clock.now + 250;
    const deadline = clock.now + 5_000;
    await gate.enter(entrant({ deadline, targetAt }));
    gate.enter(entrant({ deadline, targetAt }));
    gate.enter(entrant({ deadline, targetAt }));
    const refused = await gate.enter(entrant({ deadline, targetAt }));
    expect(refused.isErr && refused.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    gate.close();
  });

  it("refuses at once what cannot be answered in time, and says when there will be room", async () => {
    const clock = { now: 0 };
    const gate = createGate(clock);
    await teach(gate, clock);
    const at = clock.now;
    const deadline = at + 350;
    await gate.enter(entrant({ deadline, targetAt: deadline }));
    gate.enter(entrant({ deadline, targetAt: deadline }));
    gate.enter(entrant({ deadline, targetAt: deadline }));
    const refused = await gate.enter(entrant({ deadline, targetAt: deadline }));
    expect(refused.isErr && refused.error.kind).to.equal(AdmissionErrorKind.Overloaded);
    expect(refused.isErr && refused.error.retryAfterMs).to.be.within(60, 600);
    gate.close();
  });

  it("lets a caller that left out of the queue", async () => {
    const gate = createGate({ now: 0 });
    await gate.enter(entrant());
    const left = new AbortController();
    const waiting = gate.enter(entrant({ signal: left.signal }));
    left.abort();
    const result = await waiting;
    expect(result.isErr && result.error.kind).to.equal(AdmissionErrorKind.Cancelled);
    expect(gate.waiting).to.equal(0);
    gate.close();
  });
});
